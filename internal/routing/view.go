package routing

import (
	"slices"
	"time"

	"lynxgate.dev/lynxgate/internal/inventory"
)

// View is an immutable picture of a table, but for the counts of requests in
// flight, which it shares with the table.
type View struct {
	cfg    *Config
	region string
	// services holds the backend servers that are watched or leaving.
	services map[string][]*ServerView
	// announced counts all that announced a service.
	announced map[string]int
	preferred map[Version]bool
}

// ServerView is one watched backend server in a view.
type ServerView struct {
	VM     string
	Zone   string
	Region string
	Addr   string
	// Incarnation of the agent whose state this is.
	Incarnation uint64

	hash    uint64
	count   *counters
	live    []Version
	warming time.Time
	leaving bool
	suspect bool
	heard   time.Time
	estim   loadEstimate
	hints   hintSet
	phase   healthPhase
	trial   float64
	// slowness is the first-token time over the peers' median, bounded.
	slowness    float64
	concurrency int
	cfg         *Config
}

// View returns the present picture.
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
		VM:          s.member.VM,
		Zone:        s.member.Zone,
		Region:      s.region,
		Addr:        s.member.Addr,
		Incarnation: s.member.Incarnation,
		hash:        s.hash,
		count:       s.count,
		live:        s.state.Live,
		warming:     s.lastLive(),
		leaving:     s.isLeaving(),
		suspect:     s.suspect,
		heard:       s.heardWhileWatched(),
		estim:       s.load,
		hints:       s.hints,
		phase:       s.health.phase,
		trial:       s.health.share,
		slowness:    s.slowness(t.peers[s.member.Service], &t.cfg.Outlier),
		concurrency: t.slots(s),
		cfg:         &t.cfg,
	}
}

// heardWhileWatched is zero, which is never recent, without a message of the
// present incarnation.
func (s *server) heardWhileWatched() time.Time {
	if !s.watched || !s.hasState {
		return time.Time{}
	}
	return s.heard
}

// lastLive is when the newest of the live versions came to be live.
func (s *server) lastLive() time.Time {
	var last time.Time
	for _, at := range s.liveSince {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// Bounds of slowness, so that one figure cannot outweigh all load.
const (
	minSlowness = 0.5
	maxSlowness = 4
)

func (s *server) slowness(peers peerFigures, cfg *OutlierConfig) float64 {
	if cfg.Disabled || !peers.known || peers.latency <= 0 || s.health.samples < cfg.MinSamples {
		return 1
	}
	return min(max(s.health.latency/peers.latency, minSlowness), maxSlowness)
}

func (s *ServerView) slots() float64 { return float64(s.concurrency) }

// load estimates the requests on the backend server now.
func (s *ServerView) load(now time.Time) float64 {
	others := max(s.count.othersNow(now, s.cfg.LoadHalfLife), s.estim.now(now, s.cfg.LoadHalfLife))
	return float64(s.count.inFlight.Load()) + others
}

// counted is the requests on the backend server now by this entry's and the
// agent's count.
func (s *ServerView) counted(now time.Time) float64 {
	return float64(s.count.inFlight.Load()) + s.count.othersNow(now, s.cfg.LoadHalfLife)
}

// full says that a request more would only wait: this entry alone fills it,
// or the last count of all requests does, with a margin since it is late.
func (s *ServerView) full(now time.Time) bool {
	if float64(s.count.inFlight.Load()) >= s.slots() {
		return true
	}
	return s.counted(now) >= s.cfg.FullAt*s.slots()
}

// cost compares backend servers: the utilisation with one request more, times
// the slowness.
func (s *ServerView) cost(now time.Time) float64 {
	return (s.load(now) + 1) / s.slots() * s.slowness
}

// share is the part of its requests that a backend server gets now.
func (s *ServerView) share(now time.Time) float64 {
	if s.phase == phaseProbing {
		return s.trial
	}
	return warmUpShare(now, s.warming, s.cfg)
}

// reachable says whether its agent was heard of recently.
func (s *ServerView) reachable(now time.Time) bool {
	return !s.heard.IsZero() && now.Sub(s.heard) < s.cfg.HeartbeatLimit
}

func (s *ServerView) serves(v Version) bool { return slices.Contains(s.live, v) }

// Silent returns the watched backend servers that were heard of once and then
// not for the heartbeat limit.
func (v *View) Silent(now time.Time) []string {
	var silent []string
	for _, servers := range v.services {
		for _, s := range servers {
			if !s.heard.IsZero() && !s.reachable(now) {
				silent = append(silent, s.VM)
			}
		}
	}
	return silent
}
