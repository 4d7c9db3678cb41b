package staging

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/fleet"
)

const (
	// maxConfirmBackoff bounds the pause between two attempts to confirm the digests of a version, so that a version becomes usable soon
	// after the origin is reachable again.
	maxConfirmBackoff = 2 * time.Second
	// confirmWarning is for how long a version may wait for the confirmation of its digests before that is logged.
	confirmWarning = 2 * time.Second
)

// confirmDigests confirms the digests of the wanted versions until ctx is done.
func (s *Stager) confirmDigests(ctx context.Context) {
	ticker := time.NewTicker(wantedInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, g := range s.wanted() {
			set := s.sets.get(g.key())
			if set == nil {
				continue
			}
			if since, due := set.takeConfirmation(clock.Now()); due {
				s.confirm(ctx, g, set, since)
			}
		}
	}
}

// takeConfirmation reports whether an attempt to confirm digests is due, and since when they lack a confirmation.
func (p *pieceSet) takeConfirmation(now time.Time) (since time.Time, due bool) {
	unproven, contested := p.unconfirmed()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case unproven+contested == 0:
		p.confirmSince, p.confirmAt, p.confirmTries = time.Time{}, time.Time{}, 0
		return time.Time{}, false
	case p.confirmSince.IsZero():
		p.confirmSince = now
	case now.Before(p.confirmAt):
		return p.confirmSince, false
	}
	p.confirmTries++
	p.confirmAt = now.Add(min(doubtBackoff(p.confirmTries), maxConfirmBackoff))
	return p.confirmSince, true
}

// confirm asks peers which digests they have confirmed, and, in this agent's turn, the origin for a second answer.
func (s *Stager) confirm(ctx context.Context, g goal, set *pieceSet, since time.Time) {
	servers := s.servers()
	confirmers := s.confirmers(servers)
	answers := map[string]digestAnswer{}
	for _, peer := range s.confirmationPeers(servers, confirmers) {
		if answer, err := s.digestsFrom(ctx, peer, g, set.allDigests()); err == nil {
			s.adopt(g, set, answer, peer)
			answers[peer] = answer
		}
	}
	for peer, answer := range answers { // after all were adopted: digests for which any of them differs are not confirmed
		if confirmed := set.compareFirst(answer); confirmed > 0 {
			s.logConfirmed(g, confirmed, peer)
		}
	}
	if s.engineVersion.Load() < g.version {
		set.dropSample(g.version) // all pieces came from peers that confirm nothing, such as those of an earlier build
	}
	unproven, contested := set.unconfirmed()
	waited := clock.Since(since)
	if unproven+contested > 0 && waited > confirmWarning {
		s.log.Warn().Str("model", g.model).Uint64("version", g.version).Int("unproven", unproven).Int("contested", contested).
			Dur("waited_ms", waited).Msg("digests are not confirmed yet")
	}
	if unproven == 0 || !set.hasBytes() || !s.reported.Load() || waited < time.Duration(s.confirmationRank(confirmers, set))*digestDelay {
		return
	}
	second, err := s.digestsFromOrigin(ctx, g)
	if err != nil {
		s.log.Warn().Err(err).Str("model", g.model).Uint64("version", g.version).Msg("second answer for digests not received")
		return
	}
	confirmed, differing := set.compare(second, true)
	s.logConfirmed(g, confirmed, "origin")
	s.logContested(g, differing, "origin")
}

// adopt takes over what a peer knows of the digests, and reports whether that replaced any.
func (s *Stager) adopt(g goal, set *pieceSet, answer digestAnswer, peer string) bool {
	replaced, contested := set.adopt(answer)
	s.logContested(g, contested, peer)
	if len(replaced) == 0 {
		return false
	}
	s.logCorrected(g, replaced, peer)
	return true
}

// logConfirmed records that a second answer was compared, and how many digests it confirmed.
func (s *Stager) logConfirmed(g goal, confirmed int, source string) {
	s.cfg.Metrics.confirmed.Add(float64(confirmed))
	s.log.Info().Str("model", g.model).Uint64("version", g.version).Int("confirmed", confirmed).Str("source", source).
		Msg("second answer for digests received")
}

// logContested records that answers name different digests for pieces.
func (s *Stager) logContested(g goal, pieces []int, source string) {
	if len(pieces) == 0 {
		return
	}
	s.cfg.Metrics.contested.Add(float64(len(pieces)))
	s.log.Warn().Str("model", g.model).Uint64("version", g.version).Ints("pieces", pieces).Str("source", source).
		Msg("answers name different digests")
}

// confirmers are the servers whose agents ask the origin for the second answer: all but the one whose agent is first to ask for digests,
// unless that is the only one.
func (s *Stager) confirmers(servers []*fleet.BackendServer) []*fleet.BackendServer {
	first := newPieceRanks(s.cfg.EngineAddr, servers).first(rankForDigests)
	if first == nil || len(servers) == 1 {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), func(b *fleet.BackendServer) bool { return b.Addr == first.Addr })
}

// confirmationRank is the number of agents that ask the origin for the second answer before this one. An agent that received the first
// answer itself is the last.
func (s *Stager) confirmationRank(confirmers []*fleet.BackendServer, set *pieceSet) int {
	if set.askedOrigin.Load() {
		return len(slices.DeleteFunc(slices.Clone(confirmers), func(b *fleet.BackendServer) bool { return b.Addr == s.cfg.EngineAddr }))
	}
	return s.rankAmong(confirmers, rankForConfirmation)
}

// confirmationPeers returns the agent that is first to ask the origin for the second answer, and a random one.
func (s *Stager) confirmationPeers(servers, confirmers []*fleet.BackendServer) (peers []string) {
	add := func(b *fleet.BackendServer) {
		if peer := s.cfg.PeerAddr(b.Addr); b.Addr != s.cfg.EngineAddr && !slices.Contains(peers, peer) {
			peers = append(peers, peer)
		}
	}
	if first := newPieceRanks(s.cfg.EngineAddr, confirmers).first(rankForConfirmation); first != nil {
		add(first)
	}
	if len(servers) > 0 {
		add(servers[rand.IntN(len(servers))])
	}
	return peers
}
