package swarm

import "time"

// Event is something that happened to a member.
type Event interface{ event() }

// MembersChanged gives all members of the swarm, this one included or not.
type MembersChanged struct{ Members []Peer }

// PeerHaves tells what a connected peer holds and has seen. Reset replaces
// what it told before.
type PeerHaves struct {
	VM    string
	Reset bool
	Holds Bits // with Reset
	Seen  Bits // with Reset
	// Added and SeenAdded are indexes; those out of range are ignored.
	Added     []uint32
	SeenAdded []uint32
	Queue     int
}

// PeerQueue tells the length of a peer's upload queue.
type PeerQueue struct {
	VM    string
	Queue int
}

// PeerLost says that a peer is no longer connected.
type PeerLost struct{ VM string }

// Progress says that a request has brought bytes.
type Progress struct{ ID uint64 }

// Outcome is how a request ended.
type Outcome int

// The outcomes of a request.
const (
	// Verified: the chunk is stored.
	Verified Outcome = iota
	// Corrupt: the bytes did not match the digest.
	Corrupt
	// NotHeld: the peer does not have what it said it had.
	NotHeld
	// Busy: the peer's queue is full; RetryAfter says how long.
	Busy
	// Limited: origin or store refused for its rate; RetryAfter says how long.
	Limited
	// Failed: anything else on the way.
	Failed
	// Dropped: the fault was on this side (scratch folder); nobody is blamed.
	Dropped
)

// Ended says how a request ended. Requests cancelled by an action do not end.
type Ended struct {
	ID         uint64
	Outcome    Outcome
	RetryAfter time.Duration
}

// Tick lets time pass.
type Tick struct{}

func (MembersChanged) event() {}
func (PeerHaves) event()      {}
func (PeerQueue) event()      {}
func (PeerLost) event()       {}
func (Progress) event()       {}
func (Ended) event()          {}
func (Tick) event()           {}

// Action is something that transfer shall do.
type Action interface{ action() }

// Connect asks for a link to a peer, which is kept up until Disconnect.
type Connect struct{ Peer Peer }

// Disconnect ends the link to a peer.
type Disconnect struct{ VM string }

// Request asks a connected peer for a chunk.
type Request struct {
	ID    uint64
	VM    string
	Index int
}

// Fetch asks the origin, or the weight store, for a chunk.
type Fetch struct {
	ID    uint64
	Index int
	Store bool
}

// Cancel ends a request without an outcome.
type Cancel struct{ ID uint64 }

// Seen says that chunks are now known to be held by some member.
type Seen struct{ Indexes []int }

// SetAside says that a peer is not asked for a time because of its strikes.
type SetAside struct {
	VM  string
	For time.Duration
}

// Stalled says that a request was given up for want of progress. VM is empty
// for the origin.
type Stalled struct{ VM string }

func (Connect) action()    {}
func (Disconnect) action() {}
func (Request) action()    {}
func (Fetch) action()      {}
func (Cancel) action()     {}
func (Seen) action()       {}
func (SetAside) action()   {}
func (Stalled) action()    {}
