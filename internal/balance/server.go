// Package balance chooses the backend server of each send among those that
// announce themselves, by their load as far as it is known, and sets aside those
// that fail. State: one record by start of a backend server, behind one lock.
// Messages: none; time is an argument.
package balance

import (
	"context"
	"math"
	"time"

	"lynxgate.dev/lynxgate/internal/dispatch"
	"lynxgate.dev/lynxgate/internal/fleet"
)

// Server is one backend server as this entry sees it. The pool is safe for
// concurrent use, the rest belongs to the Balancer.
type Server struct {
	ID   string
	Addr string
	// Start names this start of the server, which may start again under its id.
	Start string
	Pool  *dispatch.Pool

	// ctx ends when a later start under the same id is known: what was sent to this one
	// is lost.
	ctx context.Context
	end context.CancelFunc

	record *fleet.BackendServer
	// seenAt is when its newest announcement was received.
	seenAt time.Time
	engine *fleet.Engine
	near   bool
	// own: this entry owns it; foreign: another one does. Both are false where
	// servers are not shared out.
	own, foreign bool

	// inFlight are the requests of this entry; pendingRead is how long the engine
	// reads the prompts of those that have no event yet.
	inFlight    int
	pendingRead time.Duration
	load        load
	health      health
	excess      excess
	// retired: another server has its address, and said so; rivals announce the same
	// address, see replaced.
	retired bool
	rivals  []*Server
	// busyUntil is until when a server that refused for want of room is spared.
	busyUntil time.Time
	agent     agentReport
	// stated is what this start has said of itself in its answers.
	signals *signals
}

func newServer(record *fleet.BackendServer, said *signals) *Server {
	s := &Server{ID: record.ID, Addr: record.Addr, Start: record.Start(), Pool: dispatch.NewPool(record.Addr), record: record, signals: said}
	s.ctx, s.end = context.WithCancel(context.Background())
	return s
}

// Context ends when a later start under the server's id is known.
func (s *Server) Context() context.Context { return s.ctx }

// agentReport is what the agent beside the server told.
type agentReport struct {
	at      time.Time
	loading bool
	// loadingSince is when it was first told to be loading, this time.
	loadingSince time.Time
	models       []fleet.Loaded
}

// maxReportAge is after how long an agent's word is not used any more: it reports
// four times a second.
const maxReportAge = 1500 * time.Millisecond

// holds returns the version of the model that the server holds whole, from the
// fresher of its agent's report and its own announcement.
func (s *Server) holds(now time.Time, model string) uint64 {
	if now.Sub(s.agent.at) < maxReportAge {
		told := fleet.BackendServer{Models: s.agent.models}
		return told.Holds(model, s.engine.Layers)
	}
	return s.record.Holds(model, s.engine.Layers)
}

// loading tells whether the server takes no new requests because it loads.
func (s *Server) loading(now time.Time) bool {
	return s.agent.loading && now.Sub(s.agent.at) < maxReportAge
}

// load is what the server last told of its load.
type load struct {
	known            bool
	running, waiting int
	at               time.Time
	// ownThen are this entry's requests in flight when it was told.
	ownThen int
}

// maxLoadAge is after how long what a server told of its load is not used any
// more: an engine's requests last a second or two.
const maxLoadAge = 1500 * time.Millisecond

// queueLength estimates the requests at a server, of all entries: what it told,
// corrected by what this entry has sent and got back since. Without a fresh
// report the other entries are taken to send as much as this one.
func (s *Server) queueLength(now time.Time, entries int) float64 {
	if s.load.known && now.Sub(s.load.at) < maxLoadAge {
		told := s.load.running + s.load.waiting + s.inFlight - s.load.ownThen
		return float64(max(told, s.inFlight))
	}
	return float64(s.inFlight) * float64(max(entries, 1))
}

// slots is how many requests the server runs at once, at least 1.
func (s *Server) slots() int {
	if s.engine != nil && s.engine.Slots > 0 {
		return s.engine.Slots
	}
	return max(s.record.Slots, 1)
}

// excess is by how much first events came later than predicted: the server or the
// way to it is slow. It fades, so that a server is tried again.
type excess struct {
	value time.Duration
	at    time.Time
}

const (
	// excessGain is the weight of the newest first event.
	excessGain = 0.3
	// excessHalfLife is how fast an excess fades: a server that is 0.6 s late is
	// tried again after some seconds.
	excessHalfLife = 1500 * time.Millisecond
	// excessNoise is what predictions may miss at a sound server.
	excessNoise = 60 * time.Millisecond
)

func (e *excess) now(now time.Time) time.Duration {
	age := now.Sub(e.at)
	if e.value == 0 || age <= 0 {
		return e.value
	}
	return time.Duration(float64(e.value) * math.Exp2(-float64(age)/float64(excessHalfLife)))
}

// observe takes the time of a first event beyond the predicted one.
func (e *excess) observe(now time.Time, late time.Duration) {
	late = max(0, late-excessNoise)
	e.value = time.Duration((1-excessGain)*float64(e.now(now)) + excessGain*float64(late))
	e.at = now
}

// silentExcess is what is assumed of a server that was silent: what was sent to it
// may still be on its way.
const silentExcess = 1500 * time.Millisecond

// atLeast raises the excess.
func (e *excess) atLeast(now time.Time, value time.Duration) {
	if e.now(now) < value {
		e.value, e.at = value, now
	}
}
