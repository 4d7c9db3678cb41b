package staging

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/pause"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// complete fetches the missing pieces of a version and returns its set.
func (s *Stager) complete(ctx context.Context, g goal) (*pieceSet, error) {
	set, err := s.openSet(ctx, g)
	if err != nil {
		return nil, err
	}
	if len(set.missing()) == 0 {
		return set, nil
	}
	return set, s.fetch(ctx, g, set)
}

// openSet returns the version's set, creating it if necessary. Pieces that are
// staged at the engine already are imported into it.
func (s *Stager) openSet(ctx context.Context, g goal) (*pieceSet, error) {
	k := key{g.model, g.version}
	set := s.sets.get(k)
	if set == nil {
		first, fromOrigin, err := s.firstDigests(ctx, g)
		if err != nil {
			return nil, err
		}
		set = s.sets.add(k, first.digests)
		set.adopt(first)
		set.askedOrigin.Store(fromOrigin)
	}
	if s.reported.Load() && set.startImport() {
		s.importStaged(ctx, g, set)
	}
	return set, nil
}

// prefetchDigests fetches the digests of the newest version while an older one is being fetched,
// until ctx is done. Without its digests the newest version cannot be chosen.
func (s *Stager) prefetchDigests(ctx context.Context) {
	ticker := time.NewTicker(wantedInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		wanted := s.wanted()
		if len(wanted) < 2 || s.sets.get(key{wanted[1].model, wanted[1].version}) != nil {
			continue
		}
		tryCtx, cancel := context.WithTimeout(ctx, completeTimeout)
		if _, err := s.openSet(tryCtx, wanted[1]); err != nil {
			s.log.Warn().Err(err).Str("model", wanted[1].model).Uint64("version", wanted[1].version).Msg("fetching digests failed")
		}
		cancel()
	}
}

// firstDigests returns the digests of a version from a peer or, after a delay that grows with this
// agent's rank, from the origin.
func (s *Stager) firstDigests(ctx context.Context, g goal) (answer digestAnswer, fromOrigin bool, err error) {
	servers := s.servers()
	rank := s.rankAmong(servers, rankForDigests)
	for began := clock.Now(); !s.reported.Load() || clock.Since(began) < time.Duration(rank)*digestDelay; {
		if answer, ok := s.digestsFromPeers(ctx, g, servers); ok {
			s.recordOriginServes(clock.Now())
			return answer, false, nil
		}
		if !pause.For(ctx, digestInterval) {
			return digestAnswer{}, false, ctx.Err()
		}
	}
	digests, err := s.digestsFromOrigin(ctx, g)
	if err != nil {
		return digestAnswer{}, false, err
	}
	s.log.Info().Str("model", g.model).Uint64("version", g.version).Msg("digests taken from the origin")
	return digestAnswer{digests: digests, confirmed: make([]bool, len(digests))}, true, nil
}

// digestsFromPeers asks the agent that is first to ask the origin, and some random others. It
// returns false if none of them has the digests.
func (s *Stager) digestsFromPeers(ctx context.Context, g goal, servers []*fleet.BackendServer) (digestAnswer, bool) {
	asked := rand.Perm(len(servers))[:min(digestPeers, len(servers))]
	if first := newPieceRanks(s.cfg.EngineAddr, servers).first(rankForDigests); first != nil {
		asked = append([]int{slices.Index(servers, first)}, asked...)
	}
	for _, i := range asked {
		if servers[i].Addr == s.cfg.EngineAddr {
			continue
		}
		answer, err := s.digestsFrom(ctx, s.cfg.PeerAddr(servers[i].Addr), g, nil)
		if err == nil && len(answer.digests) == g.engine.Pieces {
			return answer, true
		}
	}
	return digestAnswer{}, false
}

// digestsFrom asks a peer what it knows of the digests of a version, of which known are known here; nil if none are.
func (s *Stager) digestsFrom(ctx context.Context, peer string, g goal, known []Digest) (digestAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, digestTimeout)
	defer cancel()
	req := &rpc.DigestsRequest{Model: g.model, Version: g.version}
	if known != nil {
		req.Known = digestSum(known)
	}
	resp, err := rpc.NewDRPCPiecesClient(s.pool.Get(ctx, peer)).Digests(ctx, req)
	if err != nil {
		return digestAnswer{}, err
	}
	answer, err := decodeDigests(resp, known)
	if err != nil {
		return digestAnswer{}, fmt.Errorf("digests from %s: %w", peer, err)
	}
	return answer, nil
}

// importStaged adds the pieces that are staged at the engine to set if their digests match.
func (s *Stager) importStaged(ctx context.Context, g goal, set *pieceSet) {
	began := s.now()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	staged, err := s.cfg.Engine.StagedPieces(callCtx, g.model)
	cancel()
	if err != nil {
		s.log.Warn().Err(err).Msg("listing the staged pieces failed")
		return
	}
	// The engine got what it has loaded under digests that were confirmed, and there is no version before the first.
	loaded := s.engineVersion.Load()
	proven := loaded == g.version || g.version == firstVersion
	taken := 0
	for _, piece := range staged {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		data, err := s.cfg.Engine.Get(callCtx, g.model, piece)
		cancel()
		if err == nil && set.put(piece, data, proven) {
			taken++
		}
	}
	switch {
	case taken < set.size():
	case set.dropSample(g.version):
		s.log.Info().Uint64("version", g.version).Msg("all pieces were staged; one is fetched to compare")
	default:
		s.verification.record(g.key(), began)
	}
	s.log.Info().Uint64("version", g.version).Int("held", len(staged)).Int("taken", taken).Msg("staged pieces taken in")
	s.cfg.Metrics.pieces.WithLabelValues("staged").Add(float64(taken))
}
