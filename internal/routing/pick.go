package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Rand is the source of random numbers of a pick, seeded by the caller.
type Rand = *rand.Rand

// Request describes a request to Pick.
type Request struct {
	Service string
	// Model is empty for plain services.
	Model string
	// Version pins the request to a version; if empty, any live one will do.
	Version string
	// Prefix is the hash of the prompt's prefix; 0 for none.
	Prefix uint64
	// Zone of the entry; if empty, that of the table's Config.
	Zone string
	// Unstreamed is passed on to Dispatched.
	Unstreamed bool
	// Excluded VMs are not picked, such as those of failed attempts.
	Excluded []string
}

// Choice is the backend server a request goes to.
type Choice struct {
	VM          string
	Addr        string
	Incarnation uint64
	// Version is the version that the request is pinned to; empty for plain
	// services.
	Version    string
	SelectedBy SelectedBy
	// LastResort is true if the backend server is ejected and was picked
	// because all live ones are.
	LastResort bool
}

// Reason is why no backend server was picked.
type Reason string

// The reasons; Picked is the zero value.
const (
	Picked Reason = ""
	// ReasonNoneAnnounced: no backend server announced the service.
	ReasonNoneAnnounced Reason = "no backend server announced"
	// ReasonNoneReachable: no watched one has sent a message recently.
	ReasonNoneReachable Reason = "no backend server heard from"
	// ReasonNoneLive: the model or version is live on none.
	ReasonNoneLive Reason = "none live on the version"
	// ReasonAllLeaving: all of them are leaving.
	ReasonAllLeaving Reason = "all leaving"
	// ReasonAllExcluded: the request excludes all of them.
	ReasonAllExcluded Reason = "all excluded"
	// ReasonAllEjected: those that the request does not exclude are ejected.
	ReasonAllEjected Reason = "all set aside"
	// ReasonFull: none has a free slot.
	ReasonFull Reason = "full"
)

// tally classifies a service's backend servers for one pick.
type tally struct {
	leaving, silent, notLive, excluded int
	usable, ejected                    []*ServerView
}

// Pick chooses a backend server for a request. It modifies nothing: the caller
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
	servers = v.withFreeSlots(now, req, servers)
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
		SelectedBy:  ground,
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
		case s.phase == phaseEjected:
			t.ejected = append(t.ejected, s)
		default:
			t.usable = append(t.usable, s)
		}
	}
	t.usable = preferConnected(t.usable)
	return t
}

// preferConnected returns the backend servers whose connection is not lost, or
// all if there are none.
func preferConnected(servers []*ServerView) []*ServerView {
	isSuspect := func(s *ServerView) bool { return s.connectionLost }
	if !slices.ContainsFunc(servers, isSuspect) {
		return servers
	}
	connected := slices.DeleteFunc(slices.Clone(servers), isSuspect)
	if len(connected) == 0 {
		return servers
	}
	return connected
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

// servers returns the backend servers to choose from, or the reason why there are
// none. Ejected ones are used only if nothing else is live and the request
// excludes none.
func (t *tally) servers(announced int) ([]*ServerView, Reason) {
	switch {
	case len(t.usable) > 0:
		return t.usable, Picked
	case len(t.ejected) > 0 && t.excluded == 0:
		return t.ejected, Picked
	case len(t.ejected) > 0:
		return nil, ReasonAllEjected
	case t.excluded > 0:
		return nil, ReasonAllExcluded
	case t.notLive > 0:
		return nil, ReasonNoneLive
	case t.silent > 0:
		return nil, ReasonNoneReachable
	case announced == 0:
		return nil, ReasonNoneAnnounced
	case t.leaving == announced:
		return nil, ReasonAllLeaving
	default:
		return nil, ReasonNoneReachable
	}
}

// withFreeSlots returns the backend servers with a free slot. For a request
// without a pinned version, it returns only those live on a preferred version, if
// there are any.
func (v *View) withFreeSlots(now time.Time, req Request, servers []*ServerView) []*ServerView {
	preferred := make([]*ServerView, 0, len(servers))
	var other []*ServerView
	pinned := req.Model == "" || req.Version != ""
	for _, s := range servers {
		switch {
		case s.full(now):
		case pinned || v.preferred[Version{req.Model, v.versionOn(s, req)}]:
			preferred = append(preferred, s)
		default:
			other = append(other, s)
		}
	}
	if len(preferred) == 0 {
		return other
	}
	return preferred
}

// versionOn returns the version that a request would be pinned to on a backend
// server.
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

// Capacity is the load that a service can take, as this entry estimates it.
type Capacity struct {
	// Servers counts the backend servers that may be picked.
	Servers int
	// Slots is the sum of their slots, and InFlight the number of this entry's
	// requests in flight there.
	Slots    int
	InFlight int
	// Free is the number of free slots; other entries may take the same ones.
	// Below 0 it is this entry's part of the requests beyond the slots.
	Free int
}

// Capacity sums over the backend servers that Pick chooses from. One that is warming
// up or being probed counts with its share. Slots in use are counted by this entry
// and the agents, not by the load that backend servers report: that is late, and
// would count this entry's own recent requests as those of others.
func (v *View) Capacity(now time.Time, req Request) Capacity {
	var capacity Capacity
	over := 0.0
	servers, _ := v.tally(now, req).servers(v.announced[req.Service])
	for _, s := range servers {
		slots := s.share(now) * s.slots()
		capacity.Servers++
		capacity.InFlight += int(s.count.inFlight.Load())
		capacity.Slots += int(slots)
		left := slots - s.countedLoad(now)
		if left >= 0 {
			capacity.Free += int(math.Round(left))
			continue
		}
		over += left * float64(s.count.inFlight.Load()) / s.countedLoad(now)
	}
	capacity.Free += int(math.Round(over))
	return capacity
}
