package balance

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lynxgate.dev/lynxgate/internal/backpressure"
	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/follow"
)

const (
	// perQueued is what one more request at a server counts beside its slots: it
	// slows the others, and its prompt may be read first.
	perQueued = 20 * time.Millisecond
	// farPenalty is by how much a server of another zone has to be better to be
	// preferred: bytes between zones are paid for.
	farPenalty = 25 * time.Millisecond
	// foreignPenalty is by how much a server that another entry owns has to be
	// better: what that entry has just sent there is not known here yet, some ten requests
	// by their cost of perQueued.
	foreignPenalty = 200 * time.Millisecond
	// perFailure is what a share of failures of 1 counts.
	perFailure = 300 * time.Millisecond
	// silentPenalty and stalePenalty put servers last.
	silentPenalty = 2 * time.Second
	stalePenalty  = 4 * time.Second
	// tieBreak is drawn, so that not all entries take the first of equals.
	tieBreak = 3 * time.Millisecond
	// freeEntries is up to how many entries each one looks at all servers. With
	// more, each looks at drawnServers beside its own: entries that see the same
	// reports would else send to the same server until the next one.
	freeEntries  = 4
	drawnServers = 6
	// wholeQueue is how many requests per slot a plain service is sent, whose work
	// is short.
	wholeQueue = 3
	// staleAfter is after how long without an announcement a server is used only
	// if no other is left: three heartbeats of 1.2 s that come late.
	staleAfter = 5 * time.Second
	// lostAfter is after how long without an announcement a server is not used.
	lostAfter = 30 * time.Second
	// connShare is the share of a server's connections that all entries together
	// open.
	connShare = 0.85
	// minConns is the least number of connections of one entry to a server.
	minConns = 4
	// versionMargin is how long before the bound on old weights entries stop to
	// send to servers that have not told that they hold the new ones: what is sent
	// waits on its link and for its turn, for most of a second on a narrow link of which nothing is
	// known yet.
	versionMargin = 1 * time.Second
)

// Config says how to choose.
type Config struct {
	// Name and Zone of this entry.
	Name string
	Zone string
	// VersionBound is after how long from the naming of a version requests may no
	// longer begin on an older one.
	VersionBound time.Duration
	Logger       zerolog.Logger
}

// Balancer chooses backend servers. It is safe for concurrent use.
type Balancer struct {
	cfg Config

	mu      sync.Mutex
	servers map[string]*Server
	// services holds the servers by service that have not left.
	services map[string][]*Server
	view     *follow.View
	// unseen is, by service, what is at servers of other entries beside what is known.
	unseen map[string]*unseen
	// outages are, by service, what was seen of servers that load.
	outages map[string]*outage
	// stated is by start of a server, peers are the entries that limits are shared with.
	signals map[string]*signals
	peers   peers
	// tellSignals is called, without the lock, with what other entries are to be told.
	tellSignals func([]backpressure.News)
	// freed is called, without the lock, when a server may have got room.
	freed func()
}

// New returns a balancer that knows no servers.
func New(cfg Config) *Balancer {
	return &Balancer{cfg: cfg, servers: map[string]*Server{}, services: map[string][]*Server{}, view: &follow.View{}, unseen: map[string]*unseen{}, outages: map[string]*outage{}, signals: map[string]*signals{}, tellSignals: func([]backpressure.News) {}, freed: func() {}}
}

// OnRoom sets what is called when a server may have got room. Call it before any other
// goroutine uses the balancer.
func (b *Balancer) OnRoom(freed func()) { b.freed = freed }

// SetView takes over a new view of the fleet.
func (b *Balancer) SetView(v *follow.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view = v
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
			s.Pool.Close()
			delete(b.servers, id)
		}
	}
	b.linkRivals()
	for _, servers := range b.services {
		b.shareOut(servers)
	}
}

func (b *Balancer) setRecord(service string, record *fleet.BackendServer) {
	s := b.servers[record.ID]
	if s != nil && s.record.Born != 0 && record.Born > s.record.Born {
		b.startedAgain(s, record.Born)
		s = nil
	}
	if s == nil {
		said := b.signalsOf(record.Start(), record.SeenAt)
		said.id = record.ID
		s = newServer(record, said)
		b.servers[record.ID] = s
	}
	s.record = record
	if record.SeenAt.After(s.seenAt) {
		s.seenAt = record.SeenAt
	}
	s.near = record.Zone == b.cfg.Zone
	if t := b.view.Table; t != nil {
		if declared := t.Service(service); declared != nil {
			s.engine = declared.Engine
			s.Pool.SetMax(max(minConns, int(connShare*float64(declared.MaxConns))/b.view.EntryCount()))
		}
	}
	if record.State != fleet.StateReady || s.retired || !s.signals.leavingAt.IsZero() {
		s.Pool.Close()
		return
	}
	b.services[service] = append(b.services[service], s)
}

// VersionLeft returns for how long requests may still begin on a version of a model's
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

// Heard notes that bytes came from a server.
func (b *Balancer) Heard(s *Server, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.health.heardAt = now
}

// Silent tells whether requests wait at a server and nothing comes from it.
func (b *Balancer) Silent(s *Server, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return s.silent(now)
}

// Told takes a server's report of its load.
func (b *Balancer) Told(s *Server, now time.Time, running, waiting int) {
	defer b.freed()
	b.mu.Lock()
	defer b.mu.Unlock()
	s.load = load{known: true, running: running, waiting: waiting, at: now, ownThen: s.inFlight}
}

// Report is what the agent beside a backend server tells of it.
type Report struct {
	// Addr is the server's; Born is of the start that is told of, 0 if not known.
	Addr string
	Born int64
	// Loading servers take no new requests.
	Loading bool
	Models  []fleet.Loaded
	// Running and Waiting are the requests there.
	Running, Waiting int
}

// Reported takes an agent's report.
func (b *Balancer) Reported(now time.Time, r Report) {
	defer b.freed()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.servers {
		if s.Addr != r.Addr || s.retired || s.record.State == fleet.StateGone || s.replaced() {
			continue
		}
		if born := s.record.Born; born != 0 && r.Born != 0 && r.Born != born {
			if r.Born > born {
				b.startedAgain(s, r.Born)
			}
			continue
		}
		since := s.agent.loadingSince
		if !r.Loading || !s.agent.loading {
			since = now
		}
		s.agent = agentReport{at: now, loading: r.Loading, loadingSince: since, models: r.Models}
		s.load = load{known: true, running: r.Running, waiting: r.Waiting, at: now, ownThen: s.inFlight}
	}
}

// Leaving tells whether a server has said that it leaves: its end is its own doing.
func (b *Balancer) Leaving(s *Server) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return s.record.State != fleet.StateReady || !s.signals.leavingAt.IsZero()
}

// Renewed notes that a server was heard.
func (b *Balancer) Renewed(id string, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[id]; s != nil && at.After(s.seenAt) {
		s.seenAt = at
	}
}

// LoadingSince tells whether a server has been about to load for at least d.
func (b *Balancer) LoadingSince(s *Server, now time.Time, d time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return s.loading(now) && now.Sub(s.agent.loadingSince) >= d
}

// busyPause is for how long a server that refused is spared, while its reports
// may still lag.
const busyPause = 150 * time.Millisecond

// Ending is how a send ended, as far as it tells of the server.
type Ending uint8

// The endings.
const (
	// EndedWell: the server answered.
	EndedWell Ending = iota
	// EndedBusy: it refused for want of room.
	EndedBusy
	// EndedFailed: it, or the way to it, failed.
	EndedFailed
	// EndedGone: another server has its address.
	EndedGone
	// EndedSilent: nothing came from it, for this request and others.
	EndedSilent
	// EndedElse: nothing is known; the caller left, or time was up.
	EndedElse
)

// Done ends a send.
func (b *Balancer) Done(c *Choice, now time.Time, ending Ending) {
	defer b.freed()
	b.mu.Lock()
	defer b.mu.Unlock()
	s := c.Server
	s.inFlight--
	s.pendingRead -= c.Read
	c.Read = 0
	b.endTrial(c)
	switch ending {
	case EndedWell:
		if s.health.succeeded() {
			b.cfg.Logger.Info().Str("server", s.ID).Msg("backend server is back")
		}
	case EndedBusy:
		b.learnUnseen(c, now, true)
		s.busyUntil = now.Add(busyPause)
	case EndedFailed, EndedSilent:
		if ending == EndedSilent && s.engine != nil {
			s.excess.atLeast(now, silentExcess)
		}
		if s.health.failed(now) || (ending == EndedSilent && s.health.setAsideOnce(now)) {
			b.cfg.Logger.Warn().Str("server", s.ID).Str("addr", s.Addr).Dur("for", s.health.aside).
				Float64("failures", s.health.failures).Msg("backend server set aside")
		}
	case EndedGone:
		b.retire(s)
	}
}

// DirectoryAge returns, by service, how long ago the backend server that was heard
// longest ago was heard, of those that have not left.
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

// Refresh closes connections that were idle for too long, and forgets what no longer counts.
func (b *Balancer) Refresh(now time.Time) {
	b.mu.Lock()
	for _, s := range b.servers {
		s.Pool.CloseStale(now)
	}
	news := b.refreshSignals(now)
	b.mu.Unlock()
	if len(news) > 0 {
		b.tellSignals(news)
	}
}

// InFlight returns how many sends have not ended.
func (b *Balancer) InFlight() (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.servers {
		n += s.inFlight
	}
	return n
}

// Dialled returns how many connections to backend servers were made.
func (b *Balancer) Dialled() (n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.servers {
		n += s.Pool.Dialled.Load()
	}
	return n
}
