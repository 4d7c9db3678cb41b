package control

import (
	"context"

	"lynxgate.dev/lynxgate/internal/admin"
	"lynxgate.dev/lynxgate/internal/control/state"
	"lynxgate.dev/lynxgate/internal/registry"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// event is a message to the loop.
type event interface{ isEvent() }

// announced is a daemon's announcement; the loop answers on reply.
type announced struct {
	announcement registry.Announcement
	reply        chan<- *rpc.AnnounceResponse
}

// statusRequested requests the status; the loop answers on reply.
type statusRequested struct {
	reply chan<- admin.Status
}

// proposalDone is the result of a proposal of the loop.
type proposalDone struct {
	proposal proposal
	// term is the one in which the proposal was made.
	term   uint64
	result any
	err    error
}

// promotionDone is posted when a round of promoting learners has ended.
type promotionDone struct{}

func (announced) isEvent()       {}
func (statusRequested) isEvent() {}
func (proposalDone) isEvent()    {}
func (promotionDone) isEvent()   {}

// proposal is a command that the loop proposes. At most one is in flight.
type proposal struct {
	command state.Command
	// waiting are the announcements that the command carries. They are answered
	// when the proposal is done.
	waiting []announced
}

// post sends an event to the loop.
func (s *Server) post(ctx context.Context, e event) error {
	select {
	case s.events <- e:
		return nil
	case <-s.stopped:
		return errStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}
