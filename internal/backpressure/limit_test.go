package backpressure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func TestLimitIsParsed(t *testing.T) {
	named := func(rate float64) Statement { return Statement{Named: true, Rate: rate} }
	for _, c := range []struct {
		values []string
		want   Statement
	}{
		{nil, Statement{}},
		{[]string{"2.3"}, named(2.3)},
		{[]string{" 0 "}, named(0)},
		{[]string{"0.1"}, named(0.1)},
		{[]string{"1e9"}, named(1e9)},
		{[]string{"4", "2"}, named(2)},
		{[]string{"4", "x"}, named(4)},
		{[]string{"x", "4"}, named(4)},
		{[]string{""}, Statement{Unreadable: true}},
		{[]string{"NaN"}, Statement{Unreadable: true}},
		{[]string{"Inf"}, Statement{Unreadable: true}},
		{[]string{"-1"}, Statement{Unreadable: true}},
		{[]string{"2,3"}, Statement{Unreadable: true}},
	} {
		assert.Equal(t, c.want, ReadLimit(c.values), "%q", c.values)
	}
}

func TestLateAnswerDoesNotLiftLimit(t *testing.T) {
	var l Limit
	assert.True(t, l.Hear(at(2), at(1), Statement{Named: true, Rate: 2}))
	assert.False(t, l.Hear(at(3), at(1.5), Statement{}), "the request was sent before the limit was known")
	assert.False(t, l.Hear(at(3), at(1.5), Statement{Named: true, Rate: 9}))
	assert.Equal(t, 2.0, l.Rate)
	assert.True(t, l.Hear(at(3), at(1.5), Statement{Named: true, Rate: 1}), "a lower limit counts at once")
	assert.False(t, l.Hear(at(5), at(4), Statement{Unreadable: true}))
	assert.True(t, l.Hear(at(5), at(4), Statement{Named: true, Rate: 9}))
	assert.True(t, l.Hear(at(7), at(6), Statement{}))
	assert.False(t, l.InForce)
}

func TestUpdateIsForwardedOnce(t *testing.T) {
	table := NewTable()
	named := News{Start: "s", Limited: true, Rate: 2, At: at(1)}
	merge := func(n News) bool {
		_, isNew := table.Merge(n)
		return isNew
	}
	assert.True(t, merge(named))
	again := named
	again.At = at(1.1)
	assert.False(t, merge(again), "returned by another control server")
	lifted := News{Start: "s", At: at(2)}
	assert.True(t, merge(lifted))
	assert.False(t, merge(again), "it is older")
	assert.Equal(t, []News{lifted}, table.All())
	leaves := News{Start: "s", Leaving: true, At: at(1.5)}
	assert.True(t, merge(leaves), "leaving is never taken back, even if a later update lacks it")
	assert.Equal(t, []News{{Start: "s", Leaving: true, At: at(2)}}, table.All())
	assert.False(t, merge(lifted))
	table.Forget(at(2).Add(2 * updateRetention))
	assert.Empty(t, table.All())
}

func TestLaterUpdateFromAnotherEntryWins(t *testing.T) {
	var l Limit
	assert.True(t, l.Learn(News{Limited: true, Rate: 2, At: at(1)}))
	assert.False(t, l.Learn(News{Limited: true, Rate: 2, At: at(2)}))
	assert.False(t, l.Learn(News{At: at(1.5)}))
	assert.True(t, l.InForce)
	assert.True(t, l.Learn(News{At: at(3)}))
	assert.False(t, l.Hear(at(4), at(2.5), Statement{}))
	assert.False(t, l.InForce)
}
