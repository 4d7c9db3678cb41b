// Package agent runs on the VM of one backend server and acts as its proxy: it
// announces the server to the control servers, downloads the assigned model
// versions to the VM, orders the engine to load them, and forwards requests
// from entries to the server.
//
// State: one control loop owns the order machine and the current assignment;
// the gate (version served, requests in progress) is shared with the
// goroutines that handle requests. Messages: rpc.Dispatch to entries,
// rpc.Control to the control servers, rpc.Weights between agents
// (internal/weights/transfer), HTTP to the backend server.
package agent

import (
	"context"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/controlclient"
	"lynxgate.dev/lynxgate/internal/engine"
	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/keyspace"
	"lynxgate.dev/lynxgate/internal/orders"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/shutdown"
	"lynxgate.dev/lynxgate/internal/weights/transfer"
)

// Config of an Agent.
type Config struct {
	// VM and Zone are the names of the VM that the agent runs on and of its
	// availability zone.
	VM   string
	Zone string
	// Addr and AdminAddr are the agent's drpc and HTTP addresses.
	Addr      string
	AdminAddr string
	// Service and Kind describe the backend server at BackendAddr.
	Service     string
	Kind        inventory.ServiceKind
	BackendAddr string
	// ChecksFencing is true if the engine refuses stale fencing tokens.
	ChecksFencing bool
	// LoadTimeout limits the time that an engine takes to execute an order.
	LoadTimeout time.Duration
	// Capacity is the number of model replicas that the VM can store.
	Capacity int
	// ScratchDir is the directory of the staged weights and the order journal.
	ScratchDir string
	// Incarnation increases with every start of the agent.
	Incarnation uint64
	// AnnounceInterval is the maximum time between two announcements.
	AnnounceInterval time.Duration
	Logger           zerolog.Logger
	Registerer       prometheus.Registerer
}

const (
	// tickInterval is the period of the control loop's tick event.
	tickInterval = time.Second
	// leaveAnnounceTimeout limits the announcement that the agent leaves.
	leaveAnnounceTimeout = 3 * time.Second
	// orderMargin is added to LoadTimeout when waiting for the engine's
	// response to an order.
	orderMargin = 5 * time.Second
	// queryTimeout limits requests for the engine's state and cache events.
	queryTimeout = 5 * time.Second
)

// Feed provides the configuration in force; configfeed.Client implements it.
type Feed interface {
	View() *keyspace.View
	Changed() <-chan struct{}
	Unconfirmed() bool
}

// Transfers downloads model versions to this VM; transfer.Manager implements it.
type Transfers interface {
	SetWanted(wanted []transfer.Wanted)
	Status() []transfer.Progress
	Changed() <-chan struct{}
	ObserveFirstToken(firstToken time.Duration)
	CountTraffic(up, down int)
}

// Agent is the proxy of one backend server. Create it with New.
type Agent struct {
	rpc.DRPCDispatchUnimplementedServer

	cfg         Config
	feed        Feed
	transfers   Transfers
	engine      *engine.Client
	backend     *backend
	gate        *gate
	limiter     *limiter
	watchers    *watchers
	metrics     *metrics
	log         zerolog.Logger
	incarnation uint64
	// end is when the process ends. stopped counts the requests that it ended.
	end      *shutdown.End
	stopped  atomic.Int64
	stateSeq atomic.Uint64

	// report is the last report from the backend server.
	report atomic.Pointer[report]
	// staged contains the verified weights on this VM.
	staged atomic.Pointer[map[orders.Ref]orders.Weights]

	// replicas are the reports sent with every announcement.
	replicas atomic.Pointer[[]*rpc.ReplicaReport]

	announcer    *controlclient.Announcer
	leaveRequest chan struct{}
}

// New returns an agent; Serve starts it. Transfers is nil for a plain service.
func New(cfg Config, feed Feed, control *controlclient.Client, transfers Transfers) (*Agent, error) {
	if cfg.ScratchDir != "" {
		if err := os.MkdirAll(cfg.ScratchDir, 0o755); err != nil {
			return nil, fmt.Errorf("create scratch directory: %w", err)
		}
	}
	a := &Agent{
		cfg:          cfg,
		feed:         feed,
		transfers:    transfers,
		engine:       engine.New(cfg.BackendAddr),
		backend:      newBackend(cfg.BackendAddr, cfg.Kind == inventory.KindPlain),
		watchers:     newWatchers(),
		log:          cfg.Logger,
		incarnation:  cfg.Incarnation,
		end:          shutdown.NewEnd(),
		leaveRequest: make(chan struct{}, 1),
	}
	a.announcer = controlclient.NewAnnouncer(controlclient.AnnouncerConfig{
		Client:     control,
		Request:    a.announcement,
		Changes:    feed.Changed,
		Renew:      cfg.AnnounceInterval,
		Superseded: a.superseded,
		Logger:     cfg.Logger,
		Seed:       a.incarnation,
	})
	a.gate = newGate(a.watchers.wake)
	a.limiter = &limiter{log: cfg.Logger}
	a.metrics = newMetrics(cfg.Registerer, a)
	a.replicas.Store(&[]*rpc.ReplicaReport{})
	a.report.Store(&report{load: loadUnknown})
	a.staged.Store(&map[orders.Ref]orders.Weights{})
	return a, nil
}

func (a *Agent) plain() bool { return a.cfg.Kind == inventory.KindPlain }

// lastFramesTime is how long before the end of a stop requests in progress are ended, and their entries told that they may have run:
// the frames must arrive before the connections are closed.
const lastFramesTime = 300 * time.Millisecond

// Leave refuses new requests, announces that the agent leaves, and waits until
// the requests in progress have ended or ctx is done. Shortly before the deadline
// of ctx, if it has one, it ends them. It returns an error if there were any.
func (a *Agent) Leave(ctx context.Context) error {
	if deadline, ok := ctx.Deadline(); ok {
		a.end.Set(clock.Now().Add(time.Until(deadline) - lastFramesTime))
	}
	a.gate.setLeaving()
	a.requestLeave()
	a.announceLeaving(ctx)
	select {
	case <-a.gate.drained():
	case <-ctx.Done():
	}
	if left := a.gate.state().inFlight; left > 0 {
		return fmt.Errorf("%d requests still in progress: %w", left, ctx.Err())
	}
	if n := a.stopped.Load(); n > 0 {
		return fmt.Errorf("%d requests that may have run were ended: %w", n, shutdown.ErrStopping)
	}
	return nil
}

// announceLeaving notifies the control servers, so that they replace the
// replica before its lease expires. Entries are notified through Watch.
func (a *Agent) announceLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveAnnounceTimeout)
	defer cancel()
	if err := a.announcer.AnnounceNow(ctx); err != nil {
		a.log.Warn().Err(err).Msg("announcing that the agent leaves failed; the lease will expire")
	}
}

// superseded is called when another process has announced itself as this VM
// with a newer incarnation. The agent then accepts no new requests.
func (a *Agent) superseded(known uint64) {
	if !a.gate.state().leaving {
		a.log.Error().Uint64("known_incarnation", known).Msg("a newer agent runs for this VM; leaving")
	}
	a.gate.setLeaving()
	a.requestLeave()
}

func (a *Agent) requestLeave() {
	select {
	case a.leaveRequest <- struct{}{}:
	default:
	}
}

// Ready reports whether the agent has received a configuration, and a reason
// if it has not.
func (a *Agent) Ready() (reason string, ok bool) {
	if a.feed.View().Revision() == 0 {
		return "no configuration received yet", false
	}
	return "", true
}
