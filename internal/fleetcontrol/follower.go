package fleetcontrol

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lynxgate.dev/lynxgate/internal/backpressure"
	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/ledger"
	"lynxgate.dev/lynxgate/internal/quarantine"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// agentConfigInterval is the least time between two configurations sent to an
// agent: changes in quick succession would fill a narrow link, which the transfer of
// weights needs to meet its time bound.
const agentConfigInterval = 2 * time.Second

// follower is one stream. Its fields are guarded by the hub's lock.
type follower struct {
	name, role, zone string
	// region is that of the zone, empty if it is not known.
	region string
	wake   chan struct{}
	// urgent: the next update must not wait for others to be sent with it.
	urgent atomic.Bool
	// changed holds the ids whose record is to be sent, renewed those of which only
	// the sequence number is to be sent.
	changed, renewed map[string]bool
	// reports holds the addresses whose report is to be sent.
	reports map[string]bool
	// suspicions are to be sent.
	suspicions []quarantine.Update
	// signals of backend servers are to be sent.
	signals []backpressure.Update
	// turns are answers to be sent.
	turns []*rpc.Turn
	// configVersion is the newest configuration that the follower was sent or has
	// accepted, configAt when it last changed.
	configVersion uint64
	configAt      time.Time
	// joinedAt is when the stream began. documentWait is when a document is sent that the follower has not got from
	// another control server by then, zero if there is none.
	joinedAt, documentWait time.Time
	// versions are those of weights that the follower was sent, with their times, by model.
	versions map[string]ledger.Version
	// namingsAt is when it was last sent a naming.
	namingsAt time.Time
	// informed is the last state whose namings it was all sent.
	informed *ledger.State
	// evacuations are the last orders about zones that the follower was sent.
	evacuations  map[string]ledger.Evacuation
	controlAddrs []string
	// entriesVersion is that of the list of entries that the follower was sent, if hasEntries is set.
	entriesVersion uint64
	hasEntries     bool
	number, acked  uint64
	stamps         *follow.Stamps
	waiters        []*waiter
	// interested: an entry wants presence. truncated: some of it waits for acknowledgements.
	interested, truncated bool
	window                presenceWindow
	// sender is what the follower was told of this control server.
	sender *rpc.ControlSender
	// unacknowledged are the updates on their way, oldest first.
	unacknowledged []sentUpdate
}

// waiter is the wait for one follower to acknowledge that a server leaves.
type waiter struct {
	id string
	// number is that of the update with the leaving server; 0 until it is built.
	number uint64
	// pending counts the followers that have not acknowledged yet.
	pending *sync.WaitGroup
}

func (f *follower) notify() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// notifyUrgent has the next update sent without a pause.
func (f *follower) notifyUrgent() {
	f.urgent.Store(true)
	f.notify()
}

// maxUpdateRate bounds the updates per second to all followers together, so that the time between
// two updates to one follower grows with their number, and so does what one update carries: while
// a fleet starts, each announcement would otherwise be an update to each follower.
const maxUpdateRate = 5000

// updateInterval returns the least time between two updates to a follower that are not urgent.
func (h *hub) updateInterval() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(len(h.followers)) * time.Second / maxUpdateRate
}

// pause waits for d, until something urgent is to be sent, or until ctx ends.
func (f *follower) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for !f.urgent.Swap(false) {
		select {
		case <-f.wake:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
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
	h.receive(f, hello)
	go func() {
		for {
			m, err := stream.Recv()
			if err != nil {
				return
			}
			h.handle(f, m)
		}
	}()
	keepAlive := time.NewTicker(follow.KeepAlive)
	defer keepAlive.Stop()
	for {
		u := h.next(f)
		if u != nil {
			h.traffic.add(f.region, u)
			if err := stream.Send(u); err != nil {
				return err
			}
			if u.Number == 1 { // until then an entry that starts does not know whether it was told all namings
				if err := stream.Send(h.keepAlive(f)); err != nil {
					return err
				}
			}
		}
		sentAt := time.Now()
		select {
		case <-f.wake:
			f.pause(stream.Context(), h.updateInterval()-time.Since(sentAt))
		case <-keepAlive.C:
			if err := stream.Send(h.keepAlive(f)); err != nil {
				return err
			}
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}

// handle handles one message of a follower that has joined.
func (h *hub) handle(f *follower, m *rpc.FollowerMessage) {
	at := h.receive(f, m)
	switch {
	case m.Presence != rpc.PresenceInterest_PRESENCE_INTEREST_UNSPECIFIED:
		h.setInterest(f, m.Presence)
	case m.Report != nil:
		h.mergeReport(m.Report)
	case h.handleTurnMessage(f, m):
	case len(m.Suspicions) > 0:
		h.mergeSuspicions(follow.SuspicionsFromProto(m.Suspicions, clock.Now()))
	case len(m.Signals) > 0:
		h.mergeSignals(follow.SignalsFromProto(m.Signals, clock.Now()))
	case len(m.Versions) > 0:
		h.mergeNamings(m.Versions, at)
	default:
		h.acknowledge(f, m)
	}
}

func (h *hub) join(hello *rpc.FollowerMessage) *follower {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := &follower{
		name: hello.Name, role: hello.Role, zone: hello.Zone, region: h.region(hello.Zone), wake: make(chan struct{}, 1),
		changed: map[string]bool{}, renewed: map[string]bool{}, versions: map[string]ledger.Version{},
		reports: map[string]bool{}, stamps: follow.NewStamps(clock.Now()), joinedAt: clock.Now(),
		interested: hello.Presence != rpc.PresenceInterest_PRESENCE_INTEREST_UNWANTED,
	}
	h.markAll(f)
	if f.role != RoleAgent {
		f.suspicions = h.suspects.All()
		f.signals = h.signals.All()
	}
	h.followers[f] = true
	if f.wantsPresence() {
		h.interested[f] = true
	}
	if f.role == RoleEntry {
		h.entries.join(f.name, f.zone) // the others get it with the next renewals
	}
	h.log.Info().Str("follower", f.name).Str("role", f.role).Msg("follower joined")
	return f
}

func (h *hub) leave(f *follower) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.followers, f)
	delete(h.interested, f)
	if f.role == RoleEntry {
		h.entries.leave(f.name)
	}
	h.turns.releaseAll(f)
	for _, w := range f.waiters {
		w.pending.Done()
	}
	f.waiters = nil
	h.log.Info().Str("follower", f.name).Str("role", f.role).Msg("follower left")
}

// receive records the stamp of a message that was just read, and dates the message.
func (h *hub) receive(f *follower, m *rpc.FollowerMessage) follow.Anchor {
	now := clock.Now()
	if m.StampUs == 0 && m.Echo == nil {
		return follow.Received(now) // reports, which are most of the messages
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	f.stamps.Receive(m.StampUs, now)
	return f.stamps.Anchor(m.Echo, now)
}

func (h *hub) acknowledge(f *follower, m *rpc.FollowerMessage) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if m.ConfigVersion > f.configVersion {
		f.configVersion, f.configAt = m.ConfigVersion, clock.Now()
	}
	f.acked = max(f.acked, m.Acknowledged)
	f.dropAcknowledged(h.now(), h.mostPresence())
	if f.truncated {
		f.notifyUrgent()
	}
	f.waiters = slices.DeleteFunc(f.waiters, func(w *waiter) bool {
		if w.number == 0 || w.number > f.acked {
			return false
		}
		w.pending.Done()
		return true
	})
}

// keepAlive returns a message that says that this server still runs, or an update if the follower was not sent all namings of
// weights: a message with an echo says that it was.
func (h *hub) keepAlive(f *follower) *rpc.FleetUpdate {
	asOf, withheld := clock.Now(), h.withholdsNamings(f) // before the state is read, so that it holds all namings known then
	told := h.namingsToldAsOf(f, asOf)
	state := h.ledger.State()
	if u := h.stampedKeepAlive(f, state, asOf, told, withheld); u != nil {
		return u
	}
	return h.next(f)
}

// namingsToldAsOf returns as of when a keep-alive at a time tells a follower that it was sent all namings, zero if never: those that the log
// held, of which one that is not applied may have been acknowledged. Control servers, which only date namings by it, are told what was applied.
func (h *hub) namingsToldAsOf(f *follower, now time.Time) time.Time {
	if f.role == RoleControl {
		return now
	}
	return h.completeAsOf(now)
}

// withholdsNamings reports whether a follower is sent neither namings nor an echo, which says that it was sent all: until its log is replayed
// a control server may have committed one before its restart that it does not know. Other control servers date namings by what it tells.
func (h *hub) withholdsNamings(f *follower) bool {
	return f.role == RoleControl && h.ledger.Replaying()
}

// stampedKeepAlive returns a keep-alive, nil if the follower was not sent all namings.
func (h *hub) stampedKeepAlive(f *follower, state *ledger.State, asOf, told time.Time, withheld bool) *rpc.FleetUpdate {
	h.mu.Lock()
	defer h.mu.Unlock()
	if withheld {
		return &rpc.FleetUpdate{StampUs: f.stamps.Stamp(asOf)}
	}
	if !f.hasNamings(state) {
		return nil
	}
	u := &rpc.FleetUpdate{StampUs: f.stamps.Stamp(asOf)}
	if !told.IsZero() {
		u.Echo = f.stamps.Echo(told)
	}
	return u
}

// stamp adds the stamp and the echo to a message whose namings are those known at a time, with their ages as of then.
func (f *follower) stamp(u *rpc.FleetUpdate, asOf time.Time) *rpc.FleetUpdate {
	u.StampUs, u.Echo = f.stamps.Stamp(asOf), f.stamps.Echo(asOf)
	return u
}

// next builds the next update for a follower, nil if the follower is up to date.
func (h *hub) next(f *follower) *rpc.FleetUpdate {
	asOf, withheld := clock.Now(), h.withholdsNamings(f) // before the state is read, so that it holds all namings known then
	state := h.ledger.State()
	addrs := h.controlAddrs()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Now()
	h.noteRunning()
	u := &rpc.FleetUpdate{}
	h.mergeQuarantined(state)
	outdated := f.number == 0 || !slices.Equal(addrs, f.controlAddrs)
	if outdated {
		// The addresses seldom change, and would be a tenth of the bytes of each update.
		u.ControlAddrs, f.controlAddrs = addrs, addrs
	}
	if f.role == RoleEntry {
		outdated = f.addEntries(u, h.entries) || outdated
		outdated = f.addEvacuations(u, state.Evacuations, now) || outdated
	}
	outdated = h.addSender(f, u) || outdated
	if f.role != RoleControl {
		outdated = h.addConfig(f, u, state, now) || outdated
	}
	if !withheld {
		outdated = f.addVersions(u, state.Versions, asOf, h.versionBound) || outdated
		f.informed = state
	}
	size := h.addPresence(f, u, now)
	u.Suspicions = follow.SuspicionsToProto(f.suspicions, now)
	u.Signals = follow.SignalsToProto(f.signals, now)
	u.Turns = f.turns
	if !outdated && len(u.Servers)+len(u.Seen)+len(u.Reports)+len(u.Suspicions)+len(u.Signals)+len(u.Turns) == 0 {
		return nil
	}
	f.suspicions, f.signals, f.turns = nil, nil, nil
	f.number++
	u.Number = f.number
	f.sent(h.now(), size)
	f.stamp(u, asOf)
	if withheld {
		u.Echo = nil
	}
	for _, w := range f.waiters {
		if w.number == 0 {
			w.number = u.Number
		}
	}
	return u
}

// configDue reports whether a newer configuration is sent now. Agents get them at
// intervals: they need only the settings of the engine and the origin, and share the
// link of their VM with requests.
func (f *follower) configDue(now time.Time) bool {
	return f.role != RoleAgent || now.Sub(f.configAt) >= agentConfigInterval
}

// namingRepeatInterval is how often namings are sent again while the weights before them may be
// used. A repetition that is dated by a stamp with less delay makes their times more exact, and times of other control
// servers that change nothing by themselves come with it. For a follower without stamps, a message that waits on its
// way makes the ages too low by the wait; a repetition that waits less corrects them.
const namingRepeatInterval = time.Second

// namingsDue reports whether namings are sent again now.
func (f *follower) namingsDue(now time.Time) bool {
	return now.Sub(f.namingsAt) >= namingRepeatInterval
}

// addVersions adds the namings of weights that were not sent yet, or with a later time, and
// repeats those younger than bound. Control servers get them, too: each applies a naming at another
// time, and the earliest counts.
func (f *follower) addVersions(u *rpc.FleetUpdate, committed map[string]ledger.Version, now time.Time, bound time.Duration) (added bool) {
	due := f.namingsDue(now)
	for model, newest := range committed {
		for _, v := range newest.History() {
			sent, changed := f.versions[model].Merge(v)
			if !changed && !(due && now.Sub(v.AppliedAt) < bound) {
				continue
			}
			f.versions[model], f.namingsAt = sent, now
			u.Versions = append(u.Versions, ledger.NamingsToProto(model, v, now)...)
			added = true
		}
	}
	return added
}

// hasNamings reports whether the follower was sent all namings of a state.
func (f *follower) hasNamings(state *ledger.State) bool {
	if f.informed == state {
		return true
	}
	for model, newest := range state.Versions {
		for _, v := range newest.History() {
			if _, changed := f.versions[model].Merge(v); changed {
				return false
			}
		}
	}
	f.informed = state
	return true
}

// addEvacuations adds the orders about zones that were not sent yet.
func (f *follower) addEvacuations(u *rpc.FleetUpdate, committed map[string]ledger.Evacuation, now time.Time) bool {
	u.Evacuations = ledger.EvacuationsToProto(committed, f.evacuations, now)
	f.evacuations = committed
	return len(u.Evacuations) > 0
}

// addConfig adds a committed document that was not sent yet, or for an agent its services if they
// have changed.
func (h *hub) addConfig(f *follower, u *rpc.FleetUpdate, state *ledger.State, now time.Time) bool {
	f.documentWait = time.Time{}
	if state.ConfigVersion <= f.configVersion || !f.configDue(now) || !h.documentDue(f, state.ConfigVersion, now) {
		return false
	}
	f.documentWait = time.Time{}
	document := state.Config
	if f.role == RoleAgent && h.agents.decode != nil {
		var err error
		document, err = h.agents.newServices(f.configVersion, state.ConfigVersion, state.Config)
		if err != nil || document == nil {
			return false // no error is expected: a document that cannot be decoded is not accepted
		}
	}
	u.ConfigVersion, u.Config = state.ConfigVersion, document
	f.configVersion, f.configAt = state.ConfigVersion, now
	return true
}
