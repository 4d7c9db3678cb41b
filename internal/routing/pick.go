package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Rand is the source of random numbers of a pick, seeded by its owner.
type Rand = *rand.Rand

// Request is what a pick depends on.
type Request struct {
	Service string
	// Model is empty for plain services.
	Model string
	// Version pins the request; if empty any live one is picked.
	Version string
	// Prefix is the hash of the prompt's prefix; 0 for none.
	Prefix uint64
	// Zone of the entry; the table's own if empty.
	Zone string
	// Whole is passed on to Dispatched.
	Whole bool
	// Excluded VMs are not picked, as after a failed try.
	Excluded []string
}

// Choice is the backend server a request goes to.
type Choice struct {
	VM          string
	Addr        string
	Incarnation uint64
	// Version is what the request is pinned to; empty for plain services.
	Version string
	Ground  Ground
	// LastResort is true when only backend servers that are set aside are
	// live.
	LastResort bool
}

// Reason says why no backend server was picked.
type Reason string

// The reasons; Picked is the zero value.
const (
	Picked Reason = ""
	// ReasonNoneAnnounced: no backend server announced the service.
	ReasonNoneAnnounced Reason = "no backend server announced"
	// ReasonNoneHeard: the watched ones are silent.
	ReasonNoneHeard Reason = "no backend server heard from"
	// ReasonNoneLive: the model or version is live on none.
	ReasonNoneLive Reason = "none live on the version"
	// ReasonAllLeaving: all of them are leaving.
	ReasonAllLeaving Reason = "all leaving"
	// ReasonAllExcluded: the request has tried all of them.
	ReasonAllExcluded Reason = "all excluded"
	// ReasonAllAside: those the request has not tried are set aside.
	ReasonAllAside Reason = "all set aside"
	// ReasonFull: all have as many requests as they run at once.
	ReasonFull Reason = "full"
)

// tally sorts a service's backend servers for one pick.
type tally struct {
	leaving, silent, notLive, excluded int
	usable, aside                      []*ServerView
}

// Pick chooses a backend server for a request. It changes nothing: the caller
// reports a dispatch with Dispatched.
func (v *View) Pick(now time.Time, req Request, rng Rand) (Choice, Reason) {
	if req.Zone == "" {
		req.Zone = v.cfg.Zone
	}
	t := v.tally(now, req)
	servers, reason := t.servers(v.announced[req.Service])
	if reason != Picked {
		return Choice{}, reason
	}
	lastResort := len(t.usable) == 0
	servers = v.withRoom(now, req, servers)
	if len(servers) == 0 {
		return Choice{}, ReasonFull
	}
	c := &Candidates{Request: req, Servers: servers, Now: now, region: v.region, cfg: v.cfg}
	s, ground := v.cfg.Policy.Choose(c, rng)
	return Choice{
		VM:          s.VM,
		Addr:        s.Addr,
		Incarnation: s.Incarnation,
		Version:     v.versionOn(s, req),
		Ground:      ground,
		LastResort:  lastResort,
	}, Picked
}

func (v *View) tally(now time.Time, req Request) *tally {
	servers := v.services[req.Service]
	t := &tally{usable: make([]*ServerView, 0, len(servers))}
	for _, s := range servers {
		switch {
		case s.leaving:
			t.leaving++
		case !s.reachable(now):
			t.silent++
		case !s.servesRequest(req):
			t.notLive++
		case slices.Contains(req.Excluded, s.VM):
			t.excluded++
		case s.phase == phaseAside:
			t.aside = append(t.aside, s)
		default:
			t.usable = append(t.usable, s)
		}
	}
	t.usable = withoutSuspects(t.usable)
	return t
}

// withoutSuspects leaves out those whose watch broke, if others are left.
func withoutSuspects(servers []*ServerView) []*ServerView {
	isSuspect := func(s *ServerView) bool { return s.suspect }
	if !slices.ContainsFunc(servers, isSuspect) {
		return servers
	}
	sure := slices.DeleteFunc(slices.Clone(servers), isSuspect)
	if len(sure) == 0 {
		return servers
	}
	return sure
}

func (s *ServerView) servesRequest(req Request) bool {
	if req.Model == "" {
		return true
	}
	if req.Version != "" {
		return s.serves(Version{req.Model, req.Version})
	}
	for _, have := range s.live {
		if have.Model == req.Model {
			return true
		}
	}
	return false
}

// servers returns those to choose from, or why there are none. Ones set
// aside are used only where nothing else is live at all.
func (t *tally) servers(announced int) ([]*ServerView, Reason) {
	switch {
	case len(t.usable) > 0:
		return t.usable, Picked
	case len(t.aside) > 0 && t.excluded == 0:
		return t.aside, Picked
	case len(t.aside) > 0:
		return nil, ReasonAllAside
	case t.excluded > 0:
		return nil, ReasonAllExcluded
	case t.notLive > 0:
		return nil, ReasonNoneLive
	case t.silent > 0:
		return nil, ReasonNoneHeard
	case announced == 0:
		return nil, ReasonNoneAnnounced
	case t.leaving == announced:
		return nil, ReasonAllLeaving
	default:
		return nil, ReasonNoneHeard
	}
}

// withRoom narrows to backend servers with a free slot; without a pinned
// version those on a version that rules ask for come first.
func (v *View) withRoom(now time.Time, req Request, servers []*ServerView) []*ServerView {
	asked := make([]*ServerView, 0, len(servers))
	var other []*ServerView
	pinned := req.Model == "" || req.Version != ""
	for _, s := range servers {
		switch {
		case s.full(now):
		case pinned || v.preferred[Version{req.Model, v.versionOn(s, req)}]:
			asked = append(asked, s)
		default:
			other = append(other, s)
		}
	}
	if len(asked) == 0 {
		return other
	}
	return asked
}

// versionOn is the version a request would be pinned to on a backend server.
func (v *View) versionOn(s *ServerView, req Request) string {
	if req.Model == "" || req.Version != "" {
		return req.Version
	}
	version := ""
	for _, have := range s.live {
		if have.Model != req.Model {
			continue
		}
		if v.preferred[have] {
			return have.Version
		}
		version = have.Version
	}
	return version
}

// Room is how much a service can take, as this entry sees it.
type Room struct {
	// Servers counts the backend servers that may be picked.
	Servers int
	// Slots is their concurrency, Own what this entry uses of it.
	Slots int
	Own   int
	// Free is what is left of it, which other entries see as well. Below 0 it
	// is this entry's part of what the backend servers have too much.
	Free int
}

// Room sums over what a request might be sent to, ones set aside only where
// Pick would take them too. Warming ones count with their share. What is taken
// is counted by this entry and the agents: the load that backend servers report
// is late, and would count this entry's own requests of a moment ago as those
// of others.
func (v *View) Room(now time.Time, req Request) Room {
	var room Room
	over := 0.0
	servers, _ := v.tally(now, req).servers(v.announced[req.Service])
	for _, s := range servers {
		slots := s.share(now) * s.slots()
		room.Servers++
		room.Own += int(s.count.inFlight.Load())
		room.Slots += int(slots)
		left := slots - s.counted(now)
		if left >= 0 {
			room.Free += int(math.Round(left))
			continue
		}
		over += left * float64(s.count.inFlight.Load()) / s.counted(now)
	}
	room.Free += int(math.Round(over))
	return room
}
