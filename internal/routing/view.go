package routing

import (
	"slices"
	"time"

	"lynxgate.dev/lynxgate/internal/inventory"
)

// View is an immutable snapshot of a table, except for the counts of requests in
// flight, which it shares with the table.
type View struct {
	cfg    *Config
	region string
	// services holds the backend servers that are watched or leaving.
	services map[string][]*ServerView
	// announced counts all backend servers that announced a service.
	announced map[string]int
	preferred map[Version]bool
}

// ServerView is one backend server in a view.
type ServerView struct {
	VM     string
	Zone   string
	Region string
	Addr   string
	// Incarnation of the agent whose state this is.
	Incarnation uint64

	hash           uint64
	count          *counters
	live           []Version
	warmUpStart    time.Time
	leaving        bool
	connectionLost bool
	lastHeartbeat  time.Time
	reportedLoad   loadEstimate
	hints          hintSet
	phase          healthPhase
	probeShare     float64
	// slowness is the first-token time divided by the peers' median, bounded.
	slowness    float64
	concurrency int
	cfg         *Config
}

// View returns the current snapshot.
func (t *Table) View() *View {
	if t.view != nil {
		return t.view
	}
	v := &View{
		cfg:       &t.cfg,
		region:    t.regions[t.cfg.Zone],
		services:  map[string][]*ServerView{},
		announced: map[string]int{},
		preferred: t.preferred,
	}
	for name, servers := range t.byService {
		v.announced[name] = len(servers)
		for _, s := range servers {
			if s.watched || s.member.State == inventory.MemberLeaving {
				v.services[name] = append(v.services[name], t.viewOf(s))
			}
		}
	}
	t.view = v
	return v
}

func (t *Table) viewOf(s *server) *ServerView {
	return &ServerView{
		VM:             s.member.VM,
		Zone:           s.member.Zone,
		Region:         s.region,
		Addr:           s.member.Addr,
		Incarnation:    s.member.Incarnation,
		hash:           s.hash,
		count:          s.count,
		live:           s.state.Live,
		warmUpStart:    s.newestLive(),
		leaving:        s.isLeaving(),
		connectionLost: s.connectionLost,
		lastHeartbeat:  s.heartbeatWhileWatched(),
		reportedLoad:   s.load,
		hints:          s.hints,
		phase:          s.health.phase,
		probeShare:     s.health.probeShare,
		slowness:       s.slowness(t.peers[s.member.Service], &t.cfg.Outlier),
		concurrency:    t.slots(s),
		cfg:            &t.cfg,
	}
}

// heartbeatWhileWatched returns the arrival of the latest message; zero, which is
// never recent, if the backend server is not watched or its current incarnation
// has sent none.
func (s *server) heartbeatWhileWatched() time.Time {
	if !s.watched || !s.hasState {
		return time.Time{}
	}
	return s.lastHeartbeat
}

// newestLive returns when the newest of the live versions became live.
func (s *server) newestLive() time.Time {
	var last time.Time
	for _, at := range s.liveSince {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// Bounds of slowness, so that it cannot outweigh any difference in load.
const (
	minSlowness = 0.5
	maxSlowness = 4
)

func (s *server) slowness(peers peerStats, cfg *OutlierConfig) float64 {
	if cfg.Disabled || !peers.known || peers.latency <= 0 || s.health.samples < cfg.MinSamples {
		return 1
	}
	return min(max(s.health.latency/peers.latency, minSlowness), maxSlowness)
}

func (s *ServerView) slots() float64 { return float64(s.concurrency) }

// load estimates the requests at the backend server now.
func (s *ServerView) load(now time.Time) float64 {
	others := max(s.count.othersNow(now, s.cfg.LoadHalfLife), s.reportedLoad.now(now, s.cfg.LoadHalfLife))
	return float64(s.count.inFlight.Load()) + others
}

// countedLoad estimates the requests at the backend server now from this entry's
// and the agent's counts only.
func (s *ServerView) countedLoad(now time.Time) float64 {
	return float64(s.count.inFlight.Load()) + s.count.othersNow(now, s.cfg.LoadHalfLife)
}

// full reports whether one more request would only wait: this entry's requests
// fill all slots, or the requests of all entries do, with a margin since their
// count is late.
func (s *ServerView) full(now time.Time) bool {
	if float64(s.count.inFlight.Load()) >= s.slots() {
		return true
	}
	return s.countedLoad(now) >= s.cfg.FullUtilisation*s.slots()
}

// cost is the utilisation with one more request, times the slowness. The backend
// server with the lower cost is preferred.
func (s *ServerView) cost(now time.Time) float64 {
	return (s.load(now) + 1) / s.slots() * s.slowness
}

// share is the fraction of its usual requests that a backend server gets now.
func (s *ServerView) share(now time.Time) float64 {
	if s.phase == phaseProbing {
		return s.probeShare
	}
	return warmUpShare(now, s.warmUpStart, s.cfg)
}

// reachable reports whether its agent has sent a message recently.
func (s *ServerView) reachable(now time.Time) bool {
	return !s.lastHeartbeat.IsZero() && now.Sub(s.lastHeartbeat) < s.cfg.HeartbeatTimeout
}

func (s *ServerView) serves(v Version) bool { return slices.Contains(s.live, v) }

// Silent returns the VMs of the watched backend servers whose latest message is
// older than HeartbeatTimeout.
func (v *View) Silent(now time.Time) []string {
	var silent []string
	for _, servers := range v.services {
		for _, s := range servers {
			if !s.lastHeartbeat.IsZero() && !s.reachable(now) {
				silent = append(silent, s.VM)
			}
		}
	}
	return silent
}
