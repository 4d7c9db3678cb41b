package configfeed

import "time"

// timing holds the waits of a chooser.
type timing struct {
	// startWait is how long a starting process insists on a confirmed source.
	startWait time.Duration
	// patience is how long a source may be behind or unconfirmed before
	// another one is tried.
	patience time.Duration
	// minBackoff and maxBackoff bound the wait between rounds of sources.
	minBackoff time.Duration
	maxBackoff time.Duration
}

// offer is a whole update as the chooser sees it.
type offer struct {
	revision  uint64
	confirmed bool
}

// verdict says what to do with an offer and with the source that made it.
type verdict struct {
	// take puts the update into force.
	take bool
	// hold keeps the update as the candidate of a starting process.
	hold bool
	// adopt puts the candidate held so far into force.
	adopt bool
	// move leaves the source for the next one.
	move bool
	// refused is true for an update below what is in force.
	refused bool
}

// attempt says which source to ask next.
type attempt struct {
	upstream      int
	wait          time.Duration
	needConfirmed bool
}

// chooser decides which source to follow and which updates to take. It is a
// pure step: its methods depend on its fields and arguments only.
type chooser struct {
	timing    timing
	upstreams int
	started   time.Time

	// have is the revision in force, 0 before the first one.
	have uint64
	// floor is the lowest revision that may come into force first.
	floor uint64
	// candidate is the highest unconfirmed revision offered while starting.
	candidate uint64
	// current is the source asked now; -1 before the first.
	current int
	// tried counts sources left in a row without a confirmed update.
	tried int
	// probed counts sources asked since a starting process stopped insisting.
	probed int
	// goodSince is when the current source last was neither behind nor
	// unconfirmed, or when it was chosen.
	goodSince time.Time
	// lastConfirmed is when a confirmed update last showed the revision in
	// force to be current.
	lastConfirmed time.Time
}

func newChooser(upstreams int, floor uint64, t timing, now time.Time) *chooser {
	return &chooser{timing: t, upstreams: upstreams, floor: floor, started: now, current: -1}
}

// starting reports whether no revision is in force yet.
func (c *chooser) starting() bool { return c.have == 0 }

// insists reports whether only a confirmed first revision is good enough.
func (c *chooser) insists(now time.Time) bool {
	return now.Sub(c.started) < c.timing.startWait
}

// next chooses the source to ask after the current one was left or lost.
func (c *chooser) next(now time.Time) attempt {
	c.current = (c.current + 1) % c.upstreams
	a := attempt{upstream: c.current, needConfirmed: c.starting() && c.insists(now)}
	a.wait = c.backoff()
	c.goodSince = now.Add(a.wait)
	return a
}

// backoff is the wait before the next attempt: none within the first round,
// then doubled with every round that found no confirmed source.
func (c *chooser) backoff() time.Duration {
	rounds := c.tried / c.upstreams
	if rounds == 0 {
		return 0
	}
	wait := c.timing.minBackoff
	for i := 1; i < rounds && wait < c.timing.maxBackoff; i++ {
		wait *= 2
	}
	wait = min(wait, c.timing.maxBackoff)
	if c.tried%c.upstreams != 0 {
		return wait / time.Duration(c.upstreams)
	}
	return wait
}

// lost notes that the current source was left: it did not answer, broke off
// or was silent. A starting process that has asked all adopts the candidate.
func (c *chooser) lost(now time.Time) verdict {
	c.tried++
	if !c.starting() || c.insists(now) {
		return verdict{}
	}
	c.probed++
	if c.probed < c.upstreams || c.candidate == 0 {
		return verdict{}
	}
	c.have = c.candidate
	return verdict{adopt: true}
}

// offered decides on an update of the current source.
func (c *chooser) offered(o offer, now time.Time) verdict {
	v := c.judge(o)
	if v.take {
		c.have = o.revision
	}
	if v.hold {
		c.candidate = o.revision
	}
	if o.confirmed && o.revision >= max(c.have, c.floor) {
		c.goodSince = now
		c.tried = 0
		c.noteConfirmed(now)
	}
	v.move = v.move || c.outOfPatience(now)
	return v
}

// noteConfirmed notes that the revision in force was shown to be current.
func (c *chooser) noteConfirmed(now time.Time) {
	if !c.starting() {
		c.lastConfirmed = now
	}
}

func (c *chooser) judge(o offer) verdict {
	if o.revision < max(c.have, c.floor) {
		return verdict{refused: true, move: c.starting()}
	}
	if !c.starting() {
		return verdict{take: o.revision > c.have}
	}
	if o.revision == 0 {
		return verdict{move: !o.confirmed}
	}
	if o.confirmed {
		return verdict{take: true}
	}
	return verdict{hold: o.revision > c.candidate, move: true}
}

// outOfPatience reports whether the current source has been behind or
// unconfirmed for too long while there are others.
func (c *chooser) outOfPatience(now time.Time) bool {
	return c.upstreams > 1 && now.Sub(c.goodSince) > c.timing.patience
}
