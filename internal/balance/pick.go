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
	// trial: it is the only request there until the server has accepted it, after a backoff.
	trial bool
	// Told is how old the server's report of its load is, -1 if there is none.
	Told time.Duration
	// Own tells that this entry owns the server; InFlight are its own requests there.
	Own      bool
	InFlight int
	// Unseen is how many requests of others were taken to be there beside those that are known.
	Unseen float64
	// Signal is what the server had said of itself, as far as it was known: "limit", "backoff",
	// "leaving", or nothing.
	Signal string
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
		best.trial = s.signals.sent(now)
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
			best = Choice{Server: s, Version: version, Queue: queue, Slots: slots, Wait: wait, Read: w.Read, Told: -1, pickedAt: now, Own: s.own, InFlight: s.inFlight, Unseen: unseen, due: w.Due, foreign: s.foreign, Signal: s.signals.strongest(now)}
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
// fits.
func (b *Balancer) sample(n int) int {
	if b.view.EntryCount() <= freeEntries {
		return n
	}
	return drawnServers
}
