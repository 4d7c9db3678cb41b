package claims

import (
	"bytes"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "lynxgate.dev/lynxgate/internal/testseed" // the same schedules every run
)

var testLimits = Limits{
	Window: 10 * time.Second, MaxTimeout: 5 * time.Second,
	MaxClaims: 100, MaxPerOrganisation: 100, MaxAnswerBytes: 16, MaxAnswerTotal: 64,
}

func claim(org, key, attempt string, now Millis) Claim {
	return Claim{Organisation: org, Key: key, BodyDigest: []byte("body"), Attempt: attempt,
		Timeout: 2 * time.Second, Now: now, Limits: testLimits}
}

func settle(org, key string, token uint64, o Outcome, body string, now Millis) Settle {
	s := Settle{Organisation: org, Key: key, Token: token, Outcome: o, Now: now, Limits: testLimits}
	if o == SettleCompleted {
		s.Answer = &Answer{Status: 200, ContentType: "t", Body: []byte(body)}
	}
	return s
}

func TestKeyLifecycle(t *testing.T) {
	tab := NewTable()
	first := tab.Claim(claim("a", "k", "e1/1", 0))
	require.Equal(t, ClaimResult{Verdict: Granted, Token: 1}, first)
	require.Equal(t, first, tab.Claim(claim("a", "k", "e1/1", 1)), "a resent claim gets its grant again")
	require.Equal(t, InProgress, tab.Claim(claim("a", "k", "e2/1", 2)).Verdict)
	require.Equal(t, InProgress, tab.Claim(claim("a", "k", "", 2)).Verdict)
	require.Equal(t, Granted, tab.Claim(claim("b", "k", "e2/2", 2)).Verdict, "organisations do not share keys")

	other := claim("a", "k", "e2/3", 3)
	other.BodyDigest = []byte("other")
	require.Equal(t, BodyMismatch, tab.Claim(other).Verdict)

	require.Equal(t, Recorded, tab.Settle(settle("a", "k", 1, SettleNotRun, "", 4)))
	require.Equal(t, InProgress, tab.Claim(claim("a", "k", "e1/1", 5)).Verdict, "a delayed copy is not granted")
	again := tab.Claim(claim("a", "k", "e2/4", 5))
	require.Equal(t, ClaimResult{Verdict: Granted, Token: 3}, again)
	require.Equal(t, Ignored, tab.Settle(settle("a", "k", 1, SettleCompleted, "old", 6)), "old token")

	require.Equal(t, Recorded, tab.Settle(settle("a", "k", 3, SettleCompleted, "yes", 7)))
	require.Equal(t, Repeated, tab.Settle(settle("a", "k", 3, SettleCompleted, "yes", 8)))
	require.Equal(t, Ignored, tab.Settle(settle("a", "k", 3, SettleNotRun, "", 8)))
	got := tab.Claim(claim("a", "k", "e3/1", 9))
	require.Equal(t, Completed, got.Verdict)
	require.Equal(t, "yes", string(got.Answer.Body))
	require.Equal(t, BodyMismatch, tab.Claim(other).Verdict)
}

func TestUnsettledGrantBecomesUnknown(t *testing.T) {
	tab := NewTable()
	tab.Claim(claim("a", "k", "e1/1", 0))
	require.Equal(t, InProgress, tab.Claim(claim("a", "k", "e2/1", 1999)).Verdict)
	require.Equal(t, 1, tab.Expire(2000))
	require.Equal(t, Unknown, tab.Claim(claim("a", "k", "e1/1", 2000)).Verdict)
	require.Equal(t, Ignored, tab.Settle(settle("a", "k", 1, SettleNotRun, "", 2001)))
	require.Equal(t, Unknown, tab.Claim(claim("a", "k", "e2/2", 500)).Verdict, "time does not go back")
	require.Equal(t, Recorded, tab.Settle(settle("a", "k", 1, SettleCompleted, "late", 2002)))
	require.Equal(t, Completed, tab.Claim(claim("a", "k", "e2/3", 3000)).Verdict)
	require.Equal(t, Granted, tab.Claim(claim("a", "k", "e2/4", 2002+10_000)).Verdict, "after the window")
}

// TestLeaderClocksMayDisagree alternates leaders with clocks an hour apart:
// claims neither expire early nor stop ageing.
func TestLeaderClocksMayDisagree(t *testing.T) {
	const hour = Millis(3_600_000)
	first := claim("a", "k", "x", 0)
	first.Limits.Window = 15 * time.Minute
	tab := NewTable()
	tab.Claim(first)
	tab.Settle(settle("a", "k", 1, SettleCompleted, "yes", 0))
	resendTo := func(tab *Table, now Millis) Verdict { return tab.Claim(claim("a", "k", "y", now)).Verdict }
	resend := func(now Millis) Verdict { return resendTo(tab, now) }
	require.Equal(t, Completed, resend(hour), "a minute at most")
	require.Equal(t, Completed, resend(0), "none")
	tab, err := Restore(tab.Snapshot())
	require.NoError(t, err)
	for m := range Millis(13) {
		require.Equal(t, Completed, resend((m+1)*60_000), "minute %d", m)
	}
	require.Equal(t, Granted, resend(14*60_000), "15 minutes in all")

	tab = NewTable()
	tab.Claim(claim("a", "k", "x", 0))
	for range 100 {
		require.Equal(t, InProgress, resendTo(tab, 1000))
		require.Equal(t, InProgress, resendTo(tab, 900), "events out of order count no time twice")
	}
}

func TestLimits(t *testing.T) {
	tab := NewTable()
	c := claim("a", "k0", "x", 0)
	c.Limits.MaxClaims, c.Limits.MaxPerOrganisation = 3, 2
	for i, want := range []Verdict{Granted, Granted, Full} {
		c.Key = fmt.Sprint("k", i)
		require.Equal(t, want, tab.Claim(c).Verdict)
	}
	c.Organisation = "b"
	require.Equal(t, Granted, tab.Claim(c).Verdict)
	c.Key = "k9"
	require.Equal(t, Full, tab.Claim(c).Verdict)
	c.Organisation, c.Key = "a", "k1"
	require.Equal(t, Granted, tab.Claim(c).Verdict, "a known key is answered when the table is full")

	require.Equal(t, Recorded, tab.Settle(settle("a", "k1", 2, SettleCompleted, "seventeen letters", 1)))
	got := tab.Claim(claim("a", "k1", "y", 2))
	require.Equal(t, Completed, got.Verdict)
	require.Nil(t, got.Answer, "too large to be kept")

	long := claim("z", "k", "z", 0)
	long.Timeout = time.Hour
	tab.Claim(long)
	require.Equal(t, InProgress, tab.Claim(claim("z", "k", "z2", 5001)).Verdict)
	require.Equal(t, Unknown, tab.Claim(claim("z", "k", "z2", 5002)).Verdict, "the timeout is capped")
}

func TestStoredAnswersStayWithinLimit(t *testing.T) {
	tab := NewTable()
	kept := 0
	for i := range 10 {
		key := fmt.Sprint(i)
		r := tab.Claim(claim("a", key, key, 0))
		tab.Settle(settle("a", key, r.Token, SettleCompleted, "fourteen bytes", 0))
		if tab.Claim(claim("a", key, "again", 0)).Answer != nil {
			kept++
		}
	}
	require.Equal(t, 4, kept)
	require.Equal(t, 60, tab.Stats().AnswerBytes)
	tab.Expire(60_000)
	require.Equal(t, Stats{}, tab.Stats())
	require.Empty(t, tab.orgs.ids)
}

func TestRestoreRejectsCorruptSnapshot(t *testing.T) {
	tab := NewTable()
	r := tab.Claim(claim("a", "k", "x", 0))
	tab.Settle(settle("a", "k", r.Token, SettleCompleted, "yes", 0))
	snap := tab.Snapshot()
	for n := range snap {
		_, err := Restore(snap[:n])
		require.ErrorIs(t, err, errCorrupt)
	}
	_, err := Restore(append(bytes.Clone(snap), 0))
	require.ErrorIs(t, err, errCorrupt)
}

func FuzzRestore(f *testing.F) {
	tab := NewTable()
	tab.Claim(claim("a", "k", "x", 0))
	f.Add(tab.Snapshot())
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, snapshot []byte) {
		got, err := Restore(snapshot)
		if err != nil {
			return
		}
		again, err := Restore(got.Snapshot())
		require.NoError(t, err)
		require.Equal(t, got.Snapshot(), again.Snapshot())
	})
}

// attempt is one arrival of a request at an entry in the model check.
type attempt struct {
	org, key, name string
	token          uint64
	started        Millis
	ran            bool
}

// model is what the table is checked against: callers retry, entries crash,
// answers get lost, servers restart from snapshots.
type model struct {
	table       *Table
	now         Millis
	next        int
	attempts    []*attempt        // active, with a grant
	runs        map[string]int    // real runs of a key within the window
	unknown     map[string]bool   // reported as unknown
	outstanding map[string]uint64 // last token granted and not released
	replies     map[string]string // answer sent to a caller
}

func (w *model) id(a *attempt) string { return a.org + "|" + a.key }

func (w *model) claim(t *rapid.T, a *attempt) {
	r := w.table.Claim(claim(a.org, a.key, a.name, w.now))
	id := w.id(a)
	switch r.Verdict {
	case Granted:
		w.granted(t, id, r.Token)
		a.token = r.Token
		w.attempts = append(w.attempts, a)
	case Completed:
		if w.runs[id] != 1 {
			t.Fatalf("%s completed without a run", id)
		}
		if r.Answer != nil && string(r.Answer.Body) != w.replies[id] {
			t.Fatalf("%s: answer %q of another request", id, r.Answer.Body)
		}
	case Unknown:
		w.unknown[id] = true
	}
}

// granted checks a grant against the earlier ones of the key.
func (w *model) granted(t *rapid.T, id string, token uint64) {
	if w.unknown[id] {
		t.Fatalf("%s granted after unknown", id)
	}
	if held, ok := w.outstanding[id]; ok && held != token {
		t.Fatalf("%s: grants %d and %d outstanding", id, held, token)
	}
	w.outstanding[id] = token
}

func (w *model) pick(t *rapid.T) *attempt {
	if len(w.attempts) == 0 {
		t.Skip("no attempt holds a grant")
	}
	return w.attempts[rapid.IntRange(0, len(w.attempts)-1).Draw(t, "attempt")]
}

// TestModel checks that no request runs twice, whatever is resent, lost or
// restarted. Time stays within the window, so that every second run is a fault.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &model{table: NewTable(), runs: map[string]int{}, unknown: map[string]bool{},
			outstanding: map[string]uint64{}, replies: map[string]string{}}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				w.next++
				w.claim(t, &attempt{name: fmt.Sprint("e/", w.next), started: w.now,
					org: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "org"),
					key: rapid.SampledFrom([]string{"k", "l"}).Draw(t, "key")})
			},
			"resend claim": func(t *rapid.T) {
				a := w.pick(t)
				if r := w.table.Claim(claim(a.org, a.key, a.name, w.now)); r.Verdict == Granted {
					w.granted(t, w.id(a), r.Token)
				}
			},
			"run": func(t *rapid.T) {
				a := w.pick(t)
				if a.ran || w.now.Sub(a.started) >= 2*time.Second {
					t.Skip("may not dispatch")
				}
				a.ran = true
				id := w.id(a)
				w.runs[id]++
				w.replies[id] = fmt.Sprint(id, a.token)
				if w.runs[id] > 1 {
					t.Fatalf("%s ran twice", id)
				}
			},
			"settle": func(t *rapid.T) {
				a := w.pick(t)
				id := w.id(a)
				outcome := SettleNotRun
				if a.ran {
					outcome = rapid.SampledFrom([]Outcome{SettleCompleted, SettleUnknown}).Draw(t, "outcome")
				}
				res := w.table.Settle(settle(a.org, a.key, a.token, outcome, w.replies[id], w.now))
				if res == Recorded && a.token != w.outstanding[id] {
					t.Fatalf("%s: settled by token %d, granted to %d", id, a.token, w.outstanding[id])
				}
				if outcome == SettleNotRun {
					a.started = -1 << 40 // the entry must not dispatch any more
					if res == Recorded {
						delete(w.outstanding, id)
					}
				}
			},
			"crash of an entry": func(t *rapid.T) {
				a := w.pick(t)
				w.attempts = slices.DeleteFunc(w.attempts, func(b *attempt) bool { return a == b })
			},
			"time": func(t *rapid.T) {
				w.now += Millis(rapid.IntRange(0, 1500).Draw(t, "ms"))
				if w.now > 9000 {
					w.now = 9000 // stay inside the window
				}
				w.table.Expire(w.now)
			},
			"restart": func(t *rapid.T) {
				snap := w.table.Snapshot()
				again, err := Restore(snap)
				if err != nil || !bytes.Equal(snap, again.Snapshot()) {
					t.Fatalf("restore changed the table: %v", err)
				}
				w.table = again
			},
		})
	})
}

// BenchmarkClaimAndSettle reports the time of one claim and settle and the
// memory of a remembered claim without its answer.
func BenchmarkClaimAndSettle(b *testing.B) {
	limits := DefaultLimits
	limits.MaxClaims, limits.MaxPerOrganisation = 1<<30, 1<<30
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	tab := NewTable()
	b.ReportAllocs()
	for i := range b.N {
		now := Millis(i)
		key := fmt.Sprint("order-", i)
		c := Claim{Organisation: "org", Key: key, BodyDigest: []byte("0123456789abcdef0123456789abcdef"), Attempt: key, Timeout: 30 * time.Second, Now: now, Limits: limits}
		c.Limits.Window = time.Hour * 24
		r := tab.Claim(c)
		tab.Settle(Settle{Organisation: "org", Key: key, Token: r.Token, Outcome: SettleCompleted, Now: now, Limits: limits})
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "B/claim")
	runtime.KeepAlive(tab)
}
