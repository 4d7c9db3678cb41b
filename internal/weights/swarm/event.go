package swarm

import "time"

// Event is an input to State.Step.
type Event interface{ event() }

// MembersChanged lists all members of the swarm, with or without this one.
type MembersChanged struct{ Members []Peer }

// PeerHaves reports which chunks a connected peer holds and which it has seen
// on any member. With Reset it replaces the peer's earlier reports.
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

// PeerQueue reports the length of a peer's upload queue.
type PeerQueue struct {
	VM    string
	Queue int
}

// PeerLost reports that the connection to a peer was lost.
type PeerLost struct{ VM string }

// Progress reports that a request has received bytes.
type Progress struct{ ID uint64 }

// Outcome is the result of a request.
type Outcome int

// The outcomes of a request.
const (
	// Verified: the chunk is stored.
	Verified Outcome = iota
	// Corrupt: the bytes did not match the digest.
	Corrupt
	// NotHeld: the peer does not hold the chunk that it reported.
	NotHeld
	// Busy: the peer's upload queue is full; retry after RetryAfter.
	Busy
	// Limited: the origin or the store limits the request rate; retry after
	// RetryAfter.
	Limited
	// Failed: any other failure of the peer, the origin or the network.
	Failed
	// Dropped: a local failure (scratch folder) that does not count against
	// the peer or the origin.
	Dropped
)

// Ended reports the outcome of a request. Requests that were cancelled by an
// action have no outcome.
type Ended struct {
	ID         uint64
	Outcome    Outcome
	RetryAfter time.Duration
}

// Tick makes Step check timeouts when nothing else has happened.
type Tick struct{}

func (MembersChanged) event() {}
func (PeerHaves) event()      {}
func (PeerQueue) event()      {}
func (PeerLost) event()       {}
func (Progress) event()       {}
func (Ended) event()          {}
func (Tick) event()           {}

// Action is something that package transfer has to carry out.
type Action interface{ action() }

// Connect opens a link to a peer. The link is reconnected until Disconnect.
type Connect struct{ Peer Peer }

// Disconnect closes the link to a peer.
type Disconnect struct{ VM string }

// Request requests a chunk from a connected peer.
type Request struct {
	ID    uint64
	VM    string
	Index int
}

// Fetch requests a chunk from the origin, or from the weight store.
type Fetch struct {
	ID    uint64
	Index int
	Store bool
}

// Cancel cancels a request; no Ended event follows.
type Cancel struct{ ID uint64 }

// Seen reports chunks that are newly known to be held by some member.
type Seen struct{ Indexes []int }

// SetAside reports that a peer is ejected for a time because of its strikes.
type SetAside struct {
	VM  string
	For time.Duration
}

// Stalled reports that a request was cancelled because it made no progress. VM
// is empty for the origin.
type Stalled struct{ VM string }

func (Connect) action()    {}
func (Disconnect) action() {}
func (Request) action()    {}
func (Fetch) action()      {}
func (Cancel) action()     {}
func (Seen) action()       {}
func (SetAside) action()   {}
func (Stalled) action()    {}
