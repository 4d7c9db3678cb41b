package gateway

import (
	"context"
	"errors"
	"io"
	"sync"
	"syscall"
	"time"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/dispatch"
	"lynxgate.dev/lynxgate/internal/relay"
)

// An engine that has the bound on its weights as the deadline of a stream stops it there. Some engines break off what they stop, others end it in
// order, so that it looks whole. Whether a stream that ends in order at the deadline is whole shows only in what the engines of the service do
// with others at theirs.

const (
	// stopFormWait is how long a stream that ended at its deadline is held back until another one shows how the engines stop streams.
	stopFormWait = 500 * time.Millisecond
	// stopFormAge is for how long it holds what one has shown. Engines of a service may be replaced by those of another release.
	stopFormAge = time.Minute
	// stopFormPause is the pause between two looks.
	stopFormPause = 5 * time.Millisecond
	// maxStopDelay is how long after its deadline an engine may stop a stream.
	maxStopDelay = 100 * time.Millisecond
	// relayedTolerance is by how much the deadline that an agent gives its engine may differ from the one that the entry knows.
	relayedTolerance = 50 * time.Millisecond
)

// stopForms are the services whose engines were seen to break off what they stop, and when.
type stopForms struct {
	mu       sync.Mutex
	brokeOff map[string]time.Time
}

func newStopForms() *stopForms { return &stopForms{brokeOff: map[string]time.Time{}} }

func (f *stopForms) note(service string, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.brokeOff[service] = at
}

// breaksOff reports whether engines of a service break off what they stop.
func (f *stopForms) breaksOff(service string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, seen := f.brokeOff[service]
	return seen && now.Sub(at) < stopFormAge
}

// keepServices forgets services that are not declared any more.
func (f *stopForms) keepServices(declared func(service string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for service := range f.brokeOff {
		if !declared(service) {
			delete(f.brokeOff, service)
		}
	}
}

// checkStop returns an error if the server may have stopped an answer that has just ended in order.
func (c *call) checkStop(ctx context.Context, a *dispatch.Answer) error {
	if !c.mayBeStopped(a) {
		return nil
	}
	for until := clock.Now().Add(stopFormWait); ; time.Sleep(stopFormPause) {
		now := clock.Now()
		switch {
		case c.g.stops.breaksOff(c.service, now):
			c.g.cfg.Metrics.endsAtDeadline.WithLabelValues(endForwarded).Inc()
			return nil
		case !now.Before(until), ctx.Err() != nil:
			c.g.cfg.Metrics.endsAtDeadline.WithLabelValues(endCut).Inc()
			return errEndedAtBound
		}
	}
}

// mayBeStopped reports whether an answer that has just ended in order may have been stopped at the bound. An agent that checks ends knows the
// deadline that the server had.
func (c *call) mayBeStopped(a *dispatch.Answer) bool {
	switch {
	case !c.choice.Expiry.KeptByServer, a.ContentLength >= 0:
		return false
	case c.endChecked(a):
		return a.Trailer.Get(relay.EndAtDeadline) != ""
	case c.choice.Expiry.Relayed: // by an agent of an earlier release
		return c.choice.Expired(clock.Now())
	}
	return clock.Until(c.choice.Expiry.KeptUntil) < relay.StopTolerance
}

func (c *call) endChecked(a *dispatch.Answer) bool {
	return c.choice.Expiry.Relayed && a.Header.Get(relay.EndChecked) != ""
}

// noteBrokenOff learns from a stream that has just broken off: if that was at its deadline, and server and agent go on, the server has stopped
// it. An agent passes on the end of the engine's connection, and resets the entry's for reasons of its own.
func (c *call) noteBrokenOff(a *dispatch.Answer, err error) {
	choice, service, at := c.choice, c.service, clock.Now()
	tolerance, closed := relay.StopTolerance, errors.Is(err, io.ErrUnexpectedEOF)
	if choice.Expiry.Relayed {
		tolerance = relayedTolerance
	} else {
		closed = closed || errors.Is(err, syscall.ECONNRESET)
	}
	late := at.Sub(choice.Expiry.KeptUntil)
	switch {
	case !choice.Expiry.KeptByServer, !closed, late < -tolerance, late > maxStopDelay:
		return
	case choice.Expiry.Relayed && !c.endChecked(a):
		return
	}
	go func() {
		if probe(choice.Server.Pool) == probeAccepted && (!choice.Expiry.Relayed || probe(choice.Pool()) == probeAccepted) {
			c.g.stops.note(service, at)
		}
	}()
}
