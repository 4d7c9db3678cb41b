package replica

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc"

	"lynxgate.dev/lynxgate/internal/consensus"
	"lynxgate.dev/lynxgate/internal/raftlog"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// eventQueueLen is the number of events that are queued for the event loop before
// senders block.
const eventQueueLen = 1024

// storage is the durable state of a node, implemented by raftlog.Store.
type storage interface {
	SaveHardState(consensus.HardState) error
	SaveSnapshot(consensus.Snapshot) error
	Reset(index uint64) error
	Append([]consensus.Entry) error
	Compact(index uint64) error
	Close() error
}

// Node is one member of the replicated log.
type Node struct {
	cfg       Config
	store     storage
	metrics   *metrics
	transport *transport
	applier   *applier
	events    chan event
	status    atomic.Pointer[Status]
	// lastIndex is that of the last entry of the log, stored before any message tells that the log holds it.
	lastIndex atomic.Uint64
	complete  completeness

	// stopped is closed when the node stops, because of Stop or of a fatal error.
	stopped  chan struct{}
	stopOnce sync.Once
	fatalErr atomic.Pointer[error]
	loopDone chan struct{}
	// background counts the goroutines other than the event loop and the peers.
	background sync.WaitGroup

	// The fields below are owned by the event loop.
	core           *consensus.Core
	now            uint64 // ticks
	lastLeaderTick uint64 // last tick as the leader, 0 if there was none
	reads          map[uint64][]*read
	readContext    uint64
	contactTick    uint64    // tick of the last contact with a quorum
	contactAt      time.Time // its time, since ticks do not advance while the process is suspended
	lastMembers    consensus.Membership
	lastState      consensus.State
	leaders        map[uint64]consensus.ServerID // of the last terms, as far as known
}

// Start opens the data folder and joins the cluster. Other members can reach the
// node once the caller serves the service that Register adds.
func Start(cfg Config, fsm FSM) (*Node, error) {
	if err := cfg.complete(); err != nil {
		return nil, err
	}
	store, recovered, err := raftlog.Open(cfg.Dir, cfg.Name, raftlog.Options{})
	if err != nil {
		return nil, fmt.Errorf("open data folder: %w", err)
	}
	var disk storage = store
	if cfg.wrapStorage != nil {
		disk = cfg.wrapStorage(store)
	}
	n, err := newNode(cfg, disk, recovered, fsm)
	if err != nil {
		return nil, errors.Join(err, store.Close())
	}
	n.background.Add(1)
	go func() {
		defer n.background.Done()
		n.applier.run()
	}()
	go n.run()
	return n, nil
}

func newNode(cfg Config, store storage, recovered raftlog.Recovered, fsm FSM) (*Node, error) {
	snapshot := recovered.State.Snapshot
	if snapshot.Index > consensus.BootstrapIndex {
		if err := fsm.Restore(snapshot.Data); err != nil {
			return nil, fmt.Errorf("restore snapshot: %w", err)
		}
	}
	random, err := newRand()
	if err != nil {
		return nil, err
	}
	n := &Node{
		cfg: cfg, store: store, metrics: newMetrics(),
		events: make(chan event, eventQueueLen), stopped: make(chan struct{}), loopDone: make(chan struct{}),
		reads: map[uint64][]*read{}, readContext: random.Uint64(), leaders: map[uint64]consensus.ServerID{},
	}
	n.transport = newTransport(cfg.Peers, time.Duration(staleTimeouts*cfg.ElectionTicks)*cfg.TickInterval, n.metrics)
	n.applier = newApplier(n, fsm, snapshot.Index)
	n.core = consensus.New(consensus.Config{
		ID: recovered.ID, Addr: cfg.Addr, Peers: cfg.peerNames(),
		ElectionTicks: cfg.ElectionTicks, HeartbeatTicks: cfg.HeartbeatTicks,
		KeepEntries: uint64(cfg.SnapshotEntries / 4), Rand: random,
		JoinOnly: cfg.JoinOnly, AutoAddServers: cfg.AutoAddServers,
		RemoveLearnerTicks: int(cfg.RemoveLearnerAfter / cfg.TickInterval),
		RemoveVoterTicks:   int(cfg.RemoveVoterAfter / cfg.TickInterval), MinVoters: 2*cfg.LostDisks + 1,
	}, recovered.State)
	n.lastIndex.Store(n.core.State().Last)
	n.metrics.cutTailBytes.Add(float64(recovered.TruncatedBytes))
	n.publish()
	cfg.Logger.Info().Str("server", recovered.ID.String()).Uint64("term", recovered.State.HardState.CurrentTerm).
		Uint64("snapshot", snapshot.Index).Int("entries", len(recovered.State.Entries)).
		Int64("cut_bytes", recovered.TruncatedBytes).Bool("reincarnated", recovered.NewIncarnation).Msg("consensus started")
	return n, nil
}

func newRand() (*rand.Rand, error) {
	var seed [16]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return nil, fmt.Errorf("draw random seed: %w", err)
	}
	return rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:]))), nil
}

// complete validates the settings and fills in defaults.
func (cfg *Config) complete() error {
	if cfg.Name == "" || cfg.Addr == "" || cfg.Dir == "" {
		return errors.New("replica: Name, Addr and Dir are required")
	}
	if len(cfg.Peers) == 0 {
		return errors.New("replica: Peers is required")
	}
	seen := map[string]bool{}
	for _, p := range cfg.Peers {
		if seen[p.Name] {
			return fmt.Errorf("replica: peer %q is listed twice", p.Name)
		}
		seen[p.Name] = true
	}
	if cfg.TickInterval <= 0 {
		cfg.TickInterval = DefaultTickInterval
	}
	if cfg.ElectionTicks <= 0 {
		cfg.ElectionTicks = DefaultElectionTicks
	}
	if cfg.HeartbeatTicks <= 0 {
		cfg.HeartbeatTicks = DefaultHeartbeatTicks
	}
	if cfg.SnapshotEntries <= 0 {
		cfg.SnapshotEntries = DefaultSnapshotEntries
	}
	if cfg.ElectionTicks <= cfg.HeartbeatTicks {
		return errors.New("replica: ElectionTicks must exceed HeartbeatTicks")
	}
	return nil
}

func (cfg *Config) peerNames() []string {
	names := make([]string, len(cfg.Peers))
	for i, p := range cfg.Peers {
		names[i] = p.Name
	}
	return names
}

// Register adds the service that the other members call.
func (n *Node) Register(mux drpc.Mux) error {
	return rpc.DRPCRegisterReplication(mux, &receiver{node: n})
}

// Done returns a channel that is closed when the node stops; Err returns the reason.
func (n *Node) Done() <-chan struct{} { return n.stopped }

// Err returns the fatal error that stopped the node, or nil if there was none.
func (n *Node) Err() error {
	if err := n.fatalErr.Load(); err != nil {
		return *err
	}
	return nil
}

// fail stops the node because it can no longer persist or apply its state.
func (n *Node) fail(err error) {
	n.fatalErr.CompareAndSwap(nil, &err)
	n.cfg.Logger.Error().Err(err).Msg("consensus stopped by a fatal error")
	n.shutDown()
}

func (n *Node) shutDown() { n.stopOnce.Do(func() { close(n.stopped) }) }

// Stop transfers the leadership if this node is the leader, and stops the node.
func (n *Node) Stop(ctx context.Context) error {
	n.transferLeadership(ctx)
	n.shutDown()
	<-n.loopDone
	n.transport.close()
	n.background.Wait()
	n.applier.failWaiters()
	return n.store.Close()
}

// transferLeadership returns when another node leads and the proposals of this node
// are answered, or after pendingCallTimeouts election timeouts.
func (n *Node) transferLeadership(ctx context.Context) {
	if n.Status().Role != RoleLeader || len(n.Status().Members) < 2 {
		return
	}
	limit := time.Duration(n.pendingCallTicks()) * n.cfg.TickInterval
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := n.post(ctx, transferEvent{}); err != nil {
		return
	}
	ticker := time.NewTicker(n.cfg.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.stopped:
			return
		case <-ticker.C:
		}
		status := n.Status()
		if status.Role != RoleLeader && status.LeaderName != "" && n.applier.waiting() == 0 {
			return
		}
	}
}

// post queues an event for the event loop.
func (n *Node) post(ctx context.Context, e event) error {
	select {
	case n.events <- e:
		return nil
	case <-n.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

func ignoreStopped(err error) error {
	if errors.Is(err, ErrStopped) {
		return nil
	}
	return err
}
