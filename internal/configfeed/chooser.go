package configfeed

import "time"

// timing holds the timeouts and delays of a chooser.
type timing struct {
	// startWait is how long a starting process accepts only confirmed updates.
	startWait time.Duration
	// staleTimeout is how long a source may be behind or unconfirmed before the
	// chooser moves to the next one.
	staleTimeout time.Duration
	// minBackoff and maxBackoff bound the wait between rounds over all sources.
	minBackoff time.Duration
	maxBackoff time.Duration
}

// offer is the part of an update that the chooser decides on.
type offer struct {
	revision  uint64
	confirmed bool
}

// decision is what to do with an offer and with its source.
type decision struct {
	// apply puts the update into force.
	apply bool
	// keep stores the update as the candidate of a starting process.
	keep bool
	// adopt puts the candidate into force.
	adopt bool
	// leave ends the subscription and moves to the next source.
	leave bool
	// refused is true for an update below the revision in force or the floor.
	refused bool
}

// connection is the next source to subscribe to, after a wait.
type connection struct {
	upstream      int
	wait          time.Duration
	needConfirmed bool
}

// chooser decides which source to follow and which updates to apply. It does no
// I/O and reads no clock: its methods depend on its fields and arguments only.
type chooser struct {
	timing    timing
	upstreams int
	started   time.Time

	// have is the revision in force, 0 before the first one.
	have uint64
	// floor is the lowest revision that may be applied first.
	floor uint64
	// candidate is the highest unconfirmed revision offered while starting.
	candidate uint64
	// current is the index of the current source; -1 before the first.
	current int
	// tried counts the sources left since the last confirmed update.
	tried int
	// triedAfterStartWait counts the sources left after startWait, while no
	// revision is in force.
	triedAfterStartWait int
	// lastGood is when the current source was last neither behind nor
	// unconfirmed; initially, when it was chosen.
	lastGood time.Time
	// lastConfirmed is when a confirmed update last showed that the revision in
	// force is current.
	lastConfirmed time.Time
}

func newChooser(upstreams int, floor uint64, t timing, now time.Time) *chooser {
	return &chooser{timing: t, upstreams: upstreams, floor: floor, started: now, current: -1}
}

// starting reports whether no revision is in force yet.
func (c *chooser) starting() bool { return c.have == 0 }

// needsConfirmed reports whether the first revision must be confirmed.
func (c *chooser) needsConfirmed(now time.Time) bool {
	return now.Sub(c.started) < c.timing.startWait
}

// next chooses the source to follow after the current one.
func (c *chooser) next(now time.Time) connection {
	c.current = (c.current + 1) % c.upstreams
	a := connection{upstream: c.current, needConfirmed: c.starting() && c.needsConfirmed(now)}
	a.wait = c.backoff()
	c.lastGood = now.Add(a.wait)
	return a
}

// backoff returns the wait before the next connection: 0 within the first round
// over the sources, then doubled with each round that found no confirmed source.
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

// sourceLeft records that the current source was left: it was unreachable, silent,
// stale, or closed the stream. A starting process adopts the candidate once it
// has tried all sources after startWait.
func (c *chooser) sourceLeft(now time.Time) decision {
	c.tried++
	if !c.starting() || c.needsConfirmed(now) {
		return decision{}
	}
	c.triedAfterStartWait++
	if c.triedAfterStartWait < c.upstreams || c.candidate == 0 {
		return decision{}
	}
	c.have = c.candidate
	return decision{adopt: true}
}

// offered decides on an update from the current source.
func (c *chooser) offered(o offer, now time.Time) decision {
	v := c.decide(o)
	if v.apply {
		c.have = o.revision
	}
	if v.keep {
		c.candidate = o.revision
	}
	if o.confirmed && o.revision >= max(c.have, c.floor) {
		c.lastGood = now
		c.tried = 0
		c.markConfirmed(now)
	}
	v.leave = v.leave || c.staleTooLong(now)
	return v
}

// markConfirmed records that the revision in force is current.
func (c *chooser) markConfirmed(now time.Time) {
	if !c.starting() {
		c.lastConfirmed = now
	}
}

func (c *chooser) decide(o offer) decision {
	if o.revision < max(c.have, c.floor) {
		return decision{refused: true, leave: c.starting()}
	}
	if !c.starting() {
		return decision{apply: o.revision > c.have}
	}
	if o.revision == 0 {
		return decision{leave: !o.confirmed}
	}
	if o.confirmed {
		return decision{apply: true}
	}
	return decision{keep: o.revision > c.candidate, leave: true}
}

// staleTooLong reports whether the current source was behind or unconfirmed for
// longer than staleTimeout while there are other sources.
func (c *chooser) staleTooLong(now time.Time) bool {
	return c.upstreams > 1 && now.Sub(c.lastGood) > c.timing.staleTimeout
}
