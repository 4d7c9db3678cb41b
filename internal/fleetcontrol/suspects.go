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

// Suspicions, which request contents were in flight at a backend server when it crashed, are
// forwarded to all entries at once, through every control server and outside the log: a crash
// causes a few of them, and the table bounds them. Only quarantined contents are written to the
// log, some 30 bytes each, once: such a content must not crash three more servers after all
// control servers and entries have lost power.

const (
	// recordInterval is how often quarantined contents that are not in the log are looked for.
	recordInterval = 200 * time.Millisecond
	// maxRecorded bounds the digests of one command.
	maxRecorded = 64
)

// mergeSuspicions merges suspicions and marks the new ones for followers.
func (h *hub) mergeSuspicions(updates []quarantine.Update) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mergeSuspicionsLocked(clock.Now(), updates)
}

// mergeSuspicionsLocked is mergeSuspicions for callers that hold the lock.
func (h *hub) mergeSuspicionsLocked(now time.Time, updates []quarantine.Update) {
	var fresh []quarantine.Update
	for _, n := range updates {
		if h.suspects.Merge(now, n) {
			fresh = append(fresh, n)
		}
	}
	if len(fresh) > 0 {
		h.forward(fresh)
	}
}

// forward marks suspicions for all entries and control servers; the caller holds the lock.
func (h *hub) forward(updates []quarantine.Update) {
	for f := range h.followers {
		if f.role != RoleAgent {
			f.suspicions = append(f.suspicions, updates...)
			f.notifyUrgent()
		}
	}
}

// settle makes due verdicts final and forwards new quarantines.
func (h *hub) settle() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.suspects.Empty() {
		return
	}
	quarantined := h.suspects.Quarantine(clock.Now())
	for _, n := range quarantined {
		h.log.Warn().Stringer("content", n.Digest).Str("part", n.Part).Strs("ended_servers", h.suspects.Evidence(n.Digest)).Msg("work is held back")
	}
	if len(quarantined) > 0 {
		h.forward(quarantined)
	}
}

// mergeQuarantined merges the quarantined contents of the committed state; the caller holds the
// lock. It is called before anything of that state is sent: an entry that receives its first
// configuration after a power loss then has the quarantined contents, too, and does not dispatch
// them.
func (h *hub) mergeQuarantined(state *ledger.State) {
	if slices.Equal(state.Quarantined, h.committed) {
		return
	}
	h.committed = state.Quarantined
	now := clock.Now()
	recorded := make(map[quarantine.Digest]bool, len(state.Quarantined))
	var updates []quarantine.Update
	for _, q := range state.Quarantined {
		recorded[q.Digest] = true
		if !h.recorded[q.Digest] {
			updates = append(updates, quarantine.Update{Digest: q.Digest, Index: q.Index, At: now})
		}
	}
	for d := range h.recorded {
		if !recorded[d] {
			updates = append(updates, quarantine.Update{Digest: d, Cleared: true, Index: state.QuarantineIndex, At: now})
		}
	}
	h.recorded = recorded
	h.mergeSuspicionsLocked(now, updates)
}

// unrecorded returns the digests of quarantined contents that are not in the log yet.
func (h *hub) unrecorded() [][]byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.suspects.Empty() {
		return nil
	}
	now := clock.Now()
	var out [][]byte
	for _, n := range h.suspects.All() {
		ofCrashes := n.Server == "" && !n.Cleared && n.Index == 0
		if ofCrashes && !h.recorded[n.Digest] && h.suspects.Verdict(now, n.Digest) == quarantine.Quarantined && len(out) < maxRecorded {
			out = append(out, n.Digest[:])
		}
	}
	return out
}

// lifted returns the digests that are in the log as quarantined although they were released since.
func (h *hub) lifted() []quarantine.Digest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.suspects.Released()
}

// recordQuarantined writes quarantined contents, and their releases by answers, to the log while this server is the leader.
func (s *Server) recordQuarantined(ctx context.Context) {
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		quarantined, lifted := s.hub.unrecorded(), s.hub.lifted()
		if len(quarantined)+len(lifted) == 0 || !s.isLeader() {
			continue
		}
		if len(quarantined) > 0 {
			err := s.submit(ctx, &rpc.FleetCommand{Held: quarantined})
			s.cfg.Logger.Info().Int("contents", len(quarantined)).AnErr("error", err).Msg("work that is held was put into the log")
		}
		for _, d := range lifted {
			err := s.submit(ctx, &rpc.FleetCommand{Lifted: d[:]})
			s.cfg.Logger.Info().Stringer("content", d).AnErr("error", err).Msg("work that an answer has cleared was taken out of the log")
		}
	}
}

// isLeader reports whether this server considers itself the leader of the log.
func (s *Server) isLeader() bool { return s.node.Status().Role == replica.RoleLeader }
