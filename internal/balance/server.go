// Package balance chooses the backend server of each attempt among those that
// announce themselves, by their known load, and ejects those that fail.
// State: one record per incarnation of a backend server, behind one lock.
// Messages: none; time is an argument.
package balance

import (
	"context"
	"math"
	"time"

	"lynxgate.dev/lynxgate/internal/dispatch"
	"lynxgate.dev/lynxgate/internal/fleet"
)

// Server is one backend server as seen by this entry. The pool is safe for
// concurrent use, the rest belongs to the Balancer.
type Server struct {
	ID   string
	Addr string
	// Incarnation identifies this incarnation of the server, which may restart under its id.
	Incarnation string
	Pool        *dispatch.Pool
	// relay holds connections to the agent on the server's VM, which relays requests to it; nil if none does.
	relay *dispatch.Pool

	// ctx is cancelled when a later incarnation under the same id is known: requests in flight
	// at this one are lost.
	ctx       context.Context
	cancelCtx context.CancelFunc

	record *fleet.BackendServer
	// seenAt is when its newest announcement was received.
	seenAt   time.Time
	engine   *fleet.Engine
	sameZone bool
	region   string
	// owned: this entry owns the server; otherOwner: it does not, because another entry or none
	// owns it. Both are false where servers are not divided among entries.
	owned, otherOwner bool

	// coldStart is for how long it is cold after a start, coldRate the requests per second of all entries
	// that it gets meanwhile, 0 if there is no limit.
	coldStart time.Duration
	coldRate  float64
	// refusedAt is when its VM last refused a connection, so that the server was down.
	refusedAt time.Time

	// inFlight counts the requests of this entry; pendingRead is how long the engine
	// reads the prompts of those that have no event yet, heldBytes the size of their bodies.
	inFlight    int
	pendingRead time.Duration
	heldBytes   int
	// unanswered counts those of them without an event or a whole answer.
	unanswered int
	load       load
	percent    percentage
	health     health
	excess     excess
	// retired: the server is removed for good. Another server has confirmed that it has the address,
	// or a later incarnation under the same id is known.
	retired bool
	// sameAddress are the other servers that announce the same address, see replaced.
	sameAddress []*Server
	// busyUntil is until when a server that refused for lack of a free slot is not chosen.
	busyUntil time.Time
	agent     agentReport
	// relayDownUntil is until when no request is relayed, since the agent has refused a connection.
	relayDownUntil time.Time
	// agentSilentAt is when the agent was last asked for a slot without an answer, agentAnsweredAt when it last decided by an
	// answer of its engine, and agentDownAt when the server's VM first answered, after the last sign of the server, that no agent
	// serves there.
	agentSilentAt, agentAnsweredAt, agentDownAt time.Time
	probes                                      probes
	// heldBackLogged is what the last log line said on whether the server may stand still, heldBackLoggedAt its time.
	heldBackLogged   bool
	heldBackLoggedAt time.Time
	// signals are the signals of this incarnation in its answers.
	signals *signals
}

func newServer(record *fleet.BackendServer, sig *signals) *Server {
	s := &Server{ID: record.ID, Addr: record.Addr, Incarnation: record.Incarnation(), Pool: dispatch.NewPool(record.Addr), record: record, signals: sig}
	s.ctx, s.cancelCtx = context.WithCancel(context.Background())
	return s
}

// Context is cancelled when a later incarnation under the server's id is known.
func (s *Server) Context() context.Context { return s.ctx }

// agentReport is the last report of the agent beside the server.
type agentReport struct {
	// at is when it was received, madeAt when a control server had it at the latest.
	at, madeAt time.Time
	// resumedAt is when the first report came after a pause of reportGap or more.
	resumedAt time.Time
	loading   bool
	// loadingSince is when it was first reported as loading, this time.
	loadingSince time.Time
	models       []fleet.Loaded
	// pace is 0 if not reported.
	pace float64
	// relays: the agent relays requests.
	relays bool
}

// maxReportAge is the age after which an agent's report is not used any more: it
// reports four times a second.
const maxReportAge = 1500 * time.Millisecond

// holds returns the version of the model that the server holds completely, from the
// more recent of its agent's report and its own announcement.
func (s *Server) holds(now time.Time, model string) uint64 {
	if now.Sub(s.agent.at) < maxReportAge {
		reported := fleet.BackendServer{Models: s.agent.models}
		return reported.Holds(model, s.engine.Layers)
	}
	return s.record.Holds(model, s.engine.Layers)
}

// Sources of the version that a server is taken to hold.
const (
	SourceAgent        = "agent"
	SourceAnnouncement = "announcement"
	// SourceDecision is the agent's decision on a reservation.
	SourceDecision = "decision"
)

// versionSource returns which statement holds uses, and its age.
func (s *Server) versionSource(now time.Time) (source string, age time.Duration) {
	if age := now.Sub(s.agent.at); age < maxReportAge {
		return SourceAgent, age
	}
	return SourceAnnouncement, now.Sub(s.seenAt)
}

// loading reports whether the server accepts no new requests because it loads.
func (s *Server) loading(now time.Time) bool {
	return s.agent.loading && now.Sub(s.agent.at) < maxReportAge
}

// load is the last reported load of the server.
type load struct {
	known            bool
	running, waiting int
	at               time.Time
	// ownInFlight counts this entry's requests in flight at the time of the report.
	ownInFlight int
	// decidedAt is when the load was stated with a decision on a reservation, zero if it was not.
	decidedAt time.Time
}

// reportDelay is how old an agent's report is at least when it is received, by way of a control server. The load
// stated with a decision is current, and is not replaced by a report that was made before.
const reportDelay = 100 * time.Millisecond

// maxLoadAge is the age after which a load report is not used any more: an engine's
// requests last a second or two.
const maxLoadAge = 1500 * time.Millisecond

// queueLength estimates the requests of all entries at a server: the last report,
// corrected by the requests that this entry has sent and completed since. Without a
// recent report the other entries are assumed to send as much as this one.
func (s *Server) queueLength(now time.Time, entries int) float64 {
	if s.load.known && now.Sub(s.load.at) < maxLoadAge {
		reported := s.load.running + s.load.waiting + s.inFlight - s.load.ownInFlight
		return float64(max(reported, s.inFlight))
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

// excess is by how much first events came later than predicted, because the server or
// the link to it is slow. It decays, so that the server is used again.
type excess struct {
	value time.Duration
	at    time.Time
}

const (
	// excessGain is the weight of the newest first event.
	excessGain = 0.3
	// excessHalfLife is the half-life of an excess: a server that is 0.6 s late is used
	// again after some seconds.
	excessHalfLife = 1500 * time.Millisecond
	// excessTolerance is the usual error of predictions at a healthy server.
	excessTolerance = 60 * time.Millisecond
)

func (e *excess) now(now time.Time) time.Duration {
	age := now.Sub(e.at)
	if e.value == 0 || age <= 0 {
		return e.value
	}
	return time.Duration(float64(e.value) * math.Exp2(-float64(age)/float64(excessHalfLife)))
}

// observe records by how much a first event came later than predicted.
func (e *excess) observe(now time.Time, late time.Duration) {
	late = max(0, late-excessTolerance)
	e.value = time.Duration((1-excessGain)*float64(e.now(now)) + excessGain*float64(late))
	e.at = now
}

// silentExcess is assumed for a server that was silent: requests sent to it may still
// be on the link.
const silentExcess = 1500 * time.Millisecond

// raiseTo raises the excess to at least value.
func (e *excess) raiseTo(now time.Time, value time.Duration) {
	if e.now(now) < value {
		e.value, e.at = value, now
	}
}
