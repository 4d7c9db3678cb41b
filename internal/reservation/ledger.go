package reservation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/rendezvous"
)

const (
	// lease is how long a reservation counts whose request does not arrive: entries send requests
	// within some ms, and a killed entry must not keep slots.
	lease = 300 * time.Millisecond
	// arrivalTime is how long a request may take to its engine after it was granted: a
	// round trip between regions of 4 ms, and the entry's and engine's processing. Until then the
	// engine's report may not count it.
	arrivalTime = 15 * time.Millisecond
	// SendTime is how long after it asked for a reservation an entry may send the request: it arrives within the lease.
	SendTime = lease - arrivalTime
	// maxReportAge is the age from which on a report says nothing: an engine's requests last a
	// second or two.
	maxReportAge = 1 * time.Second
	// maxPace bounds a reported pace, so that no prediction overflows.
	maxPace = 100
	// minBudget is the least accepted wait. An engine that works slower than usual would otherwise
	// get no requests even while it is idle.
	minBudget = 20 * time.Millisecond
	// gapShare is the share of the gap objective up to which running streams may be paused by
	// prompts; the rest is for the way to the caller.
	gapShare = 0.9
	// resumedShare is the share of its gap objective that the rest of a stream may wait.
	resumedShare = 0.6
	// passesToFirstEvent is how many passes precede the first event on the mean, besides the prompts: half of the one in
	// progress, and its own. latestPasses is the number for a request that arrives as a pass begins.
	passesToFirstEvent = 1.5
	latestPasses       = 2
	// retrySpare is how many slots must be free for a client retry. Under a sustained overload each slot that
	// it takes is missing to a first attempt, which could still be in time; as many callers are
	// refused twice either way.
	retrySpare = 2
	// readHalfLife is the half-life of the share of time spent on prompts, maxReadShare its bound: an engine
	// decodes between prompts at least that much.
	readHalfLife = 1 * time.Second
	maxReadShare = 0.6
	// expiryMargin is how long after its deadline a reservation is dropped that was never released.
	expiryMargin = 1 * time.Second
	// maxDropped bounds the dropped reservations that nobody has taken.
	maxDropped = 1024
)

// held is a reservation that was not released.
type held struct {
	entry   string
	at      time.Time
	expires time.Time
	// read is the time for its prompt, readsAt the start of the pass in which it is predicted to be read.
	read    time.Duration
	readsAt time.Time
	// due is when its first event is due, zero if it is not; gap is the longest pause that its caller
	// tolerates, 0 if none is stated.
	due time.Time
	gap time.Duration
}

// Ledger keeps the reservations of one engine.
type Ledger struct {
	engine  *fleet.Engine
	report  Report
	at      time.Time
	known   bool
	loading bool
	held    map[string]held
	// dropped are the reservations that ended without their release since TakeDropped.
	dropped []Dropped
	// foreign counts the engine's requests without a reservation, as of the last report.
	foreign int
	// batch is the last pass that is predicted to read prompts of requests with a slot. queued are the prompts of those
	// without one, by the time at which they are predicted to get it.
	batch  batch
	queued []batch
	// reads is the decayed sum of the time for prompts, as of readsAt.
	reads   time.Duration
	readsAt time.Time
	// lostOld counts lost reservations among those past their lease, of which none is on its way to the engine, as if all reported
	// requests were theirs. lostAny counts them among all.
	lostOld, lostAny lostCount
}

// New returns the ledger of an engine without reservations.
func New(e *fleet.Engine) *Ledger { return &Ledger{engine: e, held: map[string]held{}} }

// SetEngine replaces the cost model of the engine.
func (l *Ledger) SetEngine(e *fleet.Engine) { l.engine = e }

// SetLoading records that the agent is about to order a load, or that the load is over.
func (l *Ledger) SetLoading(loading bool) { l.loading = loading }

// Held returns the number of reservations that were not released.
func (l *Ledger) Held(now time.Time) int {
	l.expire(now)
	return len(l.held)
}

// TakeDropped returns the reservations that ended without their release since the last call.
func (l *Ledger) TakeDropped() []Dropped {
	dropped := l.dropped
	l.dropped = nil
	return dropped
}

// drop ends a reservation without its release.
func (l *Ledger) drop(now time.Time, id string, cause DropCause) {
	h := l.held[id]
	delete(l.held, id)
	if len(l.dropped) < maxDropped {
		l.dropped = append(l.dropped, Dropped{Entry: h.entry, Age: now.Sub(h.at), Cause: cause})
	}
}

// Observe applies a report of the engine, as of now. A later incarnation of the engine has none of the
// earlier one's requests.
func (l *Ledger) Observe(now time.Time, r Report) {
	if l.report.StartUnixMs != 0 && r.StartUnixMs > l.report.StartUnixMs {
		for id := range l.held {
			l.drop(now, id, DropEngineRestarted)
		}
		l.foreign, l.batch, l.queued, l.reads = 0, batch{}, nil, 0
		l.lostOld, l.lostAny = lostCount{}, lostCount{}
	}
	before, known := l.at, l.known
	l.report, l.at, l.known = r, now, true
	l.expire(now)
	l.dropLost(now)
	least, most := l.foreignBounds(now)
	foreign := min(max(l.foreign, least), most)
	if more := foreign - l.foreign; known && more > 0 { // they came since the report before
		l.batch = l.batchFor(before)
		l.batch.read += time.Duration(more) * l.scaled(l.engine.PrefillTime(l.engine.UsualPrompt))
	}
	l.foreign = foreign
}

// foreignBounds returns how many of the reported requests have no reservation, at least and at most: a
// reservation younger than arrivalTime may have arrived or not. A request with a reservation must not be taken for one
// without, since its prompt would be counted twice.
func (l *Ledger) foreignBounds(now time.Time) (least, most int) {
	arrived := 0
	for _, h := range l.held {
		if now.Sub(h.at) >= arrivalTime {
			arrived++
		}
	}
	reported := l.report.Running + l.report.Waiting
	return max(reported-len(l.held), 0), max(reported-arrived, 0)
}

// dropLost drops reservations past their lease whose requests the engine does not have. If they were kept until their deadline,
// requests that have arrived would be taken for others that have not. Only their number is known. Those of entries that have got
// no grant for the longest time go first, since releases of others would be without effect.
func (l *Ledger) dropLost(now time.Time) {
	sent := 0
	var old []string
	lastGrant := map[string]time.Time{}
	for id, h := range l.held {
		if now.Sub(h.at) < arrivalTime {
			sent++
		}
		if now.Sub(h.at) >= lease {
			old = append(old, id)
		}
		if h.at.After(lastGrant[h.entry]) {
			lastGrant[h.entry] = h.at
		}
	}
	reported := l.report.Running + l.report.Waiting
	l.lostOld.observe(now, lostTime, len(old)-reported, 0)
	l.lostAny.observe(now, lease, len(l.held)-reported, sent)
	n := min(max(l.lostOld.lost(now, lostTime), l.lostAny.lost(now, lease)), len(old))
	if n == 0 {
		return
	}
	slices.SortFunc(old, func(a, b string) int {
		first, second := l.held[a], l.held[b]
		return cmp.Or(lastGrant[first.entry].Compare(lastGrant[second.entry]), first.at.Compare(second.at))
	})
	for _, id := range old[:n] {
		l.drop(now, id, DropNotCounted)
	}
	l.lostOld.dropped(n)
	l.lostAny.dropped(n)
}

// expire drops reservations that were never released.
func (l *Ledger) expire(now time.Time) {
	for id, h := range l.held {
		if now.After(h.expires) {
			l.drop(now, id, DropDeadline)
		}
	}
}

// batch is a pass in which the engine reads prompts. It reads all that are unread when the pass begins, and
// their requests have their first events at its end: each prompt delays the others of its batch.
type batch struct {
	start time.Time
	read  time.Duration
	// due is when the earliest first event of the batch is due, zero if none is.
	due time.Time
}

// add adds a prompt to a batch.
func (b *batch) add(read time.Duration, due time.Time) {
	b.read += read
	if !due.IsZero() && (b.due.IsZero() || due.Before(b.due)) {
		b.due = due
	}
}

// batchFor returns the batch in which a prompt will be read that gets its slot at this time: the last one if it has not
// begun yet, otherwise one after the pass in progress, which takes half a pass more on average if it reads nothing.
func (l *Ledger) batchFor(at time.Time) batch {
	if !at.After(l.batch.start) {
		return l.batch
	}
	pass := l.scaled(l.engine.PassTime())
	if end := l.batch.start.Add(l.batch.read + pass); end.After(at) {
		return batch{start: end}
	}
	return batch{start: at.Add(pass / 2)}
}

// startQueued moves the prompts of queued requests that are predicted to have a slot by now to the batches that read them.
func (l *Ledger) startQueued(now time.Time) {
	for len(l.queued) > 0 && !l.queued[0].start.After(now) {
		q := l.queued[0]
		l.queued = l.queued[1:]
		l.batch = l.batchFor(q.start)
		l.batch.add(q.read, q.due)
	}
}

// pace returns how many times as long as usual the engine's work takes.
func (l *Ledger) pace() float64 {
	if !(l.report.Pace > 0) { // also for NaN
		return 1
	}
	return min(l.report.Pace, maxPace)
}

func (l *Ledger) scaled(d time.Duration) time.Duration { return time.Duration(float64(d) * l.pace()) }

// reserved returns how many granted requests the report does not count yet: those granted since the report,
// and those younger than their lease that are missing in it.
func (l *Ledger) reserved(now time.Time) int {
	since, leased := 0, 0
	for _, h := range l.held {
		if !h.at.Before(l.at) {
			since++
		}
		if now.Sub(h.at) < lease {
			leased++
		}
	}
	missing := len(l.held) + l.foreign - l.report.Running - l.report.Waiting
	return max(since, min(leased, missing))
}

// pastLease returns the number of open reservations past their lease.
func (l *Ledger) pastLease(now time.Time) (n int) {
	for _, h := range l.held {
		if now.Sub(h.at) >= lease {
			n++
		}
	}
	return n
}

// Load returns the state of the engine.
func (l *Ledger) Load(now time.Time) Load {
	return Load{
		Running: l.report.Running, Waiting: l.report.Waiting, Reserved: l.reserved(now), Open: len(l.held), PastLease: l.pastLease(now), Pace: l.pace(), Age: now.Sub(l.at),
		Version: l.report.Version, Loading: l.loading || l.report.Busy, StartUnixMs: l.report.StartUnixMs,
	}
}

// Release ends a reservation: it was not used, or the request has ended.
func (l *Ledger) Release(now time.Time, id string) {
	h, ok := l.held[id]
	if !ok {
		return
	}
	delete(l.held, id)
	l.lostOld.released(now, h.at)
	l.lostAny.released(now, h.at)
	if !h.readsAt.After(now) {
		return // read, or about to be
	}
	if h.readsAt.Equal(l.batch.start) {
		l.batch.read -= h.read
		l.batch.due = l.earliestDue(l.batch.start)
	}
	l.queued = slices.DeleteFunc(l.queued, func(q batch) bool { return q.start.Equal(h.readsAt) })
}

// earliestDue returns when the earliest first event of a batch is due, zero if none is.
func (l *Ledger) earliestDue(start time.Time) time.Time {
	b := batch{}
	for _, h := range l.held {
		if h.readsAt.Equal(start) {
			b.add(0, h.due)
		}
	}
	return b.due
}

// Ask decides on a request.
func (l *Ledger) Ask(now time.Time, r Request) Decision {
	l.expire(now)
	l.startQueued(now)
	l.Release(now, r.ID)
	d := Decision{Load: l.Load(now)}
	switch {
	case !l.known || d.Load.Age > maxReportAge:
		return d.refused(ReasonUnknown)
	case d.Load.Loading:
		return d.refused(ReasonLoading)
	case d.Load.Version == 0, r.Version != 0 && r.Version != d.Load.Version: // 0: it holds no weights
		return d.refused(ReasonVersion)
	}
	p := l.predict(now, r, d.Load)
	d.Wait, d.FirstEvent, d.End = p.wait, p.first, p.end
	if reason := l.judge(now, r, p); reason != ReasonNone {
		d.Again = l.again(r, p, reason)
		return d.refused(reason)
	}
	l.grant(now, r, p)
	d.Granted = true
	d.Load.Reserved++
	return d
}

func (d Decision) refused(reason Reason) Decision {
	d.Reason = reason
	return d
}

// prediction is what is predicted for a request. wait is that for a slot and for the prompts before its
// own, slot the part for a slot.
type prediction struct {
	free          bool
	spare         int // free slots
	wait, slot    time.Duration
	read          time.Duration
	first, latest time.Duration
	end           time.Duration
	batch         batch // without its own prompt; only start for a request without a slot
}

// predict predicts how a request would be served.
func (l *Ledger) predict(now time.Time, r Request, load Load) prediction {
	var p prediction
	ahead := load.Running + load.Waiting + load.Reserved
	p.spare = l.engine.Slots - ahead
	p.free = p.spare > 0
	pass := l.scaled(l.engine.PassTime())
	p.batch = l.batchFor(now)
	p.wait = max(p.batch.start.Sub(now)-pass/2+p.batch.read, 0)
	if !p.free {
		// Slots become free one after the other, so that its prompt is read with no other.
		p.slot = time.Duration(1-p.spare) * l.scaled(l.engine.RequestTime())
		p.batch = batch{start: now.Add(p.slot)}
		p.wait = max(p.wait, p.slot)
	}
	p.read = l.scaled(l.engine.PrefillTime(r.Prompt))
	p.first = p.wait + p.read + time.Duration(passesToFirstEvent*float64(pass))
	p.latest = p.wait + p.read + time.Duration(latestPasses*float64(pass))
	events := (r.Answer + l.engine.Stride - 1) / max(l.engine.Stride, 1)
	p.end = p.first + time.Duration(float64(max(events-1, 0))*float64(pass)/(1-l.readShare(now)))
	return p
}

// readShare returns the share of time that the engine has spent on prompts lately.
func (l *Ledger) readShare(now time.Time) float64 {
	meanLife := float64(readHalfLife) / math.Ln2
	return min(float64(l.decayedReads(now))/meanLife, maxReadShare)
}

func (l *Ledger) decayedReads(now time.Time) time.Duration {
	age := now.Sub(l.readsAt)
	return time.Duration(float64(l.reads) * math.Exp2(-float64(age)/float64(readHalfLife)))
}

// budget returns the longest wait that is accepted for a request at this engine's pace. A slower engine
// uses more of the objective for the prompt and the first pass.
func (l *Ledger) budget(r Request) time.Duration {
	if r.Resumed && r.Gap > 0 {
		return max(time.Duration(resumedShare*float64(r.Gap)), minBudget)
	}
	usual := l.engine.PrefillTime(l.engine.UsualPrompt) + l.engine.PassTime()
	return max(r.Budget-time.Duration((l.pace()-1)*float64(usual)), minBudget)
}

// judge returns why a request is refused, ReasonNone if it is granted.
func (l *Ledger) judge(now time.Time, r Request, p prediction) Reason {
	switch {
	case r.Retry && !r.Resumed && p.spare < retrySpare:
		return ReasonRetry
	case !p.free && !r.Resumed && excluded(r):
		return ReasonRank
	case p.wait > l.budget(r), !p.batch.due.IsZero() && now.Add(p.first).After(p.batch.due):
		return ReasonFull
	case p.free && r.AcceptLate:
		return ReasonNone
	case r.Due > 0 && !r.Resumed && p.latest > r.Due, l.pausesStreams(p), r.Answer > 0 && p.end > r.Left:
		if !p.free {
			return ReasonFull
		}
		return ReasonSlow
	}
	return ReasonNone
}

// again returns when a request like one that is refused is predicted to be granted, 0 if that is not known.
func (l *Ledger) again(r Request, p prediction, reason Reason) time.Duration {
	switch reason {
	case ReasonFull:
		return max(p.wait-l.budget(r), 0) + l.scaled(l.engine.RequestTime())/2
	case ReasonRank:
		return p.slot
	case ReasonRetry:
		return time.Duration(retrySpare-p.spare) * l.scaled(l.engine.RequestTime())
	}
	return 0
}

// excluded reports whether the weight of its rank excludes a request from an engine's queue. It is the
// same at all engines, so that a request is not admitted by asking others.
func excluded(r Request) bool {
	weight := r.Weight
	if weight <= 0 {
		weight = 1
	}
	return float64(rendezvous.Hash(r.ID))/math.MaxUint64 >= weight
}

// pausesStreams reports whether reading the request's prompt would pause running streams for too long.
func (l *Ledger) pausesStreams(p prediction) bool {
	least := time.Duration(0)
	for _, h := range l.held {
		if h.gap > 0 && (least == 0 || h.gap < least) {
			least = h.gap
		}
	}
	if l.report.Running == 0 || least == 0 {
		return false
	}
	return l.scaled(l.engine.PassTime())+p.batch.read+p.read > time.Duration(gapShare*float64(least))
}

// grant records a reservation.
func (l *Ledger) grant(now time.Time, r Request, p prediction) {
	h := held{entry: r.Entry, at: now, expires: now.Add(max(r.Left, lease) + expiryMargin), read: p.read, readsAt: p.batch.start, gap: r.Gap}
	if r.Due > 0 && !r.Resumed { // the rest of a stream has had its first event
		h.due = now.Add(r.Due)
	}
	l.held[r.ID] = h
	if p.free {
		l.batch = p.batch
		l.batch.add(h.read, h.due)
	} else {
		l.queued = append(l.queued, batch{start: h.readsAt, read: h.read, due: h.due})
		slices.SortStableFunc(l.queued, func(a, b batch) int { return a.start.Compare(b.start) })
	}
	l.reads, l.readsAt = l.decayedReads(now)+p.read, now
}
