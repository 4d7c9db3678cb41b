package balance

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lynxgate.dev/lynxgate/internal/backpressure"
	"lynxgate.dev/lynxgate/internal/dispatch"
	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/follow"
)

const (
	// queuedPenalty is the cost of each request at a server, whether it runs or waits there. It slows
	// the others, and its prompt may be read first.
	queuedPenalty = 20 * time.Millisecond
	// otherZonePenalty is by how much a server of another zone has to be better to be
	// preferred. The reason is that traffic between zones is paid for.
	otherZonePenalty = 25 * time.Millisecond
	// otherOwnerPenalty is by how much a server that this entry does not own has to be better to
	// be preferred. The requests that its owner has just sent there are not known here yet: the
	// penalty stands for some ten of them, at queuedPenalty each.
	otherOwnerPenalty = 200 * time.Millisecond
	// heldPenalty is the cost of each MiB of bodies that this entry has sent to a server whose answers
	// have not ended: a server crashes when it holds more than its memory.
	heldPenalty = 20 * time.Millisecond
	// failurePenalty is the cost of a failure share of 1.
	failurePenalty = 300 * time.Millisecond
	// silentPenalty and stalePenalty rank servers last.
	silentPenalty = 2 * time.Second
	stalePenalty  = 4 * time.Second
	// maxTieBreak bounds a random cost, so that not all entries choose the first of equal servers.
	maxTieBreak = 3 * time.Millisecond
	// fullScanEntries is the number of entries up to which each evaluates all servers. With
	// more, each evaluates sampledServers besides its own: entries that see the same
	// reports would otherwise all choose the same server until the next one.
	fullScanEntries = 4
	sampledServers  = 6
	// plainQueuePerSlot is how many requests per slot a plain service may have, whose
	// requests are short.
	plainQueuePerSlot = 3
	// staleAfter is the time without an announcement after which a server is used only
	// if no other is available: three late heartbeats of 1.2 s.
	staleAfter = 5 * time.Second
	// lostAfter is the time without an announcement after which a server is not used.
	lostAfter = 30 * time.Second
	// connShare is the share of a server's connections that all entries together may
	// open.
	connShare = 0.85
	// minConns is the minimum of an entry's connections to a server.
	minConns = 4
	// versionMargin is how long before the bound on old weights entries stop sending to
	// servers that have not announced the new ones: a request waits on the server's link and
	// in its queue, for most of a second on a narrow link of unknown speed.
	versionMargin = 1 * time.Second
)

// Config configures a Balancer.
type Config struct {
	// Name and Zone of this entry.
	Name string
	Zone string
	// RegionOf returns the region of a zone, empty if it is not known. If it is nil, no region is.
	RegionOf func(zone string) string
	// VersionBound is the time after the naming of a version from which on requests may no
	// longer begin on an older one.
	VersionBound time.Duration
	// ConfirmedAt returns as of when all namings of versions are known (follow.Client.ConfirmedAt), zero if that is not known. It may be
	// nil.
	ConfirmedAt func() time.Time
	// RelayAddr returns the address at which the agent on a server's VM relays requests to it; nil if none does.
	RelayAddr func(serverAddr string) string
	// A cold server gets at most ColdOverage times its cold rate plus ColdSlack requests in any second
	// from all entries together. A ColdOverage of 0 stands for 1.
	ColdOverage, ColdSlack float64
	Logger                 zerolog.Logger
}

// Balancer chooses backend servers. It is safe for concurrent use.
type Balancer struct {
	cfg Config

	mu      sync.Mutex
	servers map[string]*Server
	// services holds the available servers by service.
	services map[string][]*Server
	view     *follow.View
	// unseen estimates, by service, the unreported requests at servers that other entries own.
	unseen map[string]*unseen
	// loadingPhases are, by service, the last observations of loading servers.
	loadingPhases map[string]*loadingPhase
	// sharedHosts are the services of which a server has sent a load percentage.
	sharedHosts map[string]bool
	// signals is keyed by incarnation; peers are the entries that share limits.
	signals map[string]*signals
	peers   peers
	// peersView is the view as of which peers are known.
	peersView *follow.View
	// reports is what the reports of agents tell, by service.
	reports  map[string]*reports
	activity activity
	// firstChoice is when this entry chose its first server.
	firstChoice time.Time
	// publishSignals is called, without the lock, with updates for other entries.
	publishSignals func([]backpressure.Update)
	// slotFreed is called, without the lock, when a server may have a free slot.
	slotFreed func()
	// sendProbe is nil if engines are not probed.
	sendProbe func(*Server)
}

// New returns a balancer without servers.
func New(cfg Config) *Balancer {
	return &Balancer{cfg: cfg, reports: map[string]*reports{}, servers: map[string]*Server{}, services: map[string][]*Server{}, view: &follow.View{}, unseen: map[string]*unseen{}, loadingPhases: map[string]*loadingPhase{}, sharedHosts: map[string]bool{}, signals: map[string]*signals{}, publishSignals: func([]backpressure.Update) {}, slotFreed: func() {}}
}

// OnSlotFreed sets the callback for servers that may have a free slot. Call it before any other
// goroutine uses the balancer.
func (b *Balancer) OnSlotFreed(freed func()) { b.slotFreed = freed }

// SetView applies a new view of the fleet.
func (b *Balancer) SetView(v *follow.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view = v
	b.keepDeclaredHosts()
	b.services = map[string][]*Server{}
	listed := map[string]bool{}
	for service, records := range v.Servers {
		for _, record := range records {
			listed[record.ID] = true
			b.setRecord(service, record)
		}
	}
	for id, s := range b.servers {
		if !listed[id] {
			s.closePools()
			delete(b.servers, id)
		}
	}
	b.linkSameAddress()
	for _, servers := range b.services {
		b.assignOwners(servers)
	}
}

func (b *Balancer) setRecord(service string, record *fleet.BackendServer) {
	s := b.servers[record.ID]
	if s != nil && s.record.StartUnixMs != 0 && record.StartUnixMs > s.record.StartUnixMs {
		b.retireIncarnation(s, record.StartUnixMs)
		s = nil
	}
	if s == nil {
		sig := b.signalsOf(record.Incarnation(), record.SeenAt)
		sig.id = record.ID
		s = newServer(record, sig)
		if b.relays() {
			s.relay = dispatch.NewPool(b.cfg.RelayAddr(record.Addr))
			dispatch.ShareLimit(s.Pool, s.relay) // the agent opens a connection to the server for each
		}
		b.servers[record.ID] = s
	}
	s.record = record
	if record.SeenAt.After(s.seenAt) {
		s.seenAt = record.SeenAt
	}
	s.sameZone = record.Zone == b.cfg.Zone
	s.region = b.regionOf(record.Zone)
	if t := b.view.Table; t != nil {
		if declared := t.Service(service); declared != nil {
			s.engine = declared.Engine
			s.coldStart, s.coldRate = declared.ColdStart, b.coldRate(declared.ColdRate)
			s.setMaxConns(max(minConns, int(connShare*float64(declared.MaxConns))/b.view.EntryCount()))
		}
	}
	if record.State != fleet.StateReady || s.retired || !s.signals.leavingAt.IsZero() {
		s.closePools()
		return
	}
	b.services[service] = append(b.services[service], s)
}

func (b *Balancer) regionOf(zone string) string {
	if b.cfg.RegionOf == nil {
		return ""
	}
	return b.cfg.RegionOf(zone)
}

// VersionLeft returns how long requests may still begin on a version of a model's
// weights; false if no newer one was named.
func (b *Balancer) VersionLeft(model string, version uint64, now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	named := b.view.Versions[model].NamedAfter(version)
	if version == 0 || named.IsZero() {
		return 0, false
	}
	return named.Add(b.cfg.VersionBound).Sub(now), true
}

// NamingHeard returns how this entry heard of the newest version of a model's weights; false if it has not.
func (b *Balancer) NamingHeard(model string) (follow.Heard, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	heard, ok := b.view.Heard[model]
	return heard, ok
}

// BytesReceived records that bytes were received from a server.
func (b *Balancer) BytesReceived(s *Server, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.activity.note(now)
	s.health.lastByteAt = now
}

// Silent reports whether requests are waiting at a server that sends nothing.
func (b *Balancer) Silent(s *Server, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return s.silent(now)
}

// LoadReported applies a server's report of its load; percent is 0 if the report has no load percentage.
func (b *Balancer) LoadReported(s *Server, now time.Time, running, waiting, percent int) {
	defer b.slotFreed()
	b.mu.Lock()
	defer b.mu.Unlock()
	s.load = load{known: true, running: running, waiting: waiting, at: now, ownInFlight: s.inFlight}
	b.notePercent(s, now, percent)
}

// Report is a report of the agent beside a backend server.
type Report struct {
	// Addr is the server's; StartUnixMs identifies its incarnation, 0 if not known.
	Addr        string
	StartUnixMs int64
	// Loading servers accept no new requests.
	Loading bool
	Models  []fleet.Loaded
	// Running and Waiting count the requests at the server.
	Running, Waiting int
	// Pace is how many times as long as usual the server's work takes, 0 if not reported.
	Pace float64
	// Relays: the agent relays requests to the server; those of earlier builds do not.
	Relays bool
	// Age is for how long control servers have had the report.
	Age time.Duration
}

// Reported applies an agent's report.
func (b *Balancer) Reported(now time.Time, r Report) {
	defer b.slotFreed()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.activity.note(now)
	for _, s := range b.servers {
		if s.Addr != r.Addr || s.retired || s.record.State == fleet.StateGone || s.replaced() {
			continue
		}
		if born := s.record.StartUnixMs; born != 0 && r.StartUnixMs != 0 && r.StartUnixMs != born {
			if r.StartUnixMs > born {
				b.retireIncarnation(s, r.StartUnixMs)
			}
			continue
		}
		since := s.agent.loadingSince
		if !r.Loading || !s.agent.loading {
			since = now
		}
		s.agent = agentReport{at: now, madeAt: now.Add(-r.Age), resumedAt: s.agent.resumption(now, r.Age, len(b.services[s.record.Service])), loading: r.Loading, loadingSince: since, models: r.Models, pace: r.Pace, relays: r.Relays}
		if now.Sub(s.load.decidedAt) >= reportDelay {
			s.load = load{known: true, running: r.Running, waiting: r.Waiting, at: now, ownInFlight: s.inFlight}
		}
	}
}

// Leaving reports whether a server has announced that it leaves, so that its stop is no crash.
func (b *Balancer) Leaving(s *Server) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return s.record.State != fleet.StateReady || !s.signals.leavingAt.IsZero()
}

// Announced records the time of a server's announcement.
func (b *Balancer) Announced(id string, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[id]; s != nil && at.After(s.seenAt) {
		s.seenAt = at
	}
}

// LoadingSince reports whether a server has been preparing to load for at least d.
func (b *Balancer) LoadingSince(s *Server, now time.Time, d time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return s.loading(now) && now.Sub(s.agent.loadingSince) >= d
}

// busyBackoff is how long a server that refused a request is not chosen; its reports may
// lag for that long.
const busyBackoff = 150 * time.Millisecond

// Result is how an attempt ended, as far as it concerns the server.
type Result uint8

// The results.
const (
	// ResultSucceeded: the server answered.
	ResultSucceeded Result = iota
	// ResultBusy: it did not run the request, mostly for lack of a free slot, or this entry may
	// open no further connection to it.
	ResultBusy
	// ResultFailed: the server or the connection to it failed.
	ResultFailed
	// ResultReplaced: another server has its address.
	ResultReplaced
	// ResultSilent: nothing came from it, neither for this request nor for others.
	ResultSilent
	// ResultForeign: something that is no backend server answered at its address.
	ResultForeign
	// ResultTimedOut: it answered that the request's deadline has passed. It may hang, or be overloaded.
	ResultTimedOut
	// ResultUnknown: nothing is known about the server; the caller left, or the deadline passed.
	ResultUnknown
)

// Done ends an attempt.
func (b *Balancer) Done(c *Choice, now time.Time, result Result) {
	if c.OnDone != nil {
		c.OnDone()
		c.OnDone = nil
	}
	defer b.slotFreed()
	b.mu.Lock()
	defer b.mu.Unlock()
	s := c.Server
	s.inFlight--
	if !c.begun {
		s.unanswered--
	}
	s.pendingRead -= c.Read
	c.Read = 0
	s.heldBytes -= c.bytes
	c.bytes = 0
	b.endProbe(c)
	switch result {
	case ResultSucceeded:
		if s.health.succeeded() {
			b.cfg.Logger.Info().Str("server", s.ID).Msg("backend server recovered after its ejection")
		}
	case ResultBusy:
		b.learnUnseen(c, now, true)
		s.busyUntil = now.Add(busyBackoff)
	case ResultFailed, ResultSilent, ResultForeign:
		if result == ResultSilent && s.engine != nil {
			s.excess.raiseTo(now, silentExcess)
		}
		if s.health.failed(now) || (result != ResultFailed && s.health.ejectOnce(now)) {
			b.cfg.Logger.Warn().Str("server", s.ID).Str("addr", s.Addr).Dur("for", s.health.ejectionTime).
				Float64("failures", s.health.failures).Msg("backend server set aside")
		}
	case ResultTimedOut:
		s.health.timedOut()
	case ResultReplaced:
		b.retire(s)
	}
}

// DirectoryAge returns, by service, the age of the oldest of the latest announcements of the
// available servers.
func (b *Balancer) DirectoryAge(now time.Time) map[string]time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	ages := make(map[string]time.Duration, len(b.services))
	for service, servers := range b.services {
		for _, s := range servers {
			if s.replaced() {
				continue
			}
			ages[service] = max(ages[service], now.Sub(s.seenAt))
		}
	}
	return ages
}

// Refresh closes connections that were idle for too long, and drops expired signals.
func (b *Balancer) Refresh(now time.Time) {
	b.mu.Lock()
	for _, s := range b.servers {
		s.closeStale(now)
	}
	updates := b.refreshSignals(now)
	b.mu.Unlock()
	if len(updates) > 0 {
		b.publishSignals(updates)
	}
}

// InFlight returns the number of attempts in flight.
func (b *Balancer) InFlight() (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.servers {
		n += s.inFlight
	}
	return n
}

// Dialled returns how many connections to backend servers were opened.
func (b *Balancer) Dialled() (n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.servers {
		n += s.dials()
	}
	return n
}
