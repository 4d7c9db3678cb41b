package fleetcontrol

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// Presence, which package follow describes, yields to all else: it is sent only while little of it is on its way, see
// presenceWindow. What waits is kept once by server, so that a slow link delays presence and makes it coarser, and delays nothing else.

// wantsPresence reports whether a follower is sent renewals and reports: entries that have asked for them, and
// control servers.
func (f *follower) wantsPresence() bool {
	return f.role == RoleControl || f.role == RoleEntry && f.interested
}

// wantsServer reports whether a follower is sent changes of a server in this state. Those that leave concern everyone.
func (f *follower) wantsServer(s fleet.State) bool {
	return s != fleet.StateReady || f.role == RoleAgent || f.wantsPresence()
}

// setInterest records an entry's interest in presence. One that becomes interested is sent everything.
func (h *hub) setInterest(f *follower, interest rpc.PresenceInterest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	interested := interest != rpc.PresenceInterest_PRESENCE_INTEREST_UNWANTED
	if f.interested == interested || f.role != RoleEntry || !h.followers[f] {
		return
	}
	f.interested = interested
	if !interested {
		delete(h.interested, f)
		clear(f.renewed)
		clear(f.reports)
		return
	}
	h.interested[f] = true
	h.markAll(f)
	f.notify()
}

// markAll marks all servers and reports that a follower is to be sent. The caller holds the lock.
func (h *hub) markAll(f *follower) {
	for _, b := range h.servers.All() {
		if f.wantsServer(b.State) {
			f.changed[b.ID] = true
		}
	}
	if f.role == RoleEntry && f.interested || f.role == RoleControl && h.relaying {
		h.markReports(f)
	}
}

func (h *hub) markReports(f *follower) {
	for addr := range h.reports {
		f.reports[addr] = true
	}
}

// updateControls notes the control servers that this one follows, whether they relay presence to one another's entries, and
// that of which ones this one relays.
func (h *hub) updateControls() {
	controls := []controlServer{{addr: h.addr, zone: h.zone}}
	if h.peers != nil {
		for addr, zone := range h.peers() {
			controls = append(controls, controlServer{addr: addr, zone: zone})
		}
	}
	relaying := len(h.controlAddrs()) > follow.DirectPresenceServers
	var relays []string
	if relaying && h.forwarding != nil {
		relays = h.forwarding()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	began := relaying && !h.relaying
	h.relaying, h.relays, h.controls = relaying, relays, controls
	for f := range h.interested {
		if began && f.role == RoleControl {
			h.markReports(f)
		}
	}
}

// markRenewed marks a renewal for followers, unless it may have come during a pause. One that another control
// server has sent goes to entries only while all of them relay. The caller holds the lock.
func (h *hub) markRenewed(id string, relayed bool) {
	if h.noteRunning() {
		return
	}
	skipControl := relayed && h.relaying
	for f := range h.interested {
		if !(skipControl && f.role == RoleControl) {
			f.renewed[id] = true
		}
	}
}

// mergeReport merges a report that an agent has sent to this control server.
func (h *hub) mergeReport(r *rpc.AgentReport) { h.mergeReportAt(r, h.pauses.now(), false) }

// mergeReportAt merges an agent's report, which a control server received at a time. It marks the report for entries and, if it came from
// the agent itself, for control servers that relay it. A change of the loaded models, or of whether the engine is loading, is sent at
// once, since it changes where requests may be dispatched; other reports wait for run. Reports that may have come during a pause are
// dropped.
func (h *hub) mergeReportAt(r *rpc.AgentReport, at time.Time, relayed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.noteRunning() {
		return // the next one comes within half a second
	}
	known := h.reports[r.Addr].report
	if known != nil && known.Epoch == r.Epoch && known.Seq >= r.Seq {
		return
	}
	h.reports[r.Addr] = receivedReport{report: r, at: at}
	urgent := known == nil || known.Loading != r.Loading || !follow.SameModels(known.Models, r.Models)
	forward := !relayed && h.relaying
	for f := range h.interested {
		if f.role == RoleControl && !forward {
			continue
		}
		f.reports[r.Addr] = true
		if urgent {
			f.notify()
		}
	}
}

// receivedReport is an agent's report with the time at which a control server received it.
type receivedReport struct {
	report *rpc.AgentReport
	at     time.Time
}

// addPresence adds the reports, records and renewals to be sent, as far as the follower's window allows, and servers that leave. It
// returns the size of the presence among them. The caller holds the lock.
func (h *hub) addPresence(f *follower, u *rpc.FleetUpdate, now time.Time) int {
	room := &presenceRoom{left: f.window.left(f.presenceInFlight(), h.mostPresence(), f.unacknowledgedFor(h.now()))}
	h.addReports(f, u, room, now)
	h.addRecords(f, u, room, now)
	h.addRenewals(f, u, room, now)
	f.truncated = room.lacked
	return room.used
}

// presenceRoom is the room for presence in one update.
type presenceRoom struct {
	left, used int
	// lacked: something did not fit.
	lacked bool
}

// full reports whether nothing more fits, when there is something.
func (r *presenceRoom) full() bool {
	r.lacked = r.lacked || r.left <= 0
	return r.left <= 0
}

func (r *presenceRoom) take(m proto.Message) {
	size := proto.Size(m)
	r.left -= size
	r.used += size
}

func (h *hub) addReports(f *follower, u *rpc.FleetUpdate, room *presenceRoom, now time.Time) {
	for addr := range f.reports {
		if room.full() {
			return
		}
		r := h.reports[addr]
		u.Reports = append(u.Reports, r.report)
		if h.relaying {
			u.ReportsAgeMs = max(u.ReportsAgeMs, now.Sub(r.at).Milliseconds())
		}
		room.take(r.report)
		delete(f.reports, addr)
	}
}

// addRecords adds changed records. Those of servers that leave are no presence, and always fit.
func (h *hub) addRecords(f *follower, u *rpc.FleetUpdate, room *presenceRoom, now time.Time) {
	for id := range f.changed {
		b := h.servers.Get(id)
		if b != nil && f.wantsServer(b.State) {
			ready := b.State == fleet.StateReady
			if ready && room.full() {
				continue
			}
			s := follow.ServerToProto(b, now)
			u.Servers = append(u.Servers, s)
			if ready {
				room.take(s)
			}
		}
		delete(f.changed, id)
		delete(f.renewed, id)
	}
}

func (h *hub) addRenewals(f *follower, u *rpc.FleetUpdate, room *presenceRoom, now time.Time) {
	for id := range f.renewed {
		if room.full() {
			return
		}
		if b := h.servers.Get(id); b != nil && !f.changed[id] {
			s := &rpc.ServerSeen{Id: id, Born: b.StartUnixMs, Seq: b.Seq}
			if h.relaying {
				s.AgeMs = now.Sub(b.SeenAt).Milliseconds()
			}
			u.Seen = append(u.Seen, s)
			room.take(s)
		}
		delete(f.renewed, id)
	}
}

// mostPresence returns a follower's part of presenceInFlight.
func (h *hub) mostPresence() int {
	return max(presenceInFlight/max(len(h.interested), 1), minPresenceWindow)
}

// senderOutdated reports whether a follower is to be told what this control server relays.
func (h *hub) senderOutdated(f *follower) bool {
	return f.role != RoleAgent && (f.sender == nil || f.sender.Forwards != h.relaying || !slices.Equal(f.sender.Relays, h.relays))
}

// addSender describes this control server to a follower if it has changed.
func (h *hub) addSender(f *follower, u *rpc.FleetUpdate) bool {
	if !h.senderOutdated(f) {
		return false
	}
	f.sender = &rpc.ControlSender{Zone: h.zone, Forwards: h.relaying, Relays: h.relays}
	u.Sender = f.sender
	return true
}
