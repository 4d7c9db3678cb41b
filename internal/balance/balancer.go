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
	// farPenalty is by how many requests in flight, as a share of the slots, a
	// server of another zone has to be less loaded to be preferred: bytes between
	// zones are paid for, and so is the wait.
	farPenalty = 0.08
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
	// send to servers that have not told that they hold the new ones.
	versionMargin = 700 * time.Millisecond
)

// Config says how to choose.
type Config struct {
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
	versions map[string]time.Time
	view     *follow.View
}

// New returns a balancer that knows no servers.
func New(cfg Config) *Balancer {
	return &Balancer{cfg: cfg, servers: map[string]*Server{}, services: map[string][]*Server{}, view: &follow.View{Entries: 1}}
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
}

func (b *Balancer) setRecord(service string, record *fleet.BackendServer) {
	s := b.servers[record.ID]
	if s == nil {
		s = &Server{ID: record.ID, Addr: record.Addr, Pool: dispatch.NewPool(record.Addr)}
		b.servers[record.ID] = s
	}
	s.record = record
	s.near = record.Zone == b.cfg.Zone
	if t := b.view.Table; t != nil {
		if declared := t.Service(service); declared != nil {
			s.engine = declared.Engine
			s.Pool.SetMax(max(minConns, int(connShare*float64(declared.MaxConns))/b.view.Entries))
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
}

// Choice is the server chosen for one send.
type Choice struct {
	Server *Server
	// Version of weights that the server holds, 0 for plain services.
	Version uint64
	// Queue is the estimated number of requests there, Slots how many it runs.
	Queue float64
	Slots int
	// Told is how old the server's report of its load is, -1 if there is none.
	Told time.Duration
}

// Room tells of the servers that could take a request when none was chosen.
type Room struct {
	// Known servers of the service, and those that hold what is wanted.
	Known, Fit int
}

// Pick chooses the server with the lowest estimated load and counts the request
// as in flight there until Done. limit is the most requests per slot that a
// server may have; 0 is no limit.
func (b *Balancer) Pick(now time.Time, w Want, limit float64) (Choice, Room) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best Choice
	bestScore := math.Inf(1)
	room := Room{}
	for _, s := range b.services[w.Service] {
		room.Known++
		version, fits := b.fits(now, s, w)
		if !fits {
			continue
		}
		room.Fit++
		queue := s.queueLength(now, b.view.Entries)
		slots := s.slots()
		if limit > 0 && queue >= limit*float64(slots) {
			continue
		}
		score := b.score(now, s, queue/float64(slots))
		if score < bestScore {
			bestScore = score
			best = Choice{Server: s, Version: version, Queue: queue, Slots: slots, Told: -1}
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
	}
	return best, room
}

// fits tells whether a server may take the request now, and its version.
func (b *Balancer) fits(now time.Time, s *Server, w Want) (uint64, bool) {
	for _, tried := range w.Exclude {
		if tried == s {
			return 0, false
		}
	}
	if s.retired || now.Sub(s.record.SeenAt) > lostAfter || now.Before(s.health.asideUntil) {
		return 0, false
	}
	if s.health.probing && s.inFlight > 0 {
		return 0, false
	}
	if now.Before(s.busyUntil) {
		return 0, false
	}
	if w.Model == "" || s.engine == nil {
		return 0, true
	}
	if s.loading(now) {
		return 0, false
	}
	version := s.holds(now, w.Model)
	if version == 0 || (w.Version != 0 && version != w.Version) {
		return 0, false
	}
	if version < b.view.Versions[w.Model].Floor(now, b.cfg.VersionBound-versionMargin) {
		return 0, false
	}
	return version, true
}

// score orders servers, lowest first.
func (b *Balancer) score(now time.Time, s *Server, load float64) float64 {
	score := load + 0.01*rand.Float64() // no herd on the first of equals
	if !s.near {
		score += farPenalty
	}
	if now.Sub(s.record.SeenAt) > staleAfter {
		score += 10
	}
	if s.health.silent(now, s.inFlight) {
		score += 5
	}
	return score + s.health.failures
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
	return s.health.silent(now, s.inFlight)
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
		s.agent = agentReport{at: now, loading: loading, models: models}
		s.load = load{known: true, running: running, waiting: waiting, at: now, ownThen: s.inFlight}
	}
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
func (b *Balancer) Done(s *Server, now time.Time, ending Ending) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.inFlight--
	switch ending {
	case EndedWell:
		if s.health.succeeded() {
			b.cfg.Logger.Info().Str("server", s.ID).Msg("backend server is back")
		}
	case EndedBusy:
		s.busyUntil = now.Add(busyPause)
	case EndedFailed, EndedSilent:
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
