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

// statusAsked asks for what the leader knows; the loop answers on reply.
type statusAsked struct {
	reply chan<- admin.Status
}

// proposed says how a proposal of the loop ended.
type proposed struct {
	work proposal
	// term the proposal was made in.
	term   uint64
	result any
	err    error
}

// promoted says that an attempt to promote learners has ended.
type promoted struct{}

func (announced) isEvent()   {}
func (statusAsked) isEvent() {}
func (proposed) isEvent()    {}
func (promoted) isEvent()    {}

// proposal is what the loop has in flight, one at a time.
type proposal struct {
	command state.Command
	// waiting are the announcements that the command carries.
	waiting []announced
}

// post hands an event to the loop.
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
