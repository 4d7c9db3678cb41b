package fleet

import (
	"strconv"
	"time"
)

// State is what a backend server says of itself.
type State uint8

// The states of a backend server. A later one is never left for an earlier one.
const (
	StateReady State = iota
	// StateDraining servers take no new requests.
	StateDraining
	// StateGone servers have taken their leave.
	StateGone
)

// String returns the state's name in logs.
func (s State) String() string { return [...]string{"ready", "draining", "gone"}[s] }

// Loaded is a version of a model's weights that an engine holds, with the
// layers [From, To).
type Loaded struct {
	Model    string
	Version  uint64
	From, To int
}

// BackendServer is one start of a backend server as it announces itself.
type BackendServer struct {
	// ID names the server; Addr may have belonged to others before.
	ID string
	// Born is when this start began, in Unix milliseconds by the server's own clock; 0 if
	// it does not say. It tells starts under one ID apart: the later one is another server,
	// and what an earlier one said counts for nothing.
	Born    int64
	Service string
	Addr    string
	Zone    string
	Slots   int
	State   State
	// Seq rises with each announcement.
	Seq uint64
	// Cold is how much longer the server is slow after its start.
	Cold   time.Duration
	Models []Loaded
	// SeenAt is when its newest announcement was received here.
	SeenAt time.Time
	// StartedAt is when it started, as estimated here; see Life.
	StartedAt time.Time
}

// Start names this start of the server among all starts of all servers.
func (b *BackendServer) Start() string {
	if b.Born == 0 {
		return b.ID
	}
	return b.ID + "@" + strconv.FormatInt(b.Born, 10)
}

// Holds returns the version of a model that the server holds whole; 0 if it
// does not. Layers of 0 are not checked.
func (b *BackendServer) Holds(model string, layers int) uint64 {
	for _, m := range b.Models {
		if m.Model == model && (layers == 0 || (m.From == 0 && m.To >= layers)) {
			return m.Version
		}
	}
	return 0
}
