package fleetcontrol

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lynxgate.dev/lynxgate/internal/directory"
	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/ledger"
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
	// agentConfigInterval is the least time between two configurations sent to an
	// agent. Without it, 24 changes in 8 s took a third of a link of 0.91 Mbit/s
	// (a played day); the bound on versions of weights is 8 s.
	agentConfigInterval = 2 * time.Second
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

	mu        sync.Mutex
	servers   *directory.Directory
	followers map[*follower]bool
	// reports are the agents' newest reports by address of the backend server.
	reports map[string]*rpc.AgentReport
}

// follower is one stream. Its fields are guarded by the hub's lock.
type follower struct {
	name, role, zone string
	wake             chan struct{}
	// changed and renewed hold the ids whose record is to be sent.
	changed, renewed map[string]bool
	// reports holds the addresses whose report is to be sent.
	reports map[string]bool
	// configVersion is the newest configuration that it was sent or holds,
	// configAt when that changed last.
	configVersion uint64
	configAt      time.Time
	versions      map[string]uint64
	controlAddrs  []string
	entries       []*rpc.Entry
	number, acked uint64
	waiters       []*waiter
}

// waiter waits until followers have acknowledged that a server leaves.
type waiter struct {
	id string
	// number is of the update that tells the follower; 0 until it is made.
	number uint64
	left   *sync.WaitGroup
}

func newHub(l *ledger.Ledger, controlAddrs func() []string, announceInterval time.Duration, decode func([]byte) (*fleet.Config, error), log zerolog.Logger) *hub {
	return &hub{
		ledger: l, controlAddrs: controlAddrs, log: log,
		services: &declaredServices{ledger: l, decode: decode}, refused: newRefusals(log),
		servers: directory.New(announceInterval), followers: map[*follower]bool{},
		reports: map[string]*rpc.AgentReport{},
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
			h.wakeFor(func(f *follower) bool { return len(f.reports) > 0 })
		case <-forget.C:
			h.mu.Lock()
			h.servers.Forget(time.Now())
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

func (f *follower) notify() {
	select {
	case f.wake <- struct{}{}:
	default:
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
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for _, s := range u.Servers {
		h.merge(follow.ServerFromProto(s, now), source)
	}
	for _, s := range u.Seen {
		if h.servers.Renew(s.Id, s.Born, s.Seq, now) == directory.Renewed {
			h.markRenewed(s.Id)
		}
	}
}

// serve sends updates to one follower until its stream ends.
func (h *hub) serve(stream rpc.DRPCFleet_FollowStream) error {
	hello, err := stream.Recv()
	if err != nil {
		return err
	}
	f := h.join(hello)
	defer h.leave(f)
	go func() {
		for {
			m, err := stream.Recv()
			if err != nil {
				return
			}
			if m.Report != nil {
				h.report(m.Report)
				continue
			}
			h.acknowledged(f, m)
		}
	}()
	keepAlive := time.NewTicker(follow.KeepAlive)
	defer keepAlive.Stop()
	for {
		u := h.next(f)
		if u != nil {
			if err := stream.Send(u); err != nil {
				return err
			}
		}
		select {
		case <-f.wake:
		case <-keepAlive.C:
			if err := stream.Send(&rpc.FleetUpdate{}); err != nil {
				return err
			}
		case <-stream.Context().Done():
			return stream.Context().Err()
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

func (h *hub) join(hello *rpc.FollowerMessage) *follower {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := &follower{
		name: hello.Name, role: hello.Role, zone: hello.Zone, wake: make(chan struct{}, 1),
		changed: map[string]bool{}, renewed: map[string]bool{}, versions: map[string]uint64{},
		reports: map[string]bool{},
	}
	for addr := range h.reports {
		if f.role == RoleEntry {
			f.reports[addr] = true
		}
	}
	for _, b := range h.servers.All() {
		f.changed[b.ID] = true
	}
	h.followers[f] = true
	for other := range h.followers {
		other.notify() // the entries may have changed
	}
	h.log.Info().Str("follower", f.name).Str("role", f.role).Msg("follower joined")
	return f
}

func (h *hub) leave(f *follower) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.followers, f)
	for _, w := range f.waiters {
		w.left.Done()
	}
	f.waiters = nil
	h.log.Info().Str("follower", f.name).Str("role", f.role).Msg("follower left")
}

func (h *hub) acknowledged(f *follower, m *rpc.FollowerMessage) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if m.ConfigVersion > f.configVersion {
		f.configVersion, f.configAt = m.ConfigVersion, time.Now()
	}
	f.acked = max(f.acked, m.Acknowledged)
	f.waiters = slices.DeleteFunc(f.waiters, func(w *waiter) bool {
		if w.number == 0 || w.number > f.acked {
			return false
		}
		w.left.Done()
		return true
	})
}

// next makes the update that a follower lacks, nil if it lacks nothing.
func (h *hub) next(f *follower) *rpc.FleetUpdate {
	state := h.ledger.State()
	addrs := h.controlAddrs()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	u := &rpc.FleetUpdate{ControlAddrs: addrs}
	lacks := f.number == 0 || !slices.Equal(addrs, f.controlAddrs)
	f.controlAddrs = addrs
	if f.role == RoleEntry {
		lacks = f.lackOfEntries(u, h.entries()) || lacks
	}
	if f.role != RoleControl {
		lacks = f.lackOfLedger(u, state, now) || lacks
	}
	for id := range f.changed {
		if b := h.servers.Get(id); b != nil {
			u.Servers = append(u.Servers, follow.ServerToProto(b, now))
		}
	}
	for id := range f.renewed {
		if b := h.servers.Get(id); b != nil && !f.changed[id] {
			u.Seen = append(u.Seen, &rpc.ServerSeen{Id: id, Born: b.Born, Seq: b.Seq})
		}
	}
	for addr := range f.reports {
		u.Reports = append(u.Reports, h.reports[addr])
	}
	if !lacks && len(u.Servers) == 0 && len(u.Seen) == 0 && len(u.Reports) == 0 {
		return nil
	}
	clear(f.changed)
	clear(f.renewed)
	clear(f.reports)
	f.number++
	u.Number = f.number
	for _, w := range f.waiters {
		if w.number == 0 {
			w.number = u.Number
		}
	}
	return u
}

// mayTakeConfig tells whether a newer configuration is sent now. Agents need the
// engine's and the origin's lines only, and share the link of their VM with requests.
func (f *follower) mayTakeConfig(now time.Time) bool {
	return f.role != RoleAgent || now.Sub(f.configAt) >= agentConfigInterval
}

// lackOfLedger adds what is committed and was not sent yet.
func (f *follower) lackOfLedger(u *rpc.FleetUpdate, state *ledger.State, now time.Time) (lacks bool) {
	if state.ConfigVersion > f.configVersion && f.mayTakeConfig(now) {
		u.ConfigVersion, u.Config = state.ConfigVersion, state.Config
		f.configVersion, f.configAt = state.ConfigVersion, now
		lacks = true
	}
	for model, newest := range state.Versions {
		for _, v := range newest.History() {
			if v.Number <= f.versions[model] {
				continue
			}
			f.versions[model] = v.Number
			u.Versions = append(u.Versions, &rpc.ModelVersion{
				Model: model, Version: v.Number, AgeMs: now.Sub(v.AppliedAt).Milliseconds(),
			})
			lacks = true
		}
	}
	return lacks
}

// lackOfEntries adds the entries if they are others than the follower knows.
func (f *follower) lackOfEntries(u *rpc.FleetUpdate, entries []*rpc.Entry) bool {
	same := func(a, b *rpc.Entry) bool { return a.Name == b.Name && a.Zone == b.Zone }
	if slices.EqualFunc(entries, f.entries, same) {
		return false
	}
	f.entries = entries
	u.Entries = &rpc.EntryList{Entries: entries}
	return true
}

// entries are those that follow, in the order of names; the lock is held.
func (h *hub) entries() []*rpc.Entry {
	var out []*rpc.Entry
	for f := range h.followers {
		if f.role == RoleEntry {
			out = append(out, &rpc.Entry{Name: f.name, Zone: f.zone})
		}
	}
	slices.SortFunc(out, func(a, b *rpc.Entry) int { return cmp.Compare(a.Name, b.Name) })
	return slices.CompactFunc(out, func(a, b *rpc.Entry) bool { return a.Name == b.Name })
}
