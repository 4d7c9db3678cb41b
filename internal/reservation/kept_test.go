package reservation

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a slot that is granted as free while the engine goes on with a request whose entry has closed it and released it.
func TestSlotOfAKeptRequestIsNotFreeUntilTheEngineReportsIt(t *testing.T) {
	l := ledger(Report{Running: 11})
	assert.True(t, l.Ask(start, ask("closed")).Granted)
	l.Observe(start.Add(100*ms), Report{Running: 12, Version: 1})
	l.Release(start.Add(110*ms), "closed")
	queued := func() bool {
		d := l.Ask(l.at.Add(20*ms), ask("next"))
		l.Release(l.at.Add(20*ms), "next")
		return d.Wait > 100*ms
	}
	assert.True(t, queued(), "no report since the release")
	l.Observe(start.Add(200*ms), Report{Running: 12, Version: 1})
	assert.True(t, queued(), "the engine keeps it")
	l.Observe(start.Add(300*ms), Report{Running: 11, Version: 1})
	assert.False(t, queued(), "it has ended")
}

// Guards against grants for slots that requests take which an engine has kept unread, and which no reservation counts any more.
func TestKeptRequestsCountOnceTheEngineHasReadThem(t *testing.T) {
	l := ledger(Report{Running: 6})
	for _, id := range []string{"a", "b", "c"} {
		assert.True(t, l.Ask(start, ask(id)).Granted)
		l.Release(start.Add(50*ms), id) // closed while the engine stands still
	}
	l.Observe(start.Add(1000*ms), Report{Running: 9, Waiting: 3, Version: 1})
	d := l.Ask(start.Add(1010*ms), ask("next"))
	assert.Greater(t, d.Wait, 100*ms, "12 requests are there")
	assert.Equal(t, 3, d.Load.Waiting)
}
