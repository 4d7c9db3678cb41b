package balance

import (
	"time"

	"lynxgate.dev/lynxgate/internal/relay"
	"lynxgate.dev/lynxgate/internal/reservation"
)

// Requests must not begin on a version of weights later than Config.VersionBound after a newer one was named, and an answer that has
// begun must not be cut. An engine ends a request at its deadline, whether it waits or is being answered. So an engine gets the
// bound as a deadline only for requests that end before it even if the engine slows down by maxSlowdown; that keeps the bound also
// while no process of ours runs. Other requests begin at once or not at all: shortly before the bound the agent on the engine's VM
// passes them on to free slots only, and so early that they begin in time (package relay): some engines go on with a request that was
// cancelled. One that is predicted to outlast the
// bound is sent to an engine on expiring weights only if none of the others that are evaluated accepts it. Servers must confirm each
// version that was named.

const (
	// namingTolerance is how much later than its acknowledgement a naming may be known here: a control server applies it
	// up to 50 ms later, and the message with its age may wait on its way.
	namingTolerance = 100 * time.Millisecond
	// CancelMargin is how long before the bound a request that has no event is cancelled, or not sent any more. It covers an
	// entry that is busy with a new configuration for 0.3 s, and the latency to the server.
	CancelMargin = relay.CancelMargin
	// answerPaceFactor is how many times as long as a pass an event of an answer takes at an engine with all slots in use:
	// prompts of other requests take up to a third of the time.
	answerPaceFactor = 1.5
	// maxSlowdown is how many times as long as predicted a request may take without being cut at its deadline.
	maxSlowdown = 4
	// outlastsPenalty is the cost of a server whose weights expire before the request ends. It exceeds the usual costs of one
	// with newer weights; unlike lastResortPenalty it does not have all servers evaluated, which would send the requests of all
	// entries to the same ones.
	outlastsPenalty = 1 * time.Second
	// maxConfirmationAge is how old the knowledge of all namings may be to count as current. Control servers renew it every 0.4 s, unless
	// a stream is lost.
	maxConfirmationAge = 1500 * time.Millisecond
	// maxChoiceAge is the age of a choice from which on its request is not sent: an entry that stood still knows nothing of
	// the server since. Connecting takes up to 0.4 s.
	maxChoiceAge = 1 * time.Second
	// expiryTolerance covers rounding of deadlines and the way of an answer that the deadline has ended.
	expiryTolerance = 50 * time.Millisecond
)

// Expiry is what a choice rests on if a newer version of the weights was named than the chosen server holds.
type Expiry struct {
	// At is the bound from which on no request may begin there, zero if no newer version was named.
	At time.Time
	// Outlasts: the request is predicted to end after that.
	Outlasts bool
	// KeptByServer: the server gets the bound as the deadline of the request, which ends it at KeptUntil.
	KeptByServer bool
	KeptUntil    time.Time
	// MayBeCut: the request may take until that deadline.
	MayBeCut bool
	// Relayed: the request is sent through the agent on the server's VM.
	Relayed bool
	// Unconfirmed: no newer version is known, but one may have been named since this entry was last told all namings.
	// The agent decides by what it knows itself, and is told AgentsBound, which refuses nothing if it knows of no newer version either.
	Unconfirmed bool
	AgentsBound time.Time
	// Unguarded: the server might begin the request past the bound after a standstill, whether or not its connection is open then.
	Unguarded bool
}

// Unsendable reports whether the request must not be sent, since the server may end it in the middle of its answer, or begin it past the
// bound.
func (e Expiry) Unsendable() bool { return e.KeptByServer && e.MayBeCut || e.Unguarded }

// expiry returns the expiry of weights for a request that is predicted to take this long, without who keeps the bound.
func (b *Balancer) expiry(now time.Time, model string, version uint64, takes time.Duration) Expiry {
	named := b.view.Versions[model].NamedAfter(version)
	if version == 0 || named.IsZero() {
		return Expiry{}
	}
	at := named.Add(b.cfg.VersionBound - namingTolerance)
	return Expiry{At: at, Outlasts: now.Add(takes).After(at)}
}

// unconfirmedExpiry returns the expiry of a server's weights in case a newer version was named right after this entry was last told all
// namings, zero if that counts as current.
func (b *Balancer) unconfirmedExpiry(now time.Time, version uint64) Expiry {
	if version == 0 || b.cfg.ConfirmedAt == nil {
		return Expiry{}
	}
	confirmed := b.cfg.ConfirmedAt()
	if confirmed.IsZero() || now.Sub(confirmed) <= maxConfirmationAge {
		return Expiry{}
	}
	return Expiry{At: confirmed.Add(b.cfg.VersionBound - namingTolerance), Unconfirmed: true}
}

// mustConfirm reports whether a server must confirm that it holds a version: if this one or an earlier one was named, those
// before it expire sooner, or have expired.
func (b *Balancer) mustConfirm(model string, version uint64) bool {
	for _, named := range b.view.Versions[model].History() {
		if named.Number <= version {
			return true
		}
	}
	return false
}

// setVersion replaces the version that the chosen server is taken to hold by a more recent statement, which is about the first
// model of its engine.
func (b *Balancer) setVersion(c *Choice, version uint64, source string, age time.Duration) {
	if models := c.Server.engine.Models; version == 0 || len(models) == 0 || c.model != models[0] {
		return
	}
	c.Version, c.VersionSource, c.VersionAge = version, source, age
}

// answerTime returns how long the events of an answer of this many tokens take after the first one.
func (s *Server) answerTime(tokens int, pace float64) time.Duration {
	if s.engine == nil || tokens <= 0 {
		return 0
	}
	stride := max(s.engine.Stride, 1)
	events := (tokens + stride - 1) / stride
	return scale(time.Duration(events-1)*s.engine.PassTime(), answerPaceFactor*pace)
}

// Takes returns how long the request is predicted to take at the chosen server.
func (c *Choice) Takes() time.Duration { return c.takes }

// Deadline returns the earlier of a deadline and the bound on the chosen server's weights, if the server keeps that.
func (c *Choice) Deadline(deadline time.Time) time.Time {
	if c.Expiry.KeptByServer && c.Expiry.KeptUntil.Before(deadline) {
		return c.Expiry.KeptUntil
	}
	return deadline
}

// Expired reports whether the server may have ended the request because of the bound on its weights.
func (c *Choice) Expired(now time.Time) bool {
	return c.Expiry.KeptByServer && !now.Before(c.Expiry.KeptUntil.Add(-expiryTolerance))
}

// Sendable reports whether the request may still be sent.
func (c *Choice) Sendable(now time.Time) bool {
	return !now.After(c.SendBy()) && !c.Expiry.Unsendable()
}

// Renewable reports whether the same server may be chosen again, if the request was not sent since the choice was too old.
func (c *Choice) Renewable(now time.Time) bool {
	if c.Expiry.Unsendable() {
		return false
	}
	cancelAt := c.cancelAt()
	return cancelAt.IsZero() || now.Before(cancelAt)
}

// SendBy returns when the request may be sent at the latest. The lease of a reservation counts from the choice, which precedes the
// question to the agent: an entry that stood still may read an old decision.
func (c *Choice) SendBy() time.Time {
	by := c.pickedAt.Add(maxChoiceAge)
	if c.reserved {
		by = c.pickedAt.Add(reservation.SendTime)
	}
	if latest := c.latestSend(); !latest.IsZero() && latest.Before(by) {
		return latest
	}
	return by
}

// latestSend returns until when the bound on the server's weights allows the request to be sent, zero if they do not expire. After that, a
// direct one is to be relayed.
func (c *Choice) latestSend() time.Time {
	if !c.Expiry.At.IsZero() && c.pathMargin > 0 {
		return c.Expiry.At.Add(-relayWindow)
	}
	return c.cancelAt()
}
