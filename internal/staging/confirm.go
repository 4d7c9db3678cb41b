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
	// maxConfirmationPeers bounds the agents that are asked in an attempt.
	maxConfirmationPeers = 2
	// minFirstAnswers is how many first answers of other agents are compared with an agent's own, if there are so many agents: fewer may be
	// equal though they are wrong, which those of the others would show.
	minFirstAnswers = 2
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
	first := map[string]digestAnswer{}
	for _, peer := range s.confirmationPeers(servers, confirmers) {
		answer, err := s.digestsFrom(ctx, peer, g, set.allDigests())
		if err != nil {
			continue
		}
		s.adopt(g, set, answer, peer)
		if answer.askedOrigin && len(answer.digests) == set.size() {
			first[peer] = answer
		}
	}
	if len(first) >= min(minFirstAnswers, len(servers)-1) {
		s.compareFirst(g, set, first)
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

// compareFirst compares the digests with the first answers of other agents, all of which were adopted: digests for which any of them differs
// are not confirmed.
func (s *Stager) compareFirst(g goal, set *pieceSet, answers map[string]digestAnswer) {
	for peer, answer := range answers {
		if confirmed := set.compareFirst(answer); confirmed > 0 {
			s.logConfirmed(g, confirmed, peer)
		}
	}
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

// confirmationPeers returns the agent that is first to ask the origin for the second answer, and random other ones.
func (s *Stager) confirmationPeers(servers, confirmers []*fleet.BackendServer) (peers []string) {
	own := s.cfg.PeerAddr(s.cfg.EngineAddr)
	add := func(b *fleet.BackendServer) {
		if peer := s.cfg.PeerAddr(b.Addr); peer != own && len(peers) < maxConfirmationPeers && !slices.Contains(peers, peer) {
			peers = append(peers, peer)
		}
	}
	if first := newPieceRanks(s.cfg.EngineAddr, confirmers).first(rankForConfirmation); first != nil {
		add(first)
	}
	for _, i := range rand.Perm(len(servers)) {
		add(servers[i])
	}
	return peers
}
