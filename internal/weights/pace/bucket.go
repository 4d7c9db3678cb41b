// Package pace shares a VM's link between live requests and transfers.
//
// State: a Bucket per direction, which grants bytes to waiting requests by class
// and in order of arrival, and a Governor, which lowers the transfers' share of
// the link when live first-token latency rises. Bucket and Governor read no clock;
// Link adds the lock and the timer. Rates are in bytes per second.
package pace

import (
	"math"
	"time"
)

// Class is the priority of a request for bytes in one direction.
type Class int

// The classes, highest priority first. Bytes from the origin come before those
// from peers because peers can spread a chunk only once the origin has sent it.
const (
	Live Class = iota
	FromOrigin
	Transfer
	classes
)

// burst is how much unused time a bucket can use later. It covers the lateness of
// timers and of the scheduler, and is short so that the rate is not exceeded for
// longer.
const burst = 25 * time.Millisecond

// maxDebt bounds how long live bytes can block transfers at a time. Without it, a
// configured rate below what live requests use would stop transfers.
const maxDebt = 250 * time.Millisecond

type waiter struct {
	id    uint64
	bytes int
}

// Bucket is the token bucket of one direction. It is not safe for concurrent
// use.
type Bucket struct {
	rate  float64 // 0: no pacing
	share float64 // fraction of rate that transfers may use
	// free is when all bytes granted so far will have passed the link;
	// transferFree is the same for the transfers' share.
	free         time.Time
	transferFree time.Time
	queues       [classes][]waiter
	nextID       uint64
}

// NewBucket returns a bucket with the given rate; 0 means no pacing.
func NewBucket(rate float64) *Bucket { return &Bucket{rate: rate, share: 1} }

// SetShare sets the fraction of the rate that transfers may use, in 0..1 but
// not 0.
func (b *Bucket) SetShare(share float64) { b.share = share }

// Rate returns the rate in bytes per second; 0 means no pacing.
func (b *Bucket) Rate() float64 { return b.rate }

// Add queues a request for bytes and returns its id. Advance grants it.
func (b *Bucket) Add(class Class, bytes int) uint64 {
	b.nextID++
	b.queues[class] = append(b.queues[class], waiter{id: b.nextID, bytes: bytes})
	return b.nextID
}

// Spend accounts for live bytes that pass the link without waiting. Later grants
// wait for them, for at most maxDebt.
func (b *Bucket) Spend(bytes int, now time.Time) {
	b.charge(Live, bytes, now)
	if limit := now.Add(maxDebt); b.free.After(limit) {
		b.free = limit
	}
}

// Remove removes a request that is no longer waiting.
func (b *Bucket) Remove(id uint64) {
	for class := range b.queues {
		for i, t := range b.queues[class] {
			if t.id == id {
				b.queues[class] = append(b.queues[class][:i:i], b.queues[class][i+1:]...)
				return
			}
		}
	}
}

// Advance returns the ids of the requests granted at now. If others are still
// waiting, it also returns the time of the next grant, else the zero time.
func (b *Bucket) Advance(now time.Time) ([]uint64, time.Time) {
	var granted []uint64
	for {
		class, at := b.next()
		if class < 0 {
			return granted, time.Time{}
		}
		if b.rate > 0 && at.After(now) {
			return granted, at
		}
		t := b.queues[class][0]
		b.queues[class] = b.queues[class][1:]
		b.charge(class, t.bytes, now)
		granted = append(granted, t.id)
	}
}

// next returns the class of the next grant and its earliest time, or -1 if no
// request is waiting.
func (b *Bucket) next() (Class, time.Time) {
	if len(b.queues[Live]) > 0 {
		return Live, b.free
	}
	for class := FromOrigin; class < classes; class++ {
		if len(b.queues[class]) == 0 {
			continue
		}
		if b.transferFree.After(b.free) {
			return class, b.transferFree
		}
		return class, b.free
	}
	return -1, time.Time{}
}

func (b *Bucket) charge(class Class, bytes int, now time.Time) {
	if b.rate <= 0 {
		return
	}
	b.free = extend(b.free, now, float64(bytes)/b.rate)
	if class != Live {
		b.transferFree = extend(b.transferFree, now, float64(bytes)/(b.rate*b.share))
	}
}

// extend adds seconds to a busy-until time, which counts from now minus burst at
// the earliest.
func extend(busy, now time.Time, seconds float64) time.Time {
	if floor := now.Add(-burst); busy.Before(floor) {
		busy = floor
	}
	return busy.Add(time.Duration(math.Ceil(seconds * float64(time.Second))))
}
