package fleetcontrol

import (
	"context"
	"slices"
	"time"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/ledger"
	"lynxgate.dev/lynxgate/internal/quarantine"
	"lynxgate.dev/lynxgate/internal/replica"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// What entries know of work under which backend servers ended is spread to all entries at once,
// through every control server: it is told by an end, some facts each, and bounded by the table.
// Only work that is to be held goes into the log, some 30 bytes once: it must not end three
// more servers after all control servers and entries have lost power.

const (
	// recordInterval is how often work that is held is looked for that the log does not know.
	recordInterval = 200 * time.Millisecond
	// maxRecorded bounds the digests of one command.
	maxRecorded = 64
)

// suspected merges facts and passes on what was new.
func (h *hub) suspected(news []quarantine.News) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.spread(clock.Now(), news)
}

// spread merges facts and marks the new ones for followers; the lock is held.
func (h *hub) spread(now time.Time, news []quarantine.News) {
	var fresh []quarantine.News
	for _, n := range news {
		if h.suspects.Merge(now, n) {
			fresh = append(fresh, n)
		}
	}
	if len(fresh) > 0 {
		h.pass(fresh)
	}
}

// pass marks facts for all entries and control servers; the lock is held.
func (h *hub) pass(news []quarantine.News) {
	for f := range h.followers {
		if f.role != RoleAgent {
			f.suspicions = append(f.suspicions, news...)
			f.notify()
		}
	}
}

// settle makes verdicts final.
func (h *hub) settle() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.suspects.Empty() {
		return
	}
	held := h.suspects.Settle(clock.Now())
	for _, n := range held {
		h.log.Warn().Stringer("content", n.Digest).Strs("ended_servers", h.suspects.Evidence(n.Digest)).Msg("work is held back")
	}
	if len(held) > 0 {
		h.pass(held)
	}
}

// holdCommitted takes over the work that the log says is held; the lock is held. It comes
// before anything of the same state is sent: an entry that learns its first configuration after
// a loss of power knows then what it must not send.
func (h *hub) holdCommitted(state *ledger.State) {
	if slices.Equal(state.Held, h.committed) {
		return
	}
	h.committed = state.Held
	now := clock.Now()
	recorded := make(map[quarantine.Digest]bool, len(state.Held))
	for _, d := range state.Held {
		recorded[d] = true
		if !h.recorded[d] {
			h.spread(now, []quarantine.News{{Digest: d, At: now}})
		}
	}
	h.recorded = recorded
}

// unrecorded returns work that is held here and that the log does not know.
func (h *hub) unrecorded() [][]byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.suspects.Empty() {
		return nil
	}
	now := clock.Now()
	var out [][]byte
	for _, n := range h.suspects.All() {
		if n.Server == "" && !h.recorded[n.Digest] && h.suspects.Verdict(now, n.Digest) == quarantine.Held && len(out) < maxRecorded {
			out = append(out, n.Digest[:])
		}
	}
	return out
}

// recordHeld puts work that is held into the log, while this server leads.
func (s *Server) recordHeld(ctx context.Context) {
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		held := s.hub.unrecorded()
		if len(held) == 0 || !s.leads() {
			continue
		}
		err := s.submit(ctx, &rpc.FleetCommand{Held: held})
		s.cfg.Logger.Info().Int("contents", len(held)).AnErr("error", err).Msg("work that is held was put into the log")
	}
}

// leads tells whether this server is the leader of the log, as far as it knows.
func (s *Server) leads() bool { return s.node.Status().Role == replica.RoleLeader }
