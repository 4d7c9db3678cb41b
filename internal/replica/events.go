package replica

import (
	"sync/atomic"

	"lynxgate.dev/lynxgate/internal/consensus"
)

// event is an input of the event loop.
type event interface{ isEvent() }

// messageEvent is a message from another server.
type messageEvent struct{ message consensus.Message }

// proposeEvent requests that a command is appended to the log.
type proposeEvent struct{ proposal *proposal }

// readEvent requests a confirmed read index.
type readEvent struct{ read *read }

// changeEvent requests a membership change.
type changeEvent struct{ change *change }

// transferEvent requests a transfer of the leadership.
type transferEvent struct{}

// snapshotTaken carries the state after the entry at index.
type snapshotTaken struct {
	index uint64
	data  []byte
}

// snapshotSaved reports that a snapshot is durable, or the error.
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

// outcome is the result of a proposal, a read or a change.
type outcome struct {
	result any
	index  uint64
	err    error
}

// proposal is a pending command. Whoever sets taken first decides: the event
// loop proposes it, or the caller withdraws it.
type proposal struct {
	data  []byte
	taken atomic.Bool
	done  chan outcome // buffered
}

// read is a pending ReadIndex call.
type read struct {
	done chan outcome // buffered
	// Ticks of the latest request to the core and of the start of the call.
	requestedAt, startedAt uint64
}

// changeKind is the kind of a membership change.
type changeKind uint8

const (
	changeAddLearner changeKind = iota
	changePromote
	changeRemove
)

// change is a pending membership change.
type change struct {
	kind  changeKind
	name  string
	taken atomic.Bool
	done  chan outcome // buffered
}
