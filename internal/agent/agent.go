// Package agent runs beside one backend server and stands for it: it
// announces it to the control servers, brings the assigned model versions
// onto the VM, orders the engine to load them, and answers the entries'
// requests from it.
//
// State: one control loop owns the order machine and the assignment followed;
// the gate (which version is served, requests in progress) is shared with the
// traffic goroutines. Messages: rpc.Dispatch to entries, rpc.Control to the
// control servers, rpc.Weights between agents (internal/weights/transfer),
// HTTP to the backend server.
package agent

import (
	"context"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"lynxgate.dev/lynxgate/internal/controlclient"
	"lynxgate.dev/lynxgate/internal/engine"
	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/keyspace"
	"lynxgate.dev/lynxgate/internal/orders"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/weights/transfer"
)

// Config of an Agent.
type Config struct {
	// VM and Zone name the machine the agent stands on.
	VM   string
	Zone string
	// Addr and AdminAddr are the agent's drpc and HTTP addresses.
	Addr      string
	AdminAddr string
	// Service and Kind of the backend server at BackendAddr.
	Service     string
	Kind        inventory.ServiceKind
	BackendAddr string
	// ChecksFencing is true where the engine refuses old fencing numbers.
	ChecksFencing bool
	// LoadTimeout is the longest an order may take at the engine.
	LoadTimeout time.Duration
	// Capacity is how many model replicas the VM can hold.
	Capacity int
	// ScratchDir holds staged weights and the order journal.
	ScratchDir string
	// Incarnation rises with every start of the agent.
	Incarnation uint64
	// AnnounceInterval is the longest time between two announcements.
	AnnounceInterval time.Duration
	Logger           zerolog.Logger
	Registerer       prometheus.Registerer
}

const (
	// tickInterval is how often the control loop runs without an event.
	tickInterval = time.Second
	// leaveAnnounceTimeout bounds telling the control servers of leaving.
	leaveAnnounceTimeout = 3 * time.Second
	// orderMargin is added to the load timeout when waiting for an answer.
	orderMargin = 5 * time.Second
	// queryTimeout bounds asking the engine for its state.
	queryTimeout = 5 * time.Second
)

// Feed is the configuration in force here; configfeed.Client implements it.
type Feed interface {
	View() *keyspace.View
	Changed() <-chan struct{}
	Unconfirmed() bool
}

// Transfers brings model versions onto this VM; transfer.Manager implements it.
type Transfers interface {
	SetWanted(wanted []transfer.Wanted)
	Status() []transfer.Progress
	Changed() <-chan struct{}
	ObserveLive(firstToken time.Duration)
	SpendLive(up, down int)
}

// Agent stands for one backend server. Create it with New.
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
	stateSeq    atomic.Uint64

	// report is what the backend server last reported of itself.
	report atomic.Pointer[report]
	// staged are the weights verified on this VM.
	staged atomic.Pointer[map[orders.Ref]orders.Weights]

	// replicas are reported with every announcement.
	replicas atomic.Pointer[[]*rpc.ReplicaReport]

	announcer    *controlclient.Announcer
	leaveRequest chan struct{}
}

// New returns an agent; Serve starts it. Transfers is nil for a plain service.
func New(cfg Config, feed Feed, control *controlclient.Client, transfers Transfers) (*Agent, error) {
	if cfg.ScratchDir != "" {
		if err := os.MkdirAll(cfg.ScratchDir, 0o755); err != nil {
			return nil, fmt.Errorf("scratch folder: %w", err)
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
		leaveRequest: make(chan struct{}, 1),
	}
	a.announcer = controlclient.NewAnnouncer(controlclient.AnnouncerConfig{
		Client:     control,
		Request:    a.announcement,
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

// Leave announces that the agent leaves, refuses new requests at once and
// waits until those in progress have ended or ctx is done.
func (a *Agent) Leave(ctx context.Context) error {
	a.gate.setLeaving()
	a.requestLeave()
	a.announceLeaving(ctx)
	select {
	case <-a.gate.drained():
		return nil
	case <-ctx.Done():
		left := a.gate.state().inFlight
		return fmt.Errorf("%d requests still in progress: %w", left, ctx.Err())
	}
}

// announceLeaving tells the control servers, so that they replace the replica
// now and not when the lease ends. Entries hear of it on their watches.
func (a *Agent) announceLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveAnnounceTimeout)
	defer cancel()
	if err := a.announcer.AnnounceNow(ctx); err != nil {
		a.log.Warn().Err(err).Msg("leaving could not be announced; the lease will end by itself")
	}
}

// superseded is called when another process has announced itself as this VM
// with a newer incarnation: this one takes no new requests any more.
func (a *Agent) superseded(known uint64) {
	if !a.gate.state().leaving {
		a.log.Error().Uint64("known_incarnation", known).Msg("another agent runs for this VM, leaving")
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

// Ready reports whether the agent has a configuration; ok is false before.
func (a *Agent) Ready() (reason string, ok bool) {
	if a.feed.View().Revision() == 0 {
		return "no configuration received yet", false
	}
	return "", true
}
