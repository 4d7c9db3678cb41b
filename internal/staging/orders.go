package staging

import (
	"context"
	"crypto/sha256"
	"errors"
	"syscall"
	"time"

	"lynxgate.dev/lynxgate/internal/clock"
)

// corruptionTolerance is for how long before a load a piece may have been corrupted without breaking the users' rules.
const corruptionTolerance = 3 * time.Second

// orderState tracks which orders the engine may still begin, by its seq: the number of orders that it has begun. Each
// order states the seq that it expects, and the engine refuses it at any other. So an order without an answer
// may lie unread and begin later, but only until the seq has changed.
type orderState struct {
	// known is true once seq has been reported.
	known bool
	seq   uint64
	// unanswered is the first order at seq that got no answer; nil if there is none. Until the seq changes, nothing
	// else than its version may be staged.
	unanswered *unansweredOrder
	// begun is true once the engine has confirmed that the last order at seq has begun.
	begun bool
	// restaged is true if a piece was put since the seq was first reported, or since unanswered was sent.
	restaged bool
	// unverified is true while it is not known whether the pieces that were loaded last were whole.
	unverified bool
}

// unansweredOrder is an order to load that got no answer.
type unansweredOrder struct {
	goal goal
	set  *pieceSet
}

// observe updates the state from the seq of a report, nil if none is stated. It returns true if the engine has begun an
// order at an unknown time, which may be too long after the verification of the pieces.
func (o *orderState) observe(seq *uint64) (unverified bool) {
	switch {
	case seq == nil:
		*o = orderState{}
		return false
	case o.known && *seq == o.seq:
		return false
	case !o.known || *seq < o.seq: // the first report, or an engine that has restarted
		*o = orderState{known: true, seq: *seq}
		return false
	}
	unverified = !o.begun
	*o = orderState{known: true, seq: *seq, unverified: unverified, restaged: unverified && o.restaged}
	return unverified
}

// sent records the result of an order that expected seq. begun is true if the engine has confirmed that this order, and
// no earlier one, has begun. age is the age of the verification at the result: one that comes too late, as to an agent
// that stood still, counts as none.
func (o *orderState) sent(u unansweredOrder, seq *uint64, begun bool, err error, age time.Duration) {
	switch {
	case seq == nil || refused(err):
	case err == nil && (begun || o.unanswered == nil) && age <= corruptionTolerance:
		o.begun = true
	case o.unanswered == nil:
		o.unanswered, o.restaged = &u, false
	}
}

// refused reports whether the error of an order shows that the engine has not accepted it.
func refused(err error) bool {
	return errors.Is(err, ErrOrderRefused) || errors.Is(err, syscall.ECONNREFUSED)
}

// open reports whether an order may still begin unseen, or has begun with pieces that are not known to be whole.
func (o *orderState) open() bool { return o.unanswered != nil || o.unverified }

// observeOrders updates the state of orders from a report. An engine whose loaded pieces are not known to be whole is
// reported as loading, so that entries send it nothing.
func (s *Stager) observeOrders(ctx context.Context, r Report, g goal, loaded uint64) {
	if s.orders.observe(r.Seq) {
		s.log.Warn().Str("model", g.model).Uint64("seq", *r.Seq).Msg("engine began an order without an answer; it is not used until its weights are verified")
	}
	if s.orders.unverified && !r.Busy && !s.orders.restaged {
		s.verifyLoaded(ctx, g.model, loaded)
	}
	if s.orders.unverified {
		s.setLoading(true)
	}
}

// verifyLoaded reads the staged pieces back after a load. If all are intact, and none was put since the load, they were
// intact when the engine took them.
func (s *Stager) verifyLoaded(ctx context.Context, model string, version uint64) {
	set := s.sets.get(key{model, version})
	intact := set != nil
	var digests []Digest
	if intact {
		digests = set.allDigests()
	}
	for i := 0; intact && i < len(digests); i++ {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		data, err := s.cfg.Engine.Get(callCtx, model, i)
		cancel()
		if err != nil && !errors.Is(err, ErrNotStaged) {
			return // tried again after the next report
		}
		intact = err == nil && sha256.Sum256(data) == digests[i]
	}
	s.orders.unverified, s.orders.restaged = !intact, !intact
	s.log.Info().Str("model", model).Uint64("version", version).Bool("intact", intact).Dur("since_order_ms", clock.Since(s.orderedAt)).
		Msg("weights of an order without an answer verified")
}
