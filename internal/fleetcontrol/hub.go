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
	// renewInterval is how long renewals are batched into one update: entries need
	// the time of a server's last announcement to within seconds.
	renewInterval = 500 * time.Millisecond
	// forgetInterval is how often silent servers are dropped.
	forgetInterval = 5 * time.Second
)

// hub keeps the directory and sends it, with the committed state, to followers.
type hub struct {
	ledger       *ledger.Ledger
	controlAddrs func() []string
	log          zerolog.Logger
	services     *declaredServices
	refused      *refusals
	agents       *agentConfigs
	traffic      *traffic
	// addr and zone are those of this control server.
	addr, zone string
	// peers returns the zones of the other control servers that this one follows; it may be nil.
	peers func() map[string]string
	// forwarding returns the control servers that forward their presence to this one; it may be nil.
	forwarding func() []string
	// regionOf is Config.RegionOf.
	regionOf func(zone string) string
	// now is clock.Now, except in tests; it dates updates and their acknowledgements.
	now func() time.Time
	// versionBound is Config.VersionBound.
	versionBound time.Duration
	// completeAsOf returns the latest time as of which this control server has applied all that its log held (replica.Node.CompleteAsOf).
	completeAsOf func(now time.Time) time.Time
	// evidence dates namings that another control server has committed.
	evidence *evidence

	mu        sync.Mutex
	servers   *directory.Directory
	followers map[*follower]bool
	// interested are the followers that are sent presence.
	interested map[*follower]bool
	entries    *entryList
	// relaying: control servers relay presence. relays are those whose presence this one relays.
	relaying bool
	relays   []string
	// controls are this control server and those that it follows.
	controls []controlServer
	// documentVersion is that of the newest document, which was seen in the log at documentAt.
	documentVersion uint64
	documentAt      time.Time
	// reports are the agents' newest reports by address of the backend server.
	reports map[string]receivedReport
	// suspects holds the suspicions of all entries.
	suspects *quarantine.Table
	// signals are those that backend servers have sent to entries.
	signals *backpressure.Table
	// committed are the quarantined contents of the committed state when it was last merged,
	// recorded the same as a set.
	committed []ledger.Quarantined
	recorded  map[quarantine.Digest]bool
	// turns are those that this server has granted.
	turns  turns
	pauses pauses
}

func newHub(l *ledger.Ledger, controlAddrs func() []string, announceInterval time.Duration, decode func([]byte) (*fleet.Config, error), log zerolog.Logger) *hub {
	return &hub{
		ledger: l, controlAddrs: controlAddrs, log: log,
		services: &declaredServices{ledger: l, decode: decode}, refused: newRefusals(log),
		agents: &agentConfigs{decode: decode}, traffic: newTraffic(), now: clock.Now,
		servers: directory.New(announceInterval), followers: map[*follower]bool{}, interested: map[*follower]bool{}, entries: newEntryList(),
		reports: map[string]receivedReport{}, suspects: quarantine.New(), signals: backpressure.NewTable(), recorded: map[quarantine.Digest]bool{}, turns: turns{},
		pauses: pauses{now: clock.Now}, evidence: newEvidence(), completeAsOf: func(now time.Time) time.Time { return now },
	}
}

// run wakes followers for changes of the ledger, renewals and reports, and drops outdated
// records.
func (h *hub) run(ctx context.Context) {
	renew := time.NewTicker(renewInterval)
	defer renew.Stop()
	report := time.NewTicker(follow.ReportForwardInterval)
	defer report.Stop()
	forget := time.NewTicker(forgetInterval)
	defer forget.Stop()
	logTraffic := time.NewTicker(trafficInterval)
	defer logTraffic.Stop()
	changed := h.ledger.Changed()
	for {
		select {
		case <-changed:
			changed = h.ledger.Changed()
			h.wakeForUrgent()
		case <-renew.C:
			now := clock.Now()
			recent := h.namedWithinBound(now)
			h.wakeFor(func(f *follower) bool {
				return recent && f.namingsDue(now) || len(f.renewed) > 0 || f.role == RoleEntry && f.entriesVersion != h.entries.version || h.senderOutdated(f)
			})
		case <-report.C:
			h.updateControls()
			h.mu.Lock()
			h.noteRunning()
			h.mu.Unlock()
			h.settle()
			now := clock.Now()
			h.wakeFor(func(f *follower) bool { return len(f.reports) > 0 || f.documentWaited(now) })
		case <-forget.C:
			h.mu.Lock()
			h.servers.Forget(clock.Now())
			h.suspects.Forget(clock.Now())
			h.signals.Forget(clock.Now())
			h.mu.Unlock()
		case <-logTraffic.C:
			h.logTraffic(clock.Now())
		case <-ctx.Done():
			return
		}
	}
}

// region returns the region of a zone, empty if it is not known.
func (h *hub) region(zone string) string {
	if h.regionOf == nil {
		return ""
	}
	return h.regionOf(zone)
}

// namedWithinBound reports whether a version of weights was named so recently that those before it may
// still be used.
func (h *hub) namedWithinBound(now time.Time) bool {
	for _, newest := range h.ledger.State().Versions {
		if now.Sub(newest.AppliedAt) < h.versionBound {
			return true
		}
	}
	return false
}

// wakeForUrgent wakes all followers for something that must reach them at once.
func (h *hub) wakeForUrgent() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for f := range h.followers {
		f.notifyUrgent()
	}
}

func (h *hub) wakeFor(outdated func(*follower) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for f := range h.followers {
		if outdated(f) {
			f.notify()
		}
	}
}

// merge merges a record and marks it for the followers; the caller holds the lock.
func (h *hub) merge(b fleet.BackendServer, source string) directory.Change {
	change := h.servers.Merge(b)
	switch change {
	case directory.Changed:
		h.log.Info().Str("server", b.ID).Int64("born", b.StartUnixMs).Str("service", b.Service).Str("addr", b.Addr).Str("zone", b.Zone).
			Stringer("state", b.State).Uint64("seq", b.Seq).Str("source", source).Msg("backend server changed")
		for f := range h.followers {
			if !f.wantsServer(b.State) {
				continue
			}
			f.changed[b.ID] = true
			if b.State != fleet.StateReady {
				f.notifyUrgent()
			} else {
				f.notify()
			}
		}
	case directory.Renewed:
		h.markRenewed(b.ID, false)
	}
	return change
}

// announce merges an announcement and, if the server leaves, waits until the
// followers have acknowledged it.
func (h *hub) announce(ctx context.Context, b fleet.BackendServer) error {
	h.mu.Lock()
	change := h.merge(b, "announcement")
	if change != directory.Changed || b.State == fleet.StateReady {
		h.mu.Unlock()
		return nil
	}
	var pending sync.WaitGroup
	for f := range h.followers {
		pending.Add(1)
		f.waiters = append(f.waiters, &waiter{id: b.ID, pending: &pending})
	}
	h.mu.Unlock()
	done := make(chan struct{})
	go func() {
		pending.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(leaveTimeout):
		h.log.Warn().Str("server", b.ID).Msg("not all followers have acknowledged that the server leaves")
	case <-ctx.Done():
	}
	return nil
}

// mergePeerUpdate merges an update of another control server, dated at.
func (h *hub) mergePeerUpdate(source string, u *rpc.FleetUpdate, at follow.Anchor) {
	if len(u.Suspicions) > 0 {
		h.mergeSuspicions(follow.SuspicionsFromProto(u.Suspicions, clock.Now()))
	}
	if len(u.Signals) > 0 {
		h.mergeSignals(follow.SignalsFromProto(u.Signals, clock.Now()))
	}
	h.mergeNamings(u.Versions, at)
	h.evidence.heard(source, u.Versions, at)
	for _, r := range u.Reports {
		h.mergeReportAt(r, clock.Now().Add(-time.Duration(u.ReportsAgeMs)*time.Millisecond), true)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Now()
	for _, s := range u.Servers {
		h.merge(follow.ServerFromProto(s, now), source)
	}
	for _, s := range u.Seen {
		if h.servers.Renew(s.Id, s.Born, s.Seq, follow.SeenAt(s, now)) == directory.Renewed {
			h.markRenewed(s.Id, true)
		}
	}
}

// peerUnchanged records that another control server had told all namings that it knew at a time.
func (h *hub) peerUnchanged(source string, at follow.Anchor) { h.evidence.heard(source, nil, at) }

// mergeNamings merges namings that a control server or a follower knows.
func (h *hub) mergeNamings(versions []*rpc.ModelVersion, at follow.Anchor) {
	for _, m := range versions {
		h.ledger.MergeNaming(m.Model, ledger.NamingFromProto(m, at.AsOf, at.Echoed))
	}
}
