package balance

import (
	"math"
	"math/rand/v2"
	"time"
)

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
	// Due is when the first event is due; zero if it is late already.
	Due time.Time
	// Free wants a slot that is free now, by what is known of the server's load.
	Free bool
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
	// due is when the first event is due, zero if it is late already; foreign tells that
	// another entry owned the server.
	due     time.Time
	foreign bool
	// Told is how old the server's report of its load is, -1 if there is none.
	Told time.Duration
	// Own tells that this entry owns the server; InFlight are its own requests there.
	Own      bool
	InFlight int
	// Unseen is how many requests of others were taken to be there beside those that are known.
	Unseen float64
}

// Room tells why servers of a service did not take a request.
type Room struct {
	// Known servers of the service, and those that fit but are too full.
	Known, Fit int
	// Tried were sent this request before; Aside failed lately, are silent in the
	// directory or have another's address; Busy refused a moment ago; Loading take
	// nothing new; Empty hold no weights, Old hold a version that is over, Other one that
	// the request can't use.
	Tried, Aside, Busy, Loading, Empty, Old, Other int
	// Later are those that may take it in a while: set aside or busy ones that else fit,
	// and those that have the version of a begun request still to load. They are counted
	// above, too, and not logged.
	Later int `json:"-"`
	// Soonest is the least predicted wait at those that fit.
	Soonest time.Duration `json:"-"`
}

// Pick chooses the server with the lowest predicted wait, load and cost, and counts
// the request as in flight there until Done.
func (b *Balancer) Pick(now time.Time, w Want) (Choice, Room) {
	b.mu.Lock()
	defer b.mu.Unlock()
	best, room := b.choose(now, w)
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

// Look tells which servers there are for a request, and chooses none.
func (b *Balancer) Look(now time.Time, w Want) (Choice, Room) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, room := b.choose(now, w)
	return Choice{}, room
}

// choose finds the best server, and tells of the others.
func (b *Balancer) choose(now time.Time, w Want) (Choice, Room) {
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
		unseen := b.unseenAt(s, now)
		wait := s.predictWait(now, queue+unseen, b.othersAt(s))
		if room.Fit == 1 || wait < room.Soonest {
			room.Soonest = wait
		}
		if s.pendingRead > 0 && b.othersAt(s) >= 1 {
			continue // others send to it just now, too: one unread prompt of each at a time
		}
		if s.engine == nil && queue >= wholeQueue*float64(slots) || s.engine != nil && wait > w.Budget {
			continue
		}
		if w.Free && queue+1 > float64(slots) {
			continue
		}
		score := b.score(now, s, queue, wait)
		if score < bestScore {
			bestScore = score
			best = Choice{Server: s, Version: version, Queue: queue, Slots: slots, Wait: wait, Read: w.Read, Told: -1, pickedAt: now, Own: s.own, InFlight: s.inFlight, Unseen: unseen, due: w.Due, foreign: s.foreign}
			if s.load.known {
				best.Told = now.Sub(s.load.at)
			}
		}
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

// othersAt is how many other entries are taken to send to a server at the same moment as
// this one: all of those that look at it, unless this one owns it.
func (b *Balancer) othersAt(s *Server) float64 {
	if s.own {
		return 0
	}
	servers := len(b.services[s.record.Service])
	looked := float64(b.sample(servers)) / float64(max(servers, 1))
	return min(looked, 1) * float64(b.view.EntryCount()-1)
}

// predictWait predicts the wait of one more request for a slot, for the prompts that are
// to be read before its own, and by what came late before. Prompts that others send are
// not known here before the next report: they are taken to be as many as this entry's and
// one more each. Without that an engine that had just loaded, empty by its last report, got a dozen
// prompts at once from several entries, each of which is read for 32 ms: 17 requests in
// 0.1 s, whose first events came after 0.5 s.
func (s *Server) predictWait(now time.Time, queue, others float64) time.Duration {
	if s.engine == nil {
		return 0
	}
	over := max(0, queue-float64(s.slots())+1)
	usual := s.engine.ReadTime(s.engine.UsualPrompt)
	reading := s.pendingRead + time.Duration(others*float64(s.pendingRead+usual))
	return reading + time.Duration(over*float64(s.engine.PerRequest())) + s.excess.now(now)
}

// Began notes that an event of a request has come: its prompt is read.
func (b *Balancer) Began(c *Choice, now time.Time) {
	if c.begun {
		return
	}
	defer b.freed()
	b.mu.Lock()
	defer b.mu.Unlock()
	c.begun = true
	if s := c.Server; s.engine != nil {
		s.excess.observe(now, now.Sub(c.pickedAt)-c.Wait-c.Read-s.engine.Pass())
		b.learnUnseen(c, now, now.After(c.due))
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
	version, why := b.usableVersion(now, s, w, room)
	switch {
	case s.retired || s.replaced() || now.Sub(s.seenAt) > lostAfter:
		room.Aside++
	case now.Before(s.health.asideUntil), s.health.probing && s.inFlight > 0:
		room.Aside++
		room.laterIf(why == nil)
	case now.Before(s.busyUntil):
		room.Busy++
		room.laterIf(why == nil)
	case why != nil:
		*why++
		room.laterIf(w.Version != 0 && s.holds(now, w.Model) < w.Version)
	default:
		return version, true
	}
	return 0, false
}

func (r *Room) laterIf(usable bool) {
	if usable {
		r.Later++
	}
}

// usableVersion returns the version of weights that a server may begin the request on,
// 0 for plain services, or the counter of the reason why it may not.
func (b *Balancer) usableVersion(now time.Time, s *Server, w Want, room *Room) (version uint64, why *int) {
	if w.Model == "" || s.engine == nil {
		return 0, nil
	}
	if s.loading(now) {
		return 0, &room.Loading
	}
	version = s.holds(now, w.Model)
	margin := versionMargin + 2*s.excess.now(now)
	switch {
	case version == 0:
		return 0, &room.Empty
	case w.Version != 0 && version != w.Version:
		return 0, &room.Other
	case version < b.view.Versions[w.Model].Floor(now, b.cfg.VersionBound-margin):
		return 0, &room.Old
	}
	return version, nil
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
