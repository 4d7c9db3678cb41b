package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"lynxgate.dev/lynxgate/internal/outcome"
	"pgregory.net/rapid"

	_ "lynxgate.dev/lynxgate/internal/testseed" // fixed seed for rapid
)

var t0 = time.Unix(1_000_000, 0)

func TestRecord(t *testing.T) {
	overload := outcome.NewNotRun(outcome.Overloaded, "", 0)
	lost := outcome.NewUnknown(outcome.ConnectionLost, "")
	leaving := outcome.NewNotRun(outcome.Leaving, "", 0)
	soon := Request{Deadline: t0.Add(60 * time.Millisecond)}
	late := Request{Deadline: t0.Add(30 * time.Millisecond)}
	tests := []struct {
		name   string
		req    Request
		outs   []outcome.Outcome
		begun  bool
		floor  int
		reason Reason
		final  outcome.Outcome
	}{
		{"completed", Request{}, []outcome.Outcome{outcome.NewCompleted()}, false, 9, ReasonCompleted, outcome.NewCompleted()},
		{"not run", Request{}, []outcome.Outcome{overload}, false, 9, ReasonRetry, overload},
		{"not run, at most once", Request{AtMostOnce: true}, []outcome.Outcome{overload}, false, 9, ReasonRetry, overload},
		{"may have run", Request{}, []outcome.Outcome{lost}, false, 9, ReasonMayHaveRun, lost},
		{"may have run, idempotent", Request{Idempotent: true}, []outcome.Outcome{lost}, false, 9, ReasonRetry, lost},
		{"at most once wins over idempotent", Request{Idempotent: true, AtMostOnce: true}, []outcome.Outcome{lost}, false, 9, ReasonMayHaveRun, lost},
		{"answer begun", Request{Idempotent: true}, []outcome.Outcome{lost}, true, 9, ReasonAnswerBegun, lost},
		{"caller left", Request{}, []outcome.Outcome{outcome.NewNotRun(outcome.Cancelled, "", 0)}, false, 9, ReasonFinal, outcome.NewNotRun(outcome.Cancelled, "", 0)},
		{"attempts used up", Request{}, []outcome.Outcome{overload, overload, overload}, false, 9, ReasonAttempts, overload},
		{"unknown outcome of one attempt stays unknown", Request{Idempotent: true}, []outcome.Outcome{lost, overload, overload}, false, 9, ReasonAttempts, lost},
		{"deadline allows a retry", soon, []outcome.Outcome{overload}, false, 9, ReasonRetry, overload},
		{"deadline too near", late, []outcome.Outcome{overload}, false, 9, ReasonDeadline, overload},
		{"a drain needs no wait", late, []outcome.Outcome{leaving}, false, 9, ReasonRetry, leaving},
		{"budget used up", Request{}, []outcome.Outcome{overload}, false, 0, ReasonBudget, overload},
		{"a drain needs no budget", Request{}, []outcome.Outcome{leaving}, false, 0, ReasonRetry, leaving},
		{"a drain is bounded by attempts", Request{}, []outcome.Outcome{leaving, leaving, leaving}, false, 0, ReasonAttempts, leaving},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			// The backoff is 20 to 40 ms, and MinAttempt is added to it.
			policy := Policy{MaxAttempts: 3, BaseBackoff: 40 * time.Millisecond, MaxBackoff: 40 * time.Millisecond, MinAttempt: 20 * time.Millisecond}
			budget := NewBudget(BudgetConfig{Floor: tt.floor, Window: time.Second})
			a := NewAttempts(policy, tt.req)
			var d Decision
			for i, o := range tt.outs {
				d = a.Record(o, tt.begun, t0, budget)
				require.Equal(t, i+1, a.Count())
				require.Equal(t, d.Reason == ReasonRetry, d.Retry)
			}
			require.Equal(t, tt.reason, d.Reason)
			require.Equal(t, tt.final, d.Final)
		})
	}
}

func TestBackoffIsBoundedAndRepeatable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Policy{MaxAttempts: 1 << 30, BaseBackoff: 10 * time.Millisecond, MaxBackoff: time.Second}
		req := Request{Seed: rapid.Uint64().Draw(t, "seed")}
		made := rapid.IntRange(1, 100).Draw(t, "made")
		a, b := &Attempts{policy: p, req: req, made: made}, &Attempts{policy: p, req: req, made: made}
		wait := a.backoff(outcome.Outcome{})
		full := time.Second
		if made < 8 {
			full = min(full, 10*time.Millisecond<<(made-1))
		}
		require.Equal(t, wait, b.backoff(outcome.Outcome{}))
		require.GreaterOrEqual(t, wait, full/2)
		require.LessOrEqual(t, wait, full)
	})
}

// TestBudgetBoundsEveryWindow checks the amplification bound: the retries in a
// window never exceed share*requests + floor.
func TestBudgetBoundsEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := BudgetConfig{Share: rapid.Float64Range(0, 1).Draw(t, "share"), Floor: rapid.IntRange(0, 3).Draw(t, "floor"), Window: time.Second}
		b := NewBudget(cfg)
		now := t0
		var requests, retries []int64 // bucket numbers
		within := func(times []int64, s int64) (n int) {
			for _, at := range times {
				if at > s-budgetBuckets {
					n++
				}
			}
			return n
		}
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			},
			"requests": func(t *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(t, "n") {
					b.Request(now)
					requests = append(requests, now.UnixMilli()/100)
				}
			},
			"retries": func(t *rapid.T) {
				s := now.UnixMilli() / 100
				for range 30 {
					allowed := cfg.Share*float64(within(requests, s)) + float64(cfg.Floor)
					want := float64(within(retries, s)+1) <= allowed
					if b.TryRetry(now) != want {
						t.Fatalf("retry allowed is %v, want %v", !want, want)
					}
					if want {
						retries = append(retries, s)
					}
				}
			},
			"": func(t *rapid.T) {
				s := now.UnixMilli() / 100
				gotRequests, gotRetries := b.Counts(now)
				require.Equal(t, within(requests, s), gotRequests)
				require.Equal(t, within(retries, s), gotRetries)
			},
		})
	})
}

// TestBrownOutIsNotAmplified lets every attempt fail for a minute: retries add
// no more than the budget's share and floor to the load.
func TestBrownOutIsNotAmplified(t *testing.T) {
	require.LessOrEqual(t, DefaultBudget.Share, 0.2)
	for _, share := range []float64{0.1, DefaultBudget.Share} {
		cfg := DefaultBudget
		cfg.Share = share
		brownOut(t, cfg)
	}
}

func brownOut(t *testing.T, cfg BudgetConfig) {
	b := NewBudget(cfg)
	const requests = 60 * 200
	attempts := 0
	for i := range requests {
		now := t0.Add(time.Duration(i) * 5 * time.Millisecond)
		b.Request(now)
		a := NewAttempts(DefaultPolicy, Request{Seed: uint64(i)})
		attempts++
		for a.Record(outcome.NewNotRun(outcome.Overloaded, "", 0), false, now, b).Retry {
			attempts++
		}
	}
	windows := 60 / 10
	require.LessOrEqual(t, float64(attempts), requests*(1+cfg.Share)+float64(windows+1)*float64(cfg.Floor))
	require.Greater(t, float64(attempts), requests*(1+cfg.Share/2), "the budget is used")
	t.Logf("share %.1f: attempts per request %.3f", cfg.Share, float64(attempts)/requests)
}

func BenchmarkBudget(b *testing.B) {
	budget := NewBudget(DefaultBudget)
	b.ReportAllocs()
	for i := range b.N {
		now := t0.Add(time.Duration(i) * time.Millisecond)
		budget.Request(now)
		budget.TryRetry(now)
	}
}
