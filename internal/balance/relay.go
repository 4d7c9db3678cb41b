package balance

import (
	"time"

	"lynxgate.dev/lynxgate/internal/dispatch"
	"lynxgate.dev/lynxgate/internal/relay"
)

// A deadline counts from when the server reads it, and the close of a connection takes effect when it arrives there, if the server drops
// requests at a close at all. Both are late by what the path delays them, which nobody knows in advance. So shortly before the bound on a
// server's weights, requests go through the agent on its VM, which keeps the bound by its own clock (package relay). Until then they are
// sent directly, so early that a server that stands still begins them in time, and that most servers drop them when they are cancelled
// over a path that delays by pathDelay.

const (
	// pathDelay is the longest delay of the path to a server with which requests that were sent directly keep the bound.
	pathDelay = relay.PathDelay
	// directWait is how long a request that is sent directly has at least for its first event before it is cancelled because
	// of the bound. Callers of streams wait for 2 s.
	directWait = 2 * time.Second
	// relayWindow is how long before the bound requests begin to be relayed.
	relayWindow = directWait + pathDelay + CancelMargin
	// relayBackoff is how long no request is relayed after the agent has refused a connection.
	relayBackoff = 500 * time.Millisecond
)

// relays reports whether agents relay requests.
func (b *Balancer) relays() bool { return b.cfg.RelayAddr != nil }

// relaysTo reports whether the agent on a server's VM relays requests. One that has not reported yet is taken to do so: without it
// the server gets no requests shortly before the bound.
func (b *Balancer) relaysTo(s *Server) bool {
	return b.relays() && (s.agent.at.IsZero() || s.agent.relays)
}

// expiryAt returns the expiry of a server's weights for a request that is predicted to take this long, of which the path is late by
// lateness; bodiless requests have no body that the server still has to ask for. Beside an agent of an earlier build, which does not relay, only the server and this
// entry keep the bound, and the server alone that of a request that can't be cancelled.
func (b *Balancer) expiryAt(s *Server, now time.Time, model string, version uint64, takes, lateness time.Duration, cancellable, bodiless bool) Expiry {
	e := b.expiry(now, model, version, takes)
	if !e.At.IsZero() {
		return b.guarded(e, s, now, takes, lateness, cancellable, bodiless)
	}
	if e = b.unconfirmedExpiry(now, version); e.At.IsZero() {
		return e
	}
	e = b.guarded(e, s, now, takes, lateness, cancellable, bodiless)
	if !e.Relayed || e.Unsendable() || now.After(e.At.Add(-CancelMargin)) || now.Before(s.relayDownUntil) {
		return Expiry{} // nobody is refused for a version that may not exist
	}
	e.AgentsBound = now.Add(b.cfg.VersionBound + pathDelay)
	return e
}

// guarded returns an expiry with who keeps its bound.
func (b *Balancer) guarded(e Expiry, s *Server, now time.Time, takes, lateness time.Duration, cancellable, bodiless bool) Expiry {
	e.Relayed = b.relaysTo(s) && (!cancellable || now.After(e.At.Add(-relayWindow)))
	e.KeptUntil = e.At.Add(-b.deadlineMargin(s, e, bodiless))
	e.MayBeCut = now.Add(lateness + maxSlowdown*(takes-lateness)).After(e.KeptUntil)
	e.KeptByServer = !e.MayBeCut || !cancellable && !e.Relayed
	e.Unguarded = e.Relayed && e.MayBeCut && now.After(e.At.Add(-relay.BeginMargin(!cancellable)))
	return e
}

// deadlineMargin returns how long before the bound a server that keeps it ends the request. The path may renew the deadline of a direct
// request, the server's reading that of a relayed one.
func (b *Balancer) deadlineMargin(s *Server, e Expiry, bodiless bool) time.Duration {
	if e.Relayed {
		return relay.DeadlineMargin(bodiless)
	}
	return b.pathMargin(s, e)
}

// pathMargin returns the part of Choice.CancelMargin that covers the path.
func (b *Balancer) pathMargin(s *Server, e Expiry) time.Duration {
	if b.relaysTo(s) && !e.Relayed {
		return pathDelay
	}
	return 0
}

// CancelMargin returns how long before the bound on the server's weights the request is cancelled if it has not begun, or not sent any
// more. The agent that relays it cancels it, too.
func (c *Choice) CancelMargin() time.Duration { return CancelMargin + c.pathMargin }

// cancelAt returns when the request is cancelled if it has not begun, zero if the weights do not expire.
func (c *Choice) cancelAt() time.Time {
	if c.Expiry.At.IsZero() {
		return time.Time{}
	}
	return c.Expiry.At.Add(namingTolerance - c.CancelMargin())
}

// Pool returns the connections on which the request is sent.
func (c *Choice) Pool() *dispatch.Pool {
	if c.Expiry.Relayed {
		return c.Server.relay
	}
	return c.Server.Pool
}

// RelayBound returns the bound that the agent is told.
func (c *Choice) RelayBound() time.Time {
	if c.Expiry.Unconfirmed {
		return c.Expiry.AgentsBound
	}
	return c.Expiry.At
}

// RelayRefused records that the agent on a server's VM has refused a connection for a request to be relayed.
func (b *Balancer) RelayRefused(s *Server, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.relayDownUntil = now.Add(relayBackoff)
}

func (s *Server) setMaxConns(n int) {
	s.Pool.SetMaxOpen(n)
	if s.relay != nil {
		s.relay.SetMaxOpen(n)
	}
}

func (s *Server) closePools() {
	s.Pool.Close()
	if s.relay != nil {
		s.relay.Close()
	}
}

func (s *Server) closeStale(now time.Time) {
	s.Pool.CloseStale(now)
	if s.relay != nil {
		s.relay.CloseStale(now)
	}
}

// dials returns the number of connections that were established.
func (s *Server) dials() int64 {
	n := s.Pool.Dials.Load()
	if s.relay != nil {
		n += s.relay.Dials.Load()
	}
	return n
}
