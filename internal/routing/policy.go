package routing

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Candidates are backend servers that may each take the request: announced,
// reachable, live on the version, with a free slot. There is at least one.
type Candidates struct {
	Request Request
	Servers []*ServerView
	Now     time.Time
	region  string
	cfg     *Config
}

// Policy chooses one of the candidates. It must be safe for concurrent use.
type Policy interface {
	Choose(c *Candidates, rng *rand.Rand) (*ServerView, SelectedBy)
}

// SelectedBy is the rule by which a policy chose a backend server.
type SelectedBy string

// The rules of the policies below.
const (
	SelectedAsOnlyCandidate SelectedBy = "only"
	SelectedByProbe         SelectedBy = "probe"
	SelectedByPrefix        SelectedBy = "prefix"
	SelectedByTwoChoices    SelectedBy = "two_choices"
	SelectedByBaseline      SelectedBy = "baseline"
)

// Balanced is the default policy. It chooses an ejected backend server that is
// due for a probe, else the owner of the request's prefix, else the better of two
// random ones nearby.
type Balanced struct{}

// Choose implements Policy.
func (Balanced) Choose(c *Candidates, rng *rand.Rand) (*ServerView, SelectedBy) {
	if len(c.Servers) == 1 {
		return c.Servers[0], SelectedAsOnlyCandidate
	}
	if s := dueProbe(c); s != nil {
		return s, SelectedByProbe
	}
	if c.Request.Prefix != 0 {
		if s := chooseByPrefix(c); s != nil {
			return s, SelectedByPrefix
		}
	}
	return betterOfTwo(c, c.nearest(), rng), SelectedByTwoChoices
}

// TwoChoices is Balanced without probes, prefixes and locality.
type TwoChoices struct{}

// Choose implements Policy.
func (TwoChoices) Choose(c *Candidates, rng *rand.Rand) (*ServerView, SelectedBy) {
	return betterOfTwo(c, c.Servers, rng), SelectedByTwoChoices
}

// Random chooses at random, as a baseline for comparison.
type Random struct{}

// Choose implements Policy.
func (Random) Choose(c *Candidates, rng *rand.Rand) (*ServerView, SelectedBy) {
	return c.Servers[rng.IntN(len(c.Servers))], SelectedByBaseline
}

// RoundRobin chooses in turn, as a baseline for comparison.
type RoundRobin struct{ next atomic.Uint64 }

// Choose implements Policy.
func (r *RoundRobin) Choose(c *Candidates, _ *rand.Rand) (*ServerView, SelectedBy) {
	return c.Servers[(r.next.Add(1)-1)%uint64(len(c.Servers))], SelectedByBaseline
}

// betterOfTwo draws two backend servers and returns the one with the lower cost.
func betterOfTwo(c *Candidates, from []*ServerView, rng *rand.Rand) *ServerView {
	a := draw(c, from, nil, rng)
	if a == nil {
		return highestShare(c, from)
	}
	b := draw(c, from, a, rng)
	if b == nil || a.cost(c.Now) <= b.cost(c.Now) {
		return a
	}
	return b
}

// maxDraws bounds the random choices of one draw.
const maxDraws = 4

// draw returns a random backend server other than not, or nil if it finds none.
// One with a share below 1 is accepted with that probability.
func draw(c *Candidates, from []*ServerView, not *ServerView, rng *rand.Rand) *ServerView {
	for range maxDraws {
		s := from[rng.IntN(len(from))]
		if s == not {
			continue
		}
		if share := s.share(c.Now); share >= 1 || rng.Float64() < share {
			return s
		}
	}
	return nil
}

// highestShare returns the backend server with the highest share.
func highestShare(c *Candidates, from []*ServerView) *ServerView {
	best := from[0]
	for _, s := range from[1:] {
		if s.share(c.Now) > best.share(c.Now) {
			best = s
		}
	}
	return best
}
