package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"lynxgate.dev/lynxgate/internal/fleet"
)

// Requirements is what an attempt requires of its server.
type Requirements struct {
	Service string
	// Model and its layers, empty for plain services.
	Model string
	// Residency limits the regions of the server.
	Residency fleet.Residency
	// Exclude are servers that have had an attempt of this request.
	Exclude []*Server
	// Version is the version of weights that the request has begun on, 0 if none.
	Version uint64
	// Read is how long an engine reads the prompt; Budget is the longest accepted wait for
	// a slot and for the prompts before this one.
	Read   time.Duration
	Budget time.Duration
	// Answer is the length that the answer will hardly exceed, in tokens; 0 if not known.
	Answer int
	// Due is when the first event is due; zero if it is late already.
	Due time.Time
	// RunOnce: the request must not run twice, so it is not cancelled once it was sent.
	RunOnce bool
	// Bytes is the size of the body, which the server holds until its answer ends.
	Bytes int
	// Free requires a slot that is free now, by what is known of the server's load.
	Free bool
	// Reserves reports whether a slot of the server at an address can be reserved with its agent; nil if
	// none can. Such a server is chosen by its known load, but not left out because of it.
	Reserves func(addr string) bool
	// Only is the only server to be considered; nil for all.
	Only *Server
}

// Choice is the server chosen for one attempt.
type Choice struct {
	Server *Server
	// Zone is the availability zone of the server.
	Zone string
	// Version of weights that the server holds, 0 for plain services.
	Version uint64
	// VersionSource says which statement of the server or its agent Version comes from, VersionAge how old that was at the
	// choice.
	VersionSource string
	VersionAge    time.Duration
	Expiry        Expiry
	// pathMargin is part of CancelMargin.
	pathMargin time.Duration
	// Confirm: the server must refuse the request if it holds another version.
	Confirm bool
	// Queue is the estimated number of requests there, Slots its number of slots.
	Queue float64
	Slots int
	// Wait is the predicted wait there, Read the time to read the prompt, FirstEvent the predicted time
	// until the first event.
	Wait, Read, FirstEvent time.Duration
	// Pace is how many times as long as usual the server's work takes, as known at the choice.
	Pace float64
	// model is the model that the request needs, empty at plain services; takes is how long the request is predicted to take,
	// cancellable whether the entry cancels it if it has not begun in time, bodiless whether it has no body.
	model                 string
	takes                 time.Duration
	cancellable, bodiless bool
	// bytes is the size of the body.
	bytes int
	// pickedAt is when the server was chosen; begun: an event was received.
	pickedAt time.Time
	begun    bool
	// due is when the first event is due, zero if it is late already; otherOwner: another entry
	// owned the server.
	due        time.Time
	otherOwner bool
	// probe: after a backoff it is the only request there until the server has accepted it.
	probe bool
	// Reserve: a slot of the server is to be reserved with its agent before the request is sent.
	Reserve bool
	// reserved: its agent has granted one.
	reserved bool
	// StartUnixMs is the server's start, 0 if not known.
	StartUnixMs int64
	// OnDone, if not nil, is called when the attempt ends.
	OnDone func()
	// ReportAge is the age of the server's load report, -1 if there is none.
	ReportAge time.Duration
	// Owned: this entry owns the server; InFlight counts its own requests there.
	Owned    bool
	InFlight int
	// Unseen is the estimate of unreported requests of other entries there.
	Unseen float64
	// Signal is the strongest signal of the server: "limit", "backoff", "leaving", or
	// nothing.
	Signal string
	// Signs are the server's signs of life.
	Signs Signs
}

// Pick chooses the server with the lowest predicted wait, load and cost, and counts
// the request as in flight there until Done.
func (b *Balancer) Pick(now time.Time, w Requirements) (Choice, Availability) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.activity.note(now)
	best, availability := b.choose(now, w)
	if best.Server != nil {
		s := best.Server
		if s.inFlight == 0 {
			s.health.busySince = now
		}
		s.inFlight++
		s.unanswered++
		s.pendingRead += best.Read
		s.heldBytes += best.bytes
		best.probe = s.signals.dispatched(now)
	}
	return best, availability
}

// Evaluate counts why servers cannot be chosen for a request, without choosing one.
func (b *Balancer) Evaluate(now time.Time, w Requirements) (Choice, Availability) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, availability := b.choose(now, w)
	return Choice{}, availability
}

// choose returns the best server, and why the others were not chosen.
func (b *Balancer) choose(now time.Time, w Requirements) (Choice, Availability) {
	var best Choice
	bestScore := time.Duration(math.MaxInt64)
	availability := Availability{}
	others := 0
	if b.firstChoice.IsZero() {
		b.firstChoice = now
	}
	candidates := b.candidates(w, &availability)
	for _, s := range candidates {
		if !s.owned {
			if others++; others > b.samplesFor(w, len(candidates)) && bestScore < lastResortPenalty {
				break
			}
		}
		availability.Known++
		version, fits := b.fits(now, s, w, &availability)
		if !fits {
			continue
		}
		availability.Fit++
		queue := s.queueLength(now, b.view.EntryCount())
		slots := s.slots()
		reserves := w.reserves(s)
		unseen := 0.0
		if !reserves {
			unseen = b.unseenAt(s, now)
		}
		p := s.predict(now, queue+unseen, b.otherSenders(s), w.Read)
		if availability.Fit == 1 || p.wait < availability.Soonest {
			availability.Soonest = p.wait
		}
		if !reserves && !b.accepts(s, w, queue, p) {
			if b.accepts(s, w, queue, p.onTime(s.excess.now(now))) {
				availability.Late++
			}
			continue
		}
		takes := p.firstEvent + s.answerTime(w.Answer, p.pace)
		expiry := b.expiryAt(s, now, w.Model, version, takes, s.excess.now(now), !w.RunOnce, w.Bytes == 0)
		if expiry.Unconfirmed && now.Add(p.firstEvent).After(expiry.At) {
			expiry = Expiry{}
		}
		if expiry.Unsendable() || expiry.Relayed && now.Before(s.relayDownUntil) || !expiry.At.IsZero() && now.Add(p.firstEvent).After(expiry.At) {
			availability.Fit--
			availability.Old++
			continue // it would be cut, has no guard, can't be relayed, or would not begin in time
		}
		score := b.score(now, s, queue, p, costsOf(s, w, reserves))
		if p.isLastResort(now, w.Due) {
			score += lastResortPenalty
		}
		if expiry.Outlasts {
			score += outlastsPenalty
		}
		if score < bestScore {
			bestScore = score
			best = Choice{
				Server: s, Zone: s.record.Zone, Version: version, Queue: queue, Slots: slots,
				Wait: p.wait, Read: p.read, FirstEvent: p.firstEvent, Pace: p.pace, takes: takes,
				ReportAge: -1, pickedAt: now, due: w.Due, bytes: w.Bytes,
				Owned: s.owned, otherOwner: s.otherOwner && !reserves, InFlight: s.inFlight, Unseen: unseen,
				Reserve: reserves, StartUnixMs: s.record.StartUnixMs, Signal: s.signals.strongest(now),
				model: w.Model, cancellable: !w.RunOnce, bodiless: w.Bytes == 0, Expiry: expiry, pathMargin: b.pathMargin(s, expiry), Confirm: b.mustConfirm(w.Model, version),
				Signs: s.signs(now),
			}
			if s.load.known {
				best.ReportAge = now.Sub(s.load.at)
			}
			if version != 0 {
				best.VersionSource, best.VersionAge = s.versionSource(now)
			}
		}
	}
	return best, availability
}

// accepts reports whether a server is expected to take a request within its budget, by what is known of
// the server's load.
func (b *Balancer) accepts(s *Server, w Requirements, queue float64, p prediction) bool {
	slots := float64(s.slots())
	switch {
	case s.pendingRead > 0 && b.otherSenders(s) >= 1:
		return false // others may be sending to it now: one unread prompt per entry at a time
	case s.engine == nil && queue >= plainQueuePerSlot*slots, s.engine != nil && p.wait > s.budget(w.Budget, p.pace):
		return false
	}
	return !w.Free || queue+1 <= slots
}

// candidates returns the servers of a service in the zones that a request may use, and counts the
// others: those that this entry owns first, then the others in random order.
func (b *Balancer) candidates(w Requirements, availability *Availability) []*Server {
	servers := b.services[w.Service]
	order := make([]*Server, 0, len(servers))
	var others []*Server
	for _, s := range servers {
		switch {
		case w.Only != nil && s != w.Only:
		case !w.Residency.Allows(s.region):
			availability.Abroad++
		case b.evacuated(s.record.Zone):
			availability.Evacuated++
		case s.owned:
			order = append(order, s)
		default:
			others = append(others, s)
		}
	}
	availability.Known = availability.Abroad + availability.Evacuated
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return append(order, others...)
}

// evacuated reports whether the servers of a zone get no requests, by an operator's order.
func (b *Balancer) evacuated(zone string) bool { return b.view.Evacuations[zone].InForce }

// sampleSize returns how many of n servers are evaluated besides the owned ones, if one of
// them fits.
func (b *Balancer) sampleSize(n int) int {
	if b.view.EntryCount() <= fullScanEntries {
		return n
	}
	return sampledServers
}
