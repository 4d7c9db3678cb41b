package staging

import (
	"context"
	"crypto/sha256"
	"errors"
	"time"

	"lynxgate.dev/lynxgate/internal/clock"
)

// load lays what was spoilt anew and orders the engine to load.
func (s *Stager) load(ctx context.Context, g goal, set *pieceSet, report Report) {
	if clock.Since(s.orderedAt) < orderRetry {
		return
	}
	began, err := s.verified(ctx, g, set)
	if err != nil {
		s.log.Warn().Err(err).Str("model", g.model).Uint64("version", g.version).Msg("staged weights not verified")
		return
	}
	s.loading = true
	s.tell(report) // entries stop to send before the engine stops to take
	if age := s.now().Sub(began); age > verifiedFor {
		s.loading = false // the next report says so
		s.log.Warn().Dur("age_ms", age).Str("model", g.model).Uint64("version", g.version).
			Msg("staged weights were verified too long ago; verifying again")
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.orderedAt = clock.Now()
	err = s.cfg.Engine.Load(callCtx, g.model, g.version)
	s.loading = err == nil
	s.cfg.Metrics.orders.Inc()
	s.log.Info().Err(err).Str("model", g.model).Uint64("version", g.version).
		Dur("since_named_ms", g.age()).Msg("engine ordered to load")
}

// verified returns when the verification of what lies at the engine began; one that was
// made a moment ago is relied on.
func (s *Stager) verified(ctx context.Context, g goal, set *pieceSet) (time.Time, error) {
	now := s.now()
	if began, ok := s.atEngine.lately(g.key(), now); ok {
		return began, nil
	}
	return now, s.verifyStaged(ctx, g, set)
}

// verifyStaged reads all pieces back from the engine and lays those anew that
// were spoilt: the engine takes them in unchecked.
func (s *Stager) verifyStaged(ctx context.Context, g goal, set *pieceSet) error {
	began := s.now()
	s.atEngine.laying(g.key(), began)
	for i, digest := range set.digests {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		data, err := s.cfg.Engine.Get(callCtx, g.model, i)
		cancel()
		if err == nil && sha256.Sum256(data) == digest {
			continue
		}
		if err != nil && !errors.Is(err, ErrNotHeld) {
			return err
		}
		callCtx, cancel = context.WithTimeout(ctx, callTimeout)
		err = s.cfg.Engine.Put(callCtx, g.model, i, set.get(i))
		cancel()
		if err != nil {
			return err
		}
		s.cfg.Metrics.relaid.Inc()
	}
	s.atEngine.note(g.key(), began)
	return nil
}

// loadWindow is the part of the bound on a version in which engines that serve
// are ordered to load, one after the other: an engine that loads takes nothing
// new until its requests have ended.
const (
	loadWindowStart = 0.38
	loadWindowEnd   = 0.85
	// loadMargin is how long before the bound the last engine is ordered to load at
	// the latest: entries stop to use old weights 1 s before it.
	loadMargin = 1300 * time.Millisecond
)

// mayLoad spreads the loads of engines that serve over the time allowed.
func (s *Stager) mayLoad(g goal, held uint64, set *pieceSet) bool {
	// What is held must not be used VersionBound after the next version was named,
	// which may have been before the newest one.
	named := g.named.NamedAfter(held)
	if named.IsZero() {
		return true
	}
	rank, n := s.rank()
	share := float64(rank) / float64(max(n-1, 1))
	return clock.Since(named) >= loadTime(s.cfg.VersionBound, set.completedAt().Sub(named), share)
}

// loadTime returns how long after the naming of a version an engine is ordered to
// load, which comes after this share of the others and has the pieces since complete.
// Where they come late, as from an origin that was down, what is left of the time is
// shared: on a day with that, 58 of 59 engines loaded at once, and nothing was served
// for 1.5 s.
func loadTime(bound, complete time.Duration, share float64) time.Duration {
	begin := max(time.Duration(loadWindowStart*float64(bound)), complete)
	end := max(time.Duration(loadWindowEnd*float64(bound)), bound-loadMargin)
	if begin >= end {
		return begin
	}
	return begin + time.Duration(share*float64(end-begin))
}
