// Package pace shares a VM's link between live requests and transfers.
//
// State: a Bucket per direction, which grants bytes to waiting takers by class
// and in order, and a Governor, which lowers the transfers' share of the link
// when live first-token latency rises. Bucket and Governor are pure; Link adds
// the lock and the timer. Rates are in bytes per second.
package pace

import (
	"math"
	"time"
)

// Class orders takers of one direction.
type Class int

// The classes. Live bytes go before all others. Bytes from the origin go before
// those from peers: until a chunk has left the origin nobody can spread it.
const (
	Live Class = iota
	FromOrigin
	Transfer
	classes
)

// burst is how much unused time a bucket may make up for. It covers the
// lateness of timers and of the scheduler; it is not a licence to exceed the
// rate for longer.
const burst = 25 * time.Millisecond

// maxDebt bounds how long live bytes may keep the link from transfers at a
// time: a rate set below what live requests need must not end transfers.
const maxDebt = 250 * time.Millisecond

type taker struct {
	id    uint64
	bytes int
}

// Bucket is the token bucket of one direction. It is not safe for concurrent
// use.
type Bucket struct {
	rate  float64 // 0: no pacing
	share float64 // of rate, for transfers
	// free is when the link has passed all bytes granted so far; transferFree
	// is the same for the transfers' share.
	free         time.Time
	transferFree time.Time
	queues       [classes][]taker
	nextID       uint64
}

// NewBucket returns a bucket with the given rate; 0 means no pacing.
func NewBucket(rate float64) *Bucket { return &Bucket{rate: rate, share: 1} }

// SetShare sets the part of the rate that transfers may use, in 0..1.
func (b *Bucket) SetShare(share float64) { b.share = share }

// Rate returns the bucket's rate.
func (b *Bucket) Rate() float64 { return b.rate }

// Add queues a taker and returns its id. Grants come from Advance.
func (b *Bucket) Add(class Class, bytes int) uint64 {
	b.nextID++
	b.queues[class] = append(b.queues[class], taker{id: b.nextID, bytes: bytes})
	return b.nextID
}

// Spend counts live bytes that pass the link without waiting: what is granted
// next has to wait for them.
func (b *Bucket) Spend(bytes int, now time.Time) {
	b.charge(Live, bytes, now)
	if limit := now.Add(maxDebt); b.free.After(limit) {
		b.free = limit
	}
}

// Remove drops a taker that no longer waits.
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

// Advance returns the ids of the takers that may pass at now. When takers are left waiting it also
// returns the time of the next grant, else the zero time.
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

// next returns the class to be served and when it may be.
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

// extend moves a busy-until time on by seconds, from now less the burst at
// the earliest.
func extend(busy, now time.Time, seconds float64) time.Time {
	if floor := now.Add(-burst); busy.Before(floor) {
		busy = floor
	}
	return busy.Add(time.Duration(math.Ceil(seconds * float64(time.Second))))
}
