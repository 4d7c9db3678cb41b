package fleetcontrol

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lynxgate.dev/lynxgate/internal/backpressure"
	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/directory"
	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/ledger"
	"lynxgate.dev/lynxgate/internal/quarantine"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// The roles of followers.
const (
	RoleEntry   = "entry"
	RoleAgent   = "agent"
	RoleControl = "control"
)

const (
	// renewInterval is how long renewed announcements wait to share an update:
	// entries judge by seconds whether a server is heard.
	renewInterval = 500 * time.Millisecond
	// reportInterval is the same for agents' reports, by which entries choose.
	reportInterval = 100 * time.Millisecond
	// forgetInterval is how often servers that were not heard are dropped.
	forgetInterval = 5 * time.Second
)

// hub keeps the directory and spreads it, with the ledger, to followers.
type hub struct {
	ledger       *ledger.Ledger
	controlAddrs func() []string
	log          zerolog.Logger
	services     *declaredServices
	refused      *refusals
	agents       *agentConfigs

	mu        sync.Mutex
	servers   *directory.Directory
	followers map[*follower]bool
	// reports are the agents' newest reports by address of the backend server.
	reports map[string]*rpc.AgentReport
	// suspects is what entries know of work that was at servers that ended.
	suspects *quarantine.Table
	// signals are what backend servers have said of themselves to entries.
	signals *backpressure.Table
	// committed is the work that the log holds, as it was taken over, recorded the same as a
	// set.
	committed []quarantine.Digest
	recorded  map[quarantine.Digest]bool
	// turns are those of suspect work that this server has given.
	turns turns
}

func newHub(l *ledger.Ledger, controlAddrs func() []string, announceInterval time.Duration, decode func([]byte) (*fleet.Config, error), log zerolog.Logger) *hub {
	return &hub{
		ledger: l, controlAddrs: controlAddrs, log: log,
		services: &declaredServices{ledger: l, decode: decode}, refused: newRefusals(log),
		agents:  &agentConfigs{decode: decode},
		servers: directory.New(announceInterval), followers: map[*follower]bool{},
		reports: map[string]*rpc.AgentReport{}, suspects: quarantine.New(), signals: backpressure.NewTable(), recorded: map[quarantine.Digest]bool{}, turns: turns{},
	}
}

// run wakes followers at changes of the ledger and for renewals.
func (h *hub) run(ctx context.Context) {
	renew := time.NewTicker(renewInterval)
	defer renew.Stop()
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	forget := time.NewTicker(forgetInterval)
	defer forget.Stop()
	for {
		changed := h.ledger.Changed()
		select {
		case <-changed:
			h.wakeAll()
		case <-renew.C:
			h.wakeFor(func(f *follower) bool { return len(f.renewed) > 0 })
		case <-report.C:
			h.settle()
			h.wakeFor(func(f *follower) bool { return len(f.reports) > 0 })
		case <-forget.C:
			h.mu.Lock()
			h.servers.Forget(clock.Now())
			h.suspects.Forget(clock.Now())
			h.signals.Forget(clock.Now())
			h.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

func (h *hub) wakeAll() { h.wakeFor(func(*follower) bool { return true }) }

func (h *hub) wakeFor(lacks func(*follower) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for f := range h.followers {
		if lacks(f) {
			f.notify()
		}
	}
}

// merge takes a record in and marks it for the followers; the lock is held.
func (h *hub) merge(b fleet.BackendServer, source string) directory.Change {
	change := h.servers.Merge(b)
	switch change {
	case directory.Changed:
		h.log.Info().Str("server", b.ID).Int64("born", b.Born).Str("service", b.Service).Str("addr", b.Addr).Str("zone", b.Zone).
			Stringer("state", b.State).Uint64("seq", b.Seq).Str("source", source).Msg("backend server changed")
		for f := range h.followers {
			f.changed[b.ID] = true
			f.notify()
		}
	case directory.Renewed:
		h.markRenewed(b.ID)
	}
	return change
}

func (h *hub) markRenewed(id string) {
	for f := range h.followers {
		if f.role != RoleAgent { // agents need changes only
			f.renewed[id] = true
		}
	}
}

// announce merges an announcement and, if the server leaves, waits until the
// followers know.
func (h *hub) announce(ctx context.Context, b fleet.BackendServer) error {
	h.mu.Lock()
	change := h.merge(b, "announcement")
	if change != directory.Changed || b.State == fleet.StateReady {
		h.mu.Unlock()
		return nil
	}
	var left sync.WaitGroup
	for f := range h.followers {
		left.Add(1)
		f.waiters = append(f.waiters, &waiter{id: b.ID, left: &left})
	}
	h.mu.Unlock()
	done := make(chan struct{})
	go func() {
		left.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(spreadTimeout):
		h.log.Warn().Str("server", b.ID).Msg("not all followers have acknowledged that the server leaves")
	case <-ctx.Done():
	}
	return nil
}

// peerUpdate takes over what another control server knows of backend servers.
func (h *hub) peerUpdate(source string, u *rpc.FleetUpdate) {
	if len(u.Suspicions) > 0 {
		h.suspected(follow.SuspicionsFromProto(u.Suspicions, clock.Now()))
	}
	if len(u.Signals) > 0 {
		h.signalled(follow.SignalsFromProto(u.Signals, clock.Now()))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Now()
	for _, s := range u.Servers {
		h.merge(follow.ServerFromProto(s, now), source)
	}
	for _, s := range u.Seen {
		if h.servers.Renew(s.Id, s.Born, s.Seq, now) == directory.Renewed {
			h.markRenewed(s.Id)
		}
	}
}

// report takes an agent's report; one that changes where requests may go is
// passed on at once, others with the next renewals.
func (h *hub) report(r *rpc.AgentReport) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known := h.reports[r.Addr]
	if known != nil && known.Epoch == r.Epoch && known.Seq >= r.Seq {
		return
	}
	h.reports[r.Addr] = r
	urgent := known == nil || known.Loading != r.Loading || !follow.SameModels(known.Models, r.Models)
	for f := range h.followers {
		if f.role != RoleEntry {
			continue
		}
		f.reports[r.Addr] = true
		if urgent {
			f.notify()
		}
	}
}
