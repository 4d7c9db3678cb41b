package fleet

import (
	"strconv"
	"time"
)

// State is the state that a backend server announces.
type State uint8

// The states of a backend server. An incarnation never returns to an earlier state.
const (
	StateReady State = iota
	// StateDraining servers accept no new requests.
	StateDraining
	// StateGone servers have announced that they left.
	StateGone
)

// String returns the state's name in logs.
func (s State) String() string { return [...]string{"ready", "draining", "gone"}[s] }

// Loaded is a version of a model's weights that an engine has loaded, with the
// layers [From, To).
type Loaded struct {
	Model    string
	Version  uint64
	From, To int
}

// BackendServer is one incarnation of a backend server, as announced.
type BackendServer struct {
	// ID names the server; other servers may have had Addr before.
	ID string
	// StartUnixMs is when this incarnation started, in Unix milliseconds by the server's own clock;
	// 0 if it does not announce it. It distinguishes incarnations with one ID: the later one
	// replaces the earlier one, whose announcements no longer count.
	StartUnixMs int64
	Service     string
	Addr        string
	Zone        string
	Slots       int
	State       State
	// Seq increases with each announcement.
	Seq uint64
	// Cold is for how much longer, from SeenAt on, the server is slow after its start.
	Cold   time.Duration
	Models []Loaded
	// SeenAt is when this process received the newest announcement.
	SeenAt time.Time
	// StartedAt is this process's estimate of the start time; see Lifetime.
	StartedAt time.Time
}

// Incarnation returns the name of this incarnation, unique among those of all servers.
func (b *BackendServer) Incarnation() string {
	if b.StartUnixMs == 0 {
		return b.ID
	}
	return b.ID + "@" + strconv.FormatInt(b.StartUnixMs, 10)
}

// ColdUntil returns until when the server is slow after its start.
func (b *BackendServer) ColdUntil() time.Time { return b.SeenAt.Add(b.Cold) }

// Holds returns the version of a model that the server has loaded with all its layers,
// 0 if there is none. With layers of 0 the range of layers is not checked.
func (b *BackendServer) Holds(model string, layers int) uint64 {
	for _, m := range b.Models {
		if m.Model == model && (layers == 0 || (m.From == 0 && m.To >= layers)) {
			return m.Version
		}
	}
	return 0
}
