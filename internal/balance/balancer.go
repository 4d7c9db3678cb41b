package balance

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lynxgate.dev/lynxgate/internal/dispatch"
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
	// better: what that entry has just sent there is not known here yet.
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
	// waits on its link and for its turn. On a link of 0.91 Mbit/s that was 0.72 s
	// before anything was known of the link.
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
}

// New returns a balancer that knows no servers.
func New(cfg Config) *Balancer {
	return &Balancer{cfg: cfg, servers: map[string]*Server{}, services: map[string][]*Server{}, view: &follow.View{}}
}

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
	for _, servers := range b.services {
		b.shareOut(servers)
	}
}

func (b *Balancer) setRecord(service string, record *fleet.BackendServer) {
	s := b.servers[record.ID]
	if s == nil {
		s = &Server{ID: record.ID, Addr: record.Addr, Pool: dispatch.NewPool(record.Addr)}
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
	if record.State != fleet.StateReady || s.retired {
		s.Pool.Close()
		return
	}
	b.services[service] = append(b.services[service], s)
}

// Want says what a send needs.
type Want struct {
	Service string
	// Model and its layers, empty for plain services.
	Model string
	// Exclude are servers that this request was sent to already.
	Exclude []*Server
	// Version is the version of weights that the request has begun on, 0 if none.
	Version uint64
	// Read is how long an engine reads the prompt; Budget is the longest wait for
	// a slot and for the prompts before this one.
	Read   time.Duration
	Budget time.Duration
}

// Choice is the server chosen for one send.
type Choice struct {
	Server *Server
	// Version of weights that the server holds, 0 for plain services.
	Version uint64
	// Queue is the estimated number of requests there, Slots how many it runs.
	Queue float64
	Slots int
	// Wait is the predicted wait there, Read the time to read the prompt.
	Wait, Read time.Duration
	// pickedAt is when the server was chosen; begun tells that an event has come.
	pickedAt time.Time
	begun    bool
	// Told is how old the server's report of its load is, -1 if there is none.
	Told time.Duration
	// Own tells that this entry owns the server; InFlight are its own requests there.
	Own      bool
	InFlight int
}

// Room tells why servers of a service did not take a request.
type Room struct {
	// Known servers of the service, and those that fit but are too full.
	Known, Fit int
	// Tried were sent this request before; Aside failed lately or are silent in the
	// directory; Busy refused a moment ago; Loading take nothing new; Empty hold no
	// weights, Old hold a version that is over, Other one that the request can't use.
	Tried, Aside, Busy, Loading, Empty, Old, Other int
}

// Pick chooses the server with the lowest predicted wait, load and cost, and counts
// the request as in flight there until Done.
func (b *Balancer) Pick(now time.Time, w Want) (Choice, Room) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best Choice
	bestScore := time.Duration(math.MaxInt64)
	room := Room{}
	others := 0
	for _, s := range b.inOrder(w.Service) {
		if !s.own {
			if others++; others > b.sample(len(b.services[w.Service])) && best.Server != nil {
				break
			}
		}
		room.Known++
		version, fits := b.fits(now, s, w, &room)
		if !fits {
			continue
		}
		room.Fit++
		queue := s.queueLength(now, b.view.EntryCount())
		slots := s.slots()
		wait := s.predictWait(now, queue)
		if s.engine == nil && queue >= wholeQueue*float64(slots) || s.engine != nil && wait > w.Budget {
			continue
		}
		score := b.score(now, s, queue, wait)
		if score < bestScore {
			bestScore = score
			best = Choice{Server: s, Version: version, Queue: queue, Slots: slots, Wait: wait, Read: w.Read, Told: -1, pickedAt: now, Own: s.own, InFlight: s.inFlight}
			if s.load.known {
				best.Told = now.Sub(s.load.at)
			}
		}
	}
	if best.Server != nil {
		s := best.Server
		if s.inFlight == 0 {
			s.health.busySince = now
		}
		s.inFlight++
		s.pendingRead += best.Read
	}
	return best, room
}

// inOrder returns the servers of a service: the entry's own first, then the others
// in a drawn order.
func (b *Balancer) inOrder(service string) []*Server {
	servers := b.services[service]
	order := make([]*Server, 0, len(servers))
	for _, s := range servers {
		if s.own {
			order = append(order, s)
		}
	}
	for _, at := range rand.Perm(len(servers)) {
		if !servers[at].own {
			order = append(order, servers[at])
		}
	}
	return order
}

// sample is how many servers of n beside the own ones are looked at, if one of them
// fits. Two of them and six did the same as a quarter of all (0.442, 0.447 and 0.444
// of worth on one overloaded day of 72 engines, one played day each).
func (b *Balancer) sample(n int) int {
	if b.view.EntryCount() <= freeEntries {
		return n
	}
	return drawnServers
}

// predictWait predicts the wait of one more request for a slot, for the prompts
// of this entry that are to be read before its own, and by what came late before.
func (s *Server) predictWait(now time.Time, queue float64) time.Duration {
	if s.engine == nil {
		return 0
	}
	over := max(0, queue-float64(s.slots())+1)
	return s.pendingRead + time.Duration(over*float64(s.engine.PerRequest())) + s.excess.now(now)
}

// Began notes that an event of a request has come: its prompt is read.
func (b *Balancer) Began(c *Choice, now time.Time) {
	if c.begun {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c.begun = true
	if s := c.Server; s.engine != nil {
		s.excess.observe(now, now.Sub(c.pickedAt)-c.Wait-c.Read-s.engine.Pass())
	}
	c.Server.pendingRead -= c.Read
	c.Read = 0
}

// fits tells whether a server may take the request now, and its version; if not,
// it counts why.
func (b *Balancer) fits(now time.Time, s *Server, w Want, room *Room) (uint64, bool) {
	for _, tried := range w.Exclude {
		if tried == s {
			room.Tried++
			return 0, false
		}
	}
	switch {
	case s.retired || now.Sub(s.seenAt) > lostAfter || now.Before(s.health.asideUntil),
		s.health.probing && s.inFlight > 0:
		room.Aside++
		return 0, false
	case now.Before(s.busyUntil):
		room.Busy++
		return 0, false
	case w.Model == "" || s.engine == nil:
		return 0, true
	case s.loading(now):
		room.Loading++
		return 0, false
	}
	version := s.holds(now, w.Model)
	margin := versionMargin + 2*s.excess.now(now)
	switch {
	case version == 0:
		room.Empty++
	case w.Version != 0 && version != w.Version:
		room.Other++
	case version < b.view.Versions[w.Model].Floor(now, b.cfg.VersionBound-margin):
		room.Old++
	default:
		return version, true
	}
	return 0, false
}

// score orders servers, lowest first.
func (b *Balancer) score(now time.Time, s *Server, queue float64, wait time.Duration) time.Duration {
	score := wait + time.Duration(queue*float64(perQueued)) + rand.N(tieBreak)
	if !s.near {
		score += farPenalty
	}
	if s.foreign {
		score += foreignPenalty
	}
	if now.Sub(s.seenAt) > staleAfter {
		score += stalePenalty
	}
	if s.silent(now) {
		score += silentPenalty
	}
	return score + time.Duration(s.health.failures*float64(perFailure))
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
	b.mu.Lock()
	defer b.mu.Unlock()
	s.load = load{known: true, running: running, waiting: waiting, at: now, ownThen: s.inFlight}
}

// Reported takes the report of the agent beside the server at addr.
func (b *Balancer) Reported(now time.Time, addr string, loading bool, models []fleet.Loaded, running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.servers {
		if s.Addr != addr || s.retired || s.record.State == fleet.StateGone {
			continue
		}
		since := s.agent.loadingSince
		if !loading || !s.agent.loading {
			since = now
		}
		s.agent = agentReport{at: now, loading: loading, loadingSince: since, models: models}
		s.load = load{known: true, running: running, waiting: waiting, at: now, ownThen: s.inFlight}
	}
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
	b.mu.Lock()
	defer b.mu.Unlock()
	s := c.Server
	s.inFlight--
	s.pendingRead -= c.Read
	c.Read = 0
	switch ending {
	case EndedWell:
		if s.health.succeeded() {
			b.cfg.Logger.Info().Str("server", s.ID).Msg("backend server is back")
		}
	case EndedBusy:
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
		if !s.retired {
			b.cfg.Logger.Warn().Str("server", s.ID).Str("addr", s.Addr).Msg("backend server's address has another owner")
		}
		s.retired = true
		s.Pool.Close()
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
			ages[service] = max(ages[service], now.Sub(s.seenAt))
		}
	}
	return ages
}

// CloseStale closes connections that were idle for too long.
func (b *Balancer) CloseStale(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.servers {
		s.Pool.CloseStale(now)
	}
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
