package claims

import (
	"encoding/binary"
	"time"

	"lukechampine.com/blake3"
)

// inProgressRetryAfter is the delay of a client retry for a key that another
// attempt holds.
const inProgressRetryAfter = time.Second

// fullRetryAfter is the delay of a client retry when the table is full.
const fullRetryAfter = 10 * time.Second

// maxStep bounds how far one event advances the table's clock. A leader whose
// clock is far ahead of its predecessor's thus ages claims by at most this much.
// While there are claims, expiry events are more frequent than this.
const maxStep = Millis(60_000)

// digest is a truncated BLAKE3 digest of a key, a body or an attempt, so that
// long keys cost no more memory than short ones.
type digest [16]byte

// state of a remembered key.
type state uint8

const (
	stateGranted state = iota
	stateCompleted
	stateUnknown
	// stateReleased keeps the attempt of a request that did not run until its
	// timeout, so that a delayed copy of its claim is not granted.
	stateReleased
)

// record is one remembered key.
type record struct {
	token   uint64
	attempt digest
	body    digest
	// due is when the record changes by itself: a grant becomes unknown, any
	// other state is forgotten.
	due    Millis
	window time.Duration
	answer *Answer
	org    uint32
	state  state
}

// Table holds all claims. It is not safe for concurrent use: it belongs to
// the goroutine that applies the log.
type Table struct {
	// now is the table's clock. It advances by the differences between the
	// times of events; lastEvent is the time of the last event.
	now         Millis
	lastEvent   Millis
	lastToken   uint64
	records     map[digest]record
	orgs        orgIndex
	answerBytes int
	queue       dueQueue
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: make(map[digest]record), orgs: newOrgIndex()}
}

// Claim decides on one claim.
func (t *Table) Claim(c Claim) ClaimResult {
	t.Expire(c.Now)
	id := keyDigest(c.Organisation, c.Key)
	rec, known := t.records[id]
	if !known {
		return t.grantNew(id, c)
	}
	if rec.state == stateReleased {
		return t.grantReleased(id, rec, c)
	}
	if rec.body != hash(c.BodyDigest) {
		return ClaimResult{Verdict: BodyMismatch}
	}
	switch rec.state {
	case stateCompleted:
		return ClaimResult{Verdict: Completed, Answer: rec.answer}
	case stateUnknown:
		return ClaimResult{Verdict: Unknown}
	default:
		return t.inProgressResult(rec, c)
	}
}

// inProgressResult answers a claim for a key that is granted and unsettled.
func (t *Table) inProgressResult(rec record, c Claim) ClaimResult {
	if c.Attempt != "" && rec.attempt == hash([]byte(c.Attempt)) {
		return ClaimResult{Verdict: Granted, Token: rec.token}
	}
	wait := min(rec.due.Sub(t.now), inProgressRetryAfter)
	return ClaimResult{Verdict: InProgress, RetryAfter: wait}
}

func (t *Table) grantNew(id digest, c Claim) ClaimResult {
	org := t.orgs.id(c.Organisation)
	full := len(t.records) >= c.Limits.MaxClaims || t.orgs.count(org) >= c.Limits.MaxPerOrganisation
	if full {
		t.orgs.dropUnused(org)
		return ClaimResult{Verdict: Full, RetryAfter: fullRetryAfter}
	}
	t.orgs.add(org)
	return t.grant(id, org, c)
}

// grantReleased grants a key whose last request did not run, except to a
// delayed copy of that request's own claim: nobody would dispatch for it.
func (t *Table) grantReleased(id digest, rec record, c Claim) ClaimResult {
	if c.Attempt != "" && rec.attempt == hash([]byte(c.Attempt)) {
		return ClaimResult{Verdict: InProgress, RetryAfter: inProgressRetryAfter}
	}
	return t.grant(id, rec.org, c)
}

func (t *Table) grant(id digest, org uint32, c Claim) ClaimResult {
	t.lastToken++
	rec := record{
		token:   t.lastToken,
		attempt: hash([]byte(c.Attempt)),
		body:    hash(c.BodyDigest),
		due:     t.now.Add(min(c.Timeout, c.Limits.MaxTimeout)),
		window:  c.Limits.Window,
		org:     org,
		state:   stateGranted,
	}
	t.put(id, rec)
	return ClaimResult{Verdict: Granted, Token: rec.token}
}

// Settle records the outcome of a grant.
func (t *Table) Settle(s Settle) SettleResult {
	t.Expire(s.Now)
	id := keyDigest(s.Organisation, s.Key)
	rec, known := t.records[id]
	if !known || rec.token != s.Token {
		return Ignored
	}
	switch s.Outcome {
	case SettleCompleted:
		return t.settleCompleted(id, rec, s)
	case SettleNotRun:
		return t.settleNotRun(id, rec)
	case SettleUnknown:
		return t.settleUnknown(id, rec)
	default:
		return Ignored
	}
}

// settleCompleted also accepts a grant that has become unknown meanwhile: the
// answer is more precise than "it may have run".
func (t *Table) settleCompleted(id digest, rec record, s Settle) SettleResult {
	switch rec.state {
	case stateCompleted:
		return Repeated
	case stateReleased:
		return Ignored
	}
	rec.state = stateCompleted
	rec.due = t.now.Add(rec.window)
	if t.storable(s.Answer, s.Limits) {
		rec.answer = s.Answer
		t.answerBytes += s.Answer.size()
	}
	t.put(id, rec)
	return Recorded
}

func (t *Table) storable(a *Answer, l Limits) bool {
	if a == nil || a.size() > l.MaxAnswerBytes {
		return false
	}
	return t.answerBytes+a.size() <= l.MaxAnswerTotal
}

// settleNotRun does not touch an unknown claim: callers were told that the
// request may have run, and a new grant would contradict that.
func (t *Table) settleNotRun(id digest, rec record) SettleResult {
	switch rec.state {
	case stateReleased:
		return Repeated
	case stateGranted:
		rec.state = stateReleased
		t.put(id, rec)
		return Recorded
	default:
		return Ignored
	}
}

func (t *Table) settleUnknown(id digest, rec record) SettleResult {
	switch rec.state {
	case stateUnknown:
		return Repeated
	case stateGranted:
		t.becomeUnknown(id, rec)
		return Recorded
	default:
		return Ignored
	}
}

func (t *Table) becomeUnknown(id digest, rec record) {
	rec.state = stateUnknown
	rec.due = t.now.Add(rec.window)
	t.put(id, rec)
}

// advance moves the clock by the time since the last event, at most maxStep.
// Events that overtook each other in the log are a little out of order and
// must not count time twice; a larger step back is the clock of a new leader.
func (t *Table) advance(now Millis) {
	if now < t.lastEvent {
		if t.lastEvent-now > maxStep {
			t.lastEvent = now
		}
		return
	}
	t.now += min(now-t.lastEvent, maxStep)
	t.lastEvent = now
}

// Expire advances the clock and processes the records that are due. It returns
// how many grants became unknown.
func (t *Table) Expire(now Millis) int {
	t.advance(now)
	timedOut := 0
	for {
		id, ok := t.queue.popDue(t.now)
		if !ok {
			return timedOut
		}
		rec, known := t.records[id]
		if !known || rec.due > t.now {
			continue // the record has changed since it was queued
		}
		if rec.state == stateGranted {
			t.becomeUnknown(id, rec)
			timedOut++
			continue
		}
		t.forget(id, rec)
	}
}

func (t *Table) put(id digest, rec record) {
	t.records[id] = rec
	t.queue.push(dueItem{due: rec.due, id: id})
}

func (t *Table) forget(id digest, rec record) {
	delete(t.records, id)
	t.orgs.remove(rec.org)
	if rec.answer != nil {
		t.answerBytes -= rec.answer.size()
	}
}

// Stats counts the claims by state.
func (t *Table) Stats() Stats {
	s := Stats{Claims: len(t.records), AnswerBytes: t.answerBytes}
	for _, rec := range t.records {
		switch rec.state {
		case stateGranted:
			s.Granted++
		case stateCompleted:
			s.Completed++
		case stateUnknown:
			s.Unknown++
		case stateReleased:
			s.Released++
		}
	}
	return s
}

// keyDigest returns the digest of (organisation, key). The length prefix keeps
// the inputs of different organisations distinct.
func keyDigest(organisation, key string) digest {
	buf := make([]byte, 0, 8+len(organisation)+len(key))
	buf = binary.LittleEndian.AppendUint64(buf, uint64(len(organisation)))
	buf = append(buf, organisation...)
	buf = append(buf, key...)
	return hash(buf)
}

func hash(b []byte) digest {
	sum := blake3.Sum256(b)
	return digest(sum[:len(digest{})])
}
