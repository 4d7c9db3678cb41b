package standstill

import (
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// outer stands for the test that judges.
type outer struct {
	testing.TB
	failed bool
}

func (o *outer) Error(...any)          { o.failed = true }
func (o *outer) Logf(string, ...any)   {}
func (o *outer) Fatalf(string, ...any) { o.failed = true; runtime.Goexit() }
func (o *outer) FailNow()              { o.failed = true; runtime.Goexit() }

// standstills are how long the process stands still in one play after the other.
type standstills []time.Duration

func (s *standstills) stop() time.Duration {
	first := (*s)[0]
	*s = (*s)[1:]
	return first
}

func judged(t *testing.T, stood standstills, scenario func(t testing.TB)) bool {
	o := &outer{TB: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		judge(o, func() stopwatch { return &stood }, scenario)
	}()
	<-done
	return !o.failed
}

func TestFailureCountsAtOnce(t *testing.T) {
	for name, fail := range map[string]func(t testing.TB){
		"assert":  func(t testing.TB) { assert.Fail(t, "wrong") },
		"require": func(t testing.TB) { require.Fail(t, "wrong") },
		"fatal":   func(t testing.TB) { t.Fatal("wrong") },
	} {
		plays, cleaned := 0, 0
		assert.False(t, judged(t, standstills{0}, func(t testing.TB) {
			plays++
			t.Cleanup(func() { cleaned++ })
			fail(t)
		}), name)
		assert.Equal(t, 1, plays, name)
		assert.Equal(t, 1, cleaned, name)
	}
}

func TestFailureBesideAStandstillIsPlayedAgain(t *testing.T) {
	plays := 0
	failsFirst := func(t testing.TB) {
		plays++
		require.Greater(t, plays, 1)
	}
	assert.True(t, judged(t, standstills{time.Second, 0}, failsFirst))
	assert.Equal(t, 2, plays)
	fails := func(t testing.TB) { t.Fatal("wrong") }
	assert.False(t, judged(t, standstills{time.Second, 0}, fails), "it fails without a standstill, too")
	always := standstills{1, 1, 1, 1, 1}
	assert.False(t, judged(t, always, fails), "nothing is known of the product")
}

func TestWatchSumsUpStandstills(t *testing.T) {
	at := time.Unix(1000, 0)
	w := &watch{seen: at}
	for _, gap := range []time.Duration{tick, least, 3 * time.Second, tick, time.Second} {
		at = at.Add(gap)
		w.note(at)
	}
	assert.Equal(t, 4*time.Second, w.stood)
}
