package fleetcontrol

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"lynxgate.dev/lynxgate/internal/backpressure"
	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/ledger"
	"lynxgate.dev/lynxgate/internal/quarantine"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// agentConfigInterval is the least time between two configurations sent to an
// agent: changes in quick succession would fill a narrow link, on which weights have their time bound, too.
const agentConfigInterval = 2 * time.Second

// follower is one stream. Its fields are guarded by the hub's lock.
type follower struct {
	name, role, zone string
	wake             chan struct{}
	// changed and renewed hold the ids whose record is to be sent.
	changed, renewed map[string]bool
	// reports holds the addresses whose report is to be sent.
	reports map[string]bool
	// suspicions are the facts that are to be sent.
	suspicions []quarantine.News
	// signals are what backend servers have said that is to be sent.
	signals []backpressure.News
	// turns are the answers that are to be sent.
	turns []*rpc.Turn
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

func (f *follower) notify() {
	select {
	case f.wake <- struct{}{}:
	default:
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
			if h.turnMessage(f, m) {
				continue
			}
			if len(m.Suspicions) > 0 {
				h.suspected(follow.SuspicionsFromProto(m.Suspicions, clock.Now()))
				continue
			}
			if len(m.Signals) > 0 {
				h.signalled(follow.SignalsFromProto(m.Signals, clock.Now()))
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
	if f.role != RoleAgent {
		f.suspicions = h.suspects.All()
		f.signals = h.signals.All()
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
	h.turns.leave(f)
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
		f.configVersion, f.configAt = m.ConfigVersion, clock.Now()
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
	now := clock.Now()
	u := &rpc.FleetUpdate{}
	h.holdCommitted(state)
	lacks := f.number == 0 || !slices.Equal(addrs, f.controlAddrs)
	if lacks {
		// They seldom change, and in each update they would be a tenth of its bytes.
		u.ControlAddrs, f.controlAddrs = addrs, addrs
	}
	if f.role == RoleEntry {
		lacks = f.lackOfEntries(u, h.entries()) || lacks
	}
	if f.role != RoleControl {
		lacks = f.lackOfLedger(u, state, now, h.agents) || lacks
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
	u.Suspicions = follow.SuspicionsToProto(f.suspicions, now)
	u.Signals = follow.SignalsToProto(f.signals, now)
	u.Turns = f.turns
	if !lacks && len(u.Servers)+len(u.Seen)+len(u.Reports)+len(u.Suspicions)+len(u.Signals)+len(u.Turns) == 0 {
		return nil
	}
	f.suspicions, f.signals, f.turns = nil, nil, nil
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
func (f *follower) lackOfLedger(u *rpc.FleetUpdate, state *ledger.State, now time.Time, agents *agentConfigs) (lacks bool) {
	if state.ConfigVersion > f.configVersion && f.mayTakeConfig(now) {
		lacks = f.lackOfConfig(u, state, now, agents)
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

// lackOfConfig adds the committed document, or what an agent needs of it.
func (f *follower) lackOfConfig(u *rpc.FleetUpdate, state *ledger.State, now time.Time, agents *agentConfigs) bool {
	document := state.Config
	if f.role == RoleAgent && agents.decode != nil {
		var err error
		document, err = agents.lacking(f.configVersion, state.ConfigVersion, state.Config)
		if err != nil || document == nil {
			return false // a document that can't be read was never accepted
		}
	}
	u.ConfigVersion, u.Config = state.ConfigVersion, document
	f.configVersion, f.configAt = state.ConfigVersion, now
	return true
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
