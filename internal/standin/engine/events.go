package engine

import "time"

// maxEvents bounds the cache events kept; older ones are lost.
const maxEvents = 4096

// CacheEvent says that a block entered or left the prefix cache.
type CacheEvent struct {
	// Seq rises by one per event; a missing number is a lost event.
	Seq uint64 `json:"seq"`
	// PrefixHash is the key of the block.
	PrefixHash blockKey `json:"prefix_hash"`
	// Evicted is true when the block left the cache.
	Evicted bool `json:"evicted"`
}

// CacheEvents is the answer of GET /engine/cache_events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Next is the value of since for the next call.
	Next uint64 `json:"next"`
}

// timedEvent is an event with the time from which callers may see it.
type timedEvent struct {
	CacheEvent
	visible time.Time
}

// eventLog publishes cache events late and with gaps.
type eventLog struct {
	delay     time.Duration
	loseEvery uint64 // every n-th event is lost; 0 loses none
	seq       uint64
	events    []timedEvent
}

// add records an event at now.
func (l *eventLog) add(now time.Time, stored bool, key blockKey) {
	l.seq++
	if l.loseEvery > 0 && l.seq%l.loseEvery == 0 {
		return
	}
	event := CacheEvent{Seq: l.seq, PrefixHash: key, Evicted: !stored}
	l.events = append(l.events, timedEvent{CacheEvent: event, visible: now.Add(l.delay)})
	if len(l.events) > maxEvents {
		l.events = append([]timedEvent(nil), l.events[maxEvents/2:]...)
	}
}

// since returns the events after seq that are visible at now.
func (l *eventLog) since(now time.Time, seq uint64) CacheEvents {
	answer := CacheEvents{Events: []CacheEvent{}, Next: seq}
	for _, event := range l.events {
		if event.visible.After(now) {
			break
		}
		if event.Seq > seq {
			answer.Events = append(answer.Events, event.CacheEvent)
			answer.Next = event.Seq
		}
	}
	return answer
}
