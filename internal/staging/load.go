package staging

import (
	"context"
	"crypto/sha256"
	"errors"
	"time"

	"lynxgate.dev/lynxgate/internal/clock"
)

// load verifies the staged pieces, replaces corrupted ones and orders the engine to load.
func (s *Stager) load(ctx context.Context, g goal, set *pieceSet, report Report) {
	if clock.Since(s.orderedAt) < orderRetry {
		return
	}
	began, err := s.verified(ctx, g, set)
	if err != nil {
		s.log.Warn().Err(err).Str("model", g.model).Uint64("version", g.version).Msg("verifying the staged weights failed")
		return
	}
	s.setLoading(true)
	s.sendReport(report) // entries must stop sending requests before the engine stops accepting them
	if age := s.now().Sub(began); age > verificationMaxAge {
		s.setLoading(s.orders.open()) // sent with the next report
		s.log.Warn().Dur("age_ms", age).Str("model", g.model).Uint64("version", g.version).
			Msg("staged weights were verified too long ago; verifying again")
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.orderedAt = clock.Now()
	begun, err := s.cfg.Engine.Load(callCtx, Order{Model: g.model, Version: g.version, Seq: report.Seq})
	s.orders.sent(unansweredOrder{goal: g, set: set}, report.Seq, begun, err, s.now().Sub(began))
	s.setLoading(err == nil || s.orders.open())
	s.cfg.Metrics.orders.Inc()
	s.log.Info().Err(err).Str("model", g.model).Uint64("version", g.version).
		Func(g.logAge).Msg("engine ordered to load")
}

// verified verifies the staged pieces unless that was done recently, and returns when the
// verification began.
func (s *Stager) verified(ctx context.Context, g goal, set *pieceSet) (time.Time, error) {
	now := s.now()
	if began, ok := s.verification.recent(g.key(), now); ok {
		return began, nil
	}
	return now, s.verifyStaged(ctx, g, set)
}

// verifyStaged reads all pieces back from the engine and replaces those that are missing or
// corrupted, because the engine does not check them.
func (s *Stager) verifyStaged(ctx context.Context, g goal, set *pieceSet) error {
	began := s.now()
	s.verification.stagingBegan(g.key(), began)
	for i, digest := range set.allDigests() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		data, err := s.cfg.Engine.Get(callCtx, g.model, i)
		cancel()
		if err == nil && sha256.Sum256(data) == digest {
			continue
		}
		if err != nil && !errors.Is(err, ErrNotStaged) {
			return err
		}
		s.orders.restaged = true
		callCtx, cancel = context.WithTimeout(ctx, callTimeout)
		err = s.cfg.Engine.Put(callCtx, g.model, i, set.get(i))
		cancel()
		if err != nil {
			return err
		}
		s.cfg.Metrics.relaid.Inc()
	}
	s.verification.record(g.key(), began)
	return nil
}

// Engines that serve are ordered to load one after the other, from loadWindowStart, a share of
// VersionBound, to loadMargin before it: an engine that has an order to load accepts no new
// requests until those in progress have ended.
const (
	loadWindowStart = 0.38
	// loadMargin is the time before the bound at which the last engine is ordered to load:
	// entries stop using the old weights 1 s before the bound.
	loadMargin = 1300 * time.Millisecond
)

// mayLoad reports whether an engine that serves may be ordered to load now. It spreads the
// loads over the load window.
func (s *Stager) mayLoad(g goal, loaded uint64, set *pieceSet) bool {
	// The loaded version must not be used after VersionBound from the naming of the version
	// that followed it, which may be older than the newest one.
	named := g.named.NamedAfter(loaded)
	if named.IsZero() {
		return true
	}
	rank, n := s.loadRank()
	share := float64(rank) / float64(max(n-1, 1))
	return clock.Since(named) >= loadTime(s.cfg.VersionBound, set.completedAt().Sub(named), share)
}

// loadTime returns how long after the naming of a version an engine is ordered to load. share
// is the share of the engines that load before it, and complete the time after the naming at
// which it had all pieces. If the pieces arrive late, for example because the origin was
// down, the loads are spread over the remaining time: without that, 58 of 59 engines loaded
// at once and no request was served for 1.5 s.
func loadTime(bound, complete time.Duration, share float64) time.Duration {
	begin := max(time.Duration(loadWindowStart*float64(bound)), complete)
	end := bound - loadMargin
	if begin >= end {
		return begin
	}
	return begin + time.Duration(share*float64(end-begin))
}
