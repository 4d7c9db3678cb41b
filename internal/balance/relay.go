package balance

import (
	"time"

	"lynxgate.dev/lynxgate/internal/dispatch"
)

// A deadline counts from when the server reads it, and the close of a connection takes effect when it arrives there. Both are
// late by what the path delays them, which nobody knows in advance. So shortly before the bound on a server's weights, requests
// go through the agent on its VM, which keeps the bound by its own clock (package relay). Until then they are sent
// directly, so early that they can be cancelled over a path that delays by pathDelay.

const (
	// pathDelay is the longest delay of the path to a server with which requests that were sent directly keep the bound.
	// A connection whose data stay unacknowledged for 1.5 s has failed by then.
	pathDelay = 2 * time.Second
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

// CancelMarginOf returns how long before the bound on a server's weights a request that has not begun is cancelled, or not sent any
// more. A request that is relayed is also cancelled by the agent.
func (b *Balancer) CancelMarginOf(relayed bool) time.Duration {
	if b.relays() && !relayed {
		return CancelMargin + pathDelay
	}
	return CancelMargin
}

// cancelAt returns when the request is cancelled if it has not begun, zero if the weights do not expire.
func (c *Choice) cancelAt() time.Time {
	if c.Expiry.At.IsZero() {
		return time.Time{}
	}
	return c.Expiry.At.Add(namingTolerance - c.cancelMargin)
}

// Pool returns the connections on which the request is sent.
func (c *Choice) Pool() *dispatch.Pool {
	if c.Expiry.Relayed {
		return c.Server.relay
	}
	return c.Server.Pool
}

// EndedByRelay reports whether the agent may have ended the request because of the bound, since it had not begun. Its bound may be some
// 0.1 s before the one that is known here.
func (c *Choice) EndedByRelay(now time.Time, begun bool) bool {
	return c.Expiry.Relayed && !begun && !now.Before(c.cancelAt().Add(-namingTolerance-expiryTolerance))
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
