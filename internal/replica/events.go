package replica

import (
	"sync/atomic"

	"lynxgate.dev/lynxgate/internal/consensus"
)

// event is something the event loop handles.
type event interface{ isEvent() }

// messageEvent is a message from another server.
type messageEvent struct{ message consensus.Message }

// proposeEvent asks to append a command.
type proposeEvent struct{ proposal *proposal }

// readEvent asks for a confirmed read index.
type readEvent struct{ read *read }

// changeEvent asks for a membership change.
type changeEvent struct{ change *change }

// transferEvent asks to hand leadership over.
type transferEvent struct{}

// snapshotTaken brings the state after the entry at index.
type snapshotTaken struct {
	index uint64
	data  []byte
}

// snapshotSaved says that a snapshot is durable, or why not.
type snapshotSaved struct {
	snapshot consensus.Snapshot
	err      error
}

func (messageEvent) isEvent()  {}
func (proposeEvent) isEvent()  {}
func (readEvent) isEvent()     {}
func (changeEvent) isEvent()   {}
func (transferEvent) isEvent() {}
func (snapshotTaken) isEvent() {}
func (snapshotSaved) isEvent() {}

// outcome ends a proposal, a read or a change.
type outcome struct {
	result any
	index  uint64
	err    error
}

// proposal is a command on its way. Whoever moves taken from false decides:
// the loop takes it up, or the caller withdraws it.
type proposal struct {
	data  []byte
	taken atomic.Bool
	done  chan outcome // buffered
}

// read is a ReadIndex call on its way.
type read struct {
	done chan outcome // buffered
	// asked and begun are ticks of the loop.
	asked, begun uint64
}

// changeKind is the kind of a membership change.
type changeKind uint8

const (
	changeAddLearner changeKind = iota
	changePromote
	changeRemove
)

// change is a membership change on its way.
type change struct {
	kind  changeKind
	name  string
	taken atomic.Bool
	done  chan outcome // buffered
}
