package waiting

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Unix(1000, 0)

func request(organisation string, by time.Duration, clientRetry bool) *Request {
	return &Request{Organisation: organisation, ClientRetry: clientRetry, Since: start, WaitDeadline: start.Add(by)}
}

func TestFirstAttemptsPrecedeClientRetries(t *testing.T) {
	q := New()
	late, first := request("a", time.Second, true), request("b", time.Millisecond, false)
	q.Add(late)
	assert.False(t, q.HasFirstAttempts(""))
	q.Add(first)
	assert.True(t, q.HasFirstAttempts(""))
	assert.Equal(t, []*Request{first, late}, q.Ordered(start))
}

func TestNewestRequestIsFirst(t *testing.T) {
	q := New()
	ask := func(since, wait time.Duration) *Request {
		r := &Request{Organisation: "a", Since: start.Add(since), WaitDeadline: start.Add(since + wait)}
		q.Add(r)
		return r
	}
	// Of equal waits the newest request has most time left; a longer allowed wait gives no precedence.
	oldest, long, short := ask(0, 20*time.Millisecond), ask(5*time.Millisecond, 60*time.Millisecond), ask(8*time.Millisecond, 20*time.Millisecond)
	assert.Equal(t, []*Request{short, long, oldest}, q.Ordered(start.Add(9*time.Millisecond)))
	assert.Equal(t, []*Request{short, long}, q.Ordered(start.Add(20*time.Millisecond)), "the oldest request has timed out")
	assert.Equal(t, 3, q.Len(), "its own timer removes it")
}

func TestOrganisationsTakeTurns(t *testing.T) {
	q := New()
	for range 50 {
		q.Add(request("large", time.Minute, false))
	}
	small := request("small", time.Second, false)
	q.Add(small)
	got := map[string]int{}
	for range 2 {
		r := q.Ordered(start)[0]
		got[r.Organisation]++
		q.Granted(r)
	}
	assert.Equal(t, map[string]int{"large": 1, "small": 1}, got)
	assert.False(t, q.Remove(small), "it has got a slot")
	assert.Equal(t, 49, q.Len())
}

func TestWaitIsBoundedByTheObjective(t *testing.T) {
	const objective = 400 * time.Millisecond
	assert.Equal(t, start.Add(80*time.Millisecond), WaitDeadline(start, objective, false))
	assert.Equal(t, start.Add(200*time.Millisecond), WaitDeadline(start, objective, true))
}
