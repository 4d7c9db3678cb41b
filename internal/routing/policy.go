package routing

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Candidates are backend servers that may each take the request: announced,
// heard from, live on the version, with a free slot. There is at least one.
type Candidates struct {
	Request Request
	Servers []*ServerView
	Now     time.Time
	region  string
	cfg     *Config
}

// Policy chooses one of the candidates. It is called by many goroutines.
type Policy interface {
	Choose(c *Candidates, rng *rand.Rand) (*ServerView, Ground)
}

// Ground tells, for metrics, why a backend server was chosen.
type Ground string

// The grounds of a choice.
const (
	GroundOnly       Ground = "only"
	GroundProbe      Ground = "probe"
	GroundPrefix     Ground = "prefix"
	GroundTwoChoices Ground = "two_choices"
	GroundBaseline   Ground = "baseline"
)

// Balanced is the policy in use: a probe that is due, else the owner of the
// request's prefix, else the better of two near backend servers.
type Balanced struct{}

// Choose implements Policy.
func (Balanced) Choose(c *Candidates, rng *rand.Rand) (*ServerView, Ground) {
	if len(c.Servers) == 1 {
		return c.Servers[0], GroundOnly
	}
	if s := dueProbe(c); s != nil {
		return s, GroundProbe
	}
	if c.Request.Prefix != 0 {
		if s := chooseByPrefix(c); s != nil {
			return s, GroundPrefix
		}
	}
	return betterOfTwo(c, c.near(), rng), GroundTwoChoices
}

// TwoChoices is Balanced without prefixes, nearness and probes.
type TwoChoices struct{}

// Choose implements Policy.
func (TwoChoices) Choose(c *Candidates, rng *rand.Rand) (*ServerView, Ground) {
	return betterOfTwo(c, c.Servers, rng), GroundTwoChoices
}

// Random is a baseline.
type Random struct{}

// Choose implements Policy.
func (Random) Choose(c *Candidates, rng *rand.Rand) (*ServerView, Ground) {
	return c.Servers[rng.IntN(len(c.Servers))], GroundBaseline
}

// RoundRobin is a baseline.
type RoundRobin struct{ next atomic.Uint64 }

// Choose implements Policy.
func (r *RoundRobin) Choose(c *Candidates, _ *rand.Rand) (*ServerView, Ground) {
	return c.Servers[(r.next.Add(1)-1)%uint64(len(c.Servers))], GroundBaseline
}

// betterOfTwo draws two backend servers and takes the one with less cost.
func betterOfTwo(c *Candidates, from []*ServerView, rng *rand.Rand) *ServerView {
	a := draw(c, from, nil, rng)
	if a == nil {
		return warmest(c, from)
	}
	b := draw(c, from, a, rng)
	if b == nil || a.cost(c.Now) <= b.cost(c.Now) {
		return a
	}
	return b
}

// maxDraws bounds how often a draw may fall on one with a reduced share.
const maxDraws = 4

// draw returns a random backend server other than not, or nil. One with a
// reduced share is passed over in proportion.
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

// warmest returns the backend server with the highest share.
func warmest(c *Candidates, from []*ServerView) *ServerView {
	best := from[0]
	for _, s := range from[1:] {
		if s.share(c.Now) > best.share(c.Now) {
			best = s
		}
	}
	return best
}
