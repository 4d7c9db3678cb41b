package backpressure

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func TestLimitIsParsed(t *testing.T) {
	named := func(rate float64) LimitSignal { return LimitSignal{Named: true, Rate: rate} }
	for _, c := range []struct {
		values []string
		want   LimitSignal
	}{
		{nil, LimitSignal{}},
		{[]string{"2.3"}, named(2.3)},
		{[]string{" 0 "}, named(0)},
		{[]string{"0.1"}, named(0.1)},
		{[]string{"1e9"}, named(1e9)},
		{[]string{"4", "2"}, named(2)},
		{[]string{"4", "x"}, named(4)},
		{[]string{"x", "4"}, named(4)},
		{[]string{""}, LimitSignal{Unreadable: true}},
		{[]string{"NaN"}, LimitSignal{Unreadable: true}},
		{[]string{"Inf"}, LimitSignal{Unreadable: true}},
		{[]string{"-1"}, LimitSignal{Unreadable: true}},
		{[]string{"2,3"}, LimitSignal{Unreadable: true}},
	} {
		assert.Equal(t, c.want, ReadLimit(c.values), "%q", c.values)
	}
}

func TestLateAnswerDoesNotLiftLimit(t *testing.T) {
	var l Limit
	assert.True(t, l.ApplyAnswer(at(2), at(1), LimitSignal{Named: true, Rate: 2}))
	assert.False(t, l.ApplyAnswer(at(3), at(1.5), LimitSignal{}), "the request was sent before the limit was known")
	assert.False(t, l.ApplyAnswer(at(3), at(1.5), LimitSignal{Named: true, Rate: 9}))
	assert.Equal(t, 2.0, l.Rate)
	assert.True(t, l.ApplyAnswer(at(3), at(1.5), LimitSignal{Named: true, Rate: 1}), "a lower limit counts at once")
	assert.False(t, l.ApplyAnswer(at(5), at(4), LimitSignal{Unreadable: true}))
	assert.True(t, l.ApplyAnswer(at(5), at(4), LimitSignal{Named: true, Rate: 9}))
	assert.True(t, l.ApplyAnswer(at(7), at(6), LimitSignal{}))
	assert.False(t, l.InForce)
}

func TestUpdateIsForwardedOnce(t *testing.T) {
	table := NewTable()
	named := Update{Incarnation: "s", Limited: true, Rate: 2, At: at(1)}
	merge := func(n Update) bool {
		_, isNew := table.Merge(n)
		return isNew
	}
	assert.True(t, merge(named))
	again := named
	again.At = at(1.1)
	assert.False(t, merge(again), "returned by another control server")
	lifted := Update{Incarnation: "s", At: at(2)}
	assert.True(t, merge(lifted))
	assert.False(t, merge(again), "it is older")
	assert.Equal(t, []Update{lifted}, table.All())
	leaves := Update{Incarnation: "s", Leaving: true, At: at(1.5)}
	assert.True(t, merge(leaves), "leaving is never taken back, even if a later update lacks it")
	assert.Equal(t, []Update{{Incarnation: "s", Leaving: true, At: at(2)}}, table.All())
	assert.False(t, merge(lifted))
	table.Forget(at(2).Add(2 * updateRetention))
	assert.Empty(t, table.All())
}

func TestLaterUpdateFromAnotherEntryWins(t *testing.T) {
	var l Limit
	assert.True(t, l.ApplyUpdate(Update{Limited: true, Rate: 2, At: at(1)}))
	assert.False(t, l.ApplyUpdate(Update{Limited: true, Rate: 2, At: at(2)}))
	assert.False(t, l.ApplyUpdate(Update{At: at(1.5)}))
	assert.True(t, l.InForce)
	assert.True(t, l.ApplyUpdate(Update{At: at(3)}))
	assert.False(t, l.ApplyAnswer(at(4), at(2.5), LimitSignal{}))
	assert.False(t, l.InForce)
}

// The parts of a rate allow no more than the bound from which it was derived, also if all entries send
// their bursts at one moment.
func TestRateWithinABoundCountsBursts(t *testing.T) {
	for _, most := range []float64{4.2, 8, 20, 56, 59, 500} {
		rate := RateWithin(most)
		for _, n := range []int{1, 2, 3, 12, 40, 380} {
			var entries []Entry
			for i := range n {
				entries = append(entries, Entry{Name: fmt.Sprint("entry-", i)})
			}
			atOnce := 0.0
			for _, e := range entries {
				if part := PartOf(rate, "10.0.0.1:80", "zone-0", e.Name, entries); part.Rate > 0 {
					atOnce += part.Rate + max(minBurst, part.Rate*burstSpan.Seconds())
				}
			}
			assert.LessOrEqual(t, atOnce, most+1e-9, "%d entries, bound %g", n, most)
		}
	}
}
