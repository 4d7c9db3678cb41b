package fleetcontrol

import "time"

const (
	// presenceInFlight bounds the bytes of presence that are on their way to all followers together: 0.3 s of a link of 27 Mbit/s that
	// two control servers fill with it, less than leaveTimeout.
	presenceInFlight = 512 << 10
	// minPresenceWindow is the least part of a follower, some servers' records; firstPresenceWindow is the part of one whose
	// way is not known yet.
	minPresenceWindow   = 1 << 10
	firstPresenceWindow = 2 << 10
	// maxQueueing is by how much longer than usual an update may be on its way before the follower's part is halved: it waits
	// behind others on a full link.
	maxQueueing = 150 * time.Millisecond
	// windowGrowth is the divisor of the part by which it grows with each update that has not waited.
	windowGrowth = 4
)

// presenceWindow bounds the bytes of presence on their way to one follower.
type presenceWindow struct {
	// bytes is 0 until the first acknowledgement; shortest is the shortest time from an update to its acknowledgement.
	bytes    int
	shortest time.Duration
}

// acknowledged records that an update with presence was acknowledged after a time. most is the follower's part of presenceInFlight.
func (w *presenceWindow) acknowledged(took time.Duration, most int) {
	if w.bytes == 0 {
		w.bytes, w.shortest = firstPresenceWindow, took
	}
	w.shortest = min(w.shortest, took)
	if took-w.shortest > maxQueueing {
		w.bytes /= 2
	} else {
		w.bytes += w.bytes/windowGrowth + 1
	}
	w.bytes = min(max(w.bytes, minPresenceWindow), most)
}

// left returns how many more bytes may be sent. oldest is for how long the oldest update is on its way: if that is too long, the link may
// have narrowed, and nothing is added to what fills it before the acknowledgements tell.
func (w *presenceWindow) left(inFlight, most int, oldest time.Duration) int {
	switch {
	case w.bytes == 0:
		return min(firstPresenceWindow, most) - inFlight
	case oldest-w.shortest > maxQueueing:
		return min(minPresenceWindow, most) - inFlight
	}
	return min(w.bytes, most) - inFlight
}

// sentUpdate is an update that the follower has not acknowledged.
type sentUpdate struct {
	number uint64
	at     time.Time
	// presence are its bytes of presence.
	presence int
}

// maxSentUpdates bounds the updates whose times are kept for one follower.
const maxSentUpdates = 64

// sent records that an update with this many bytes of presence is sent. Beyond maxSentUpdates the last one stands for all later ones.
func (f *follower) sent(now time.Time, presence int) {
	if n := len(f.unacknowledged); n == maxSentUpdates {
		last := &f.unacknowledged[n-1]
		last.number = f.number
		last.presence += presence
		return
	}
	f.unacknowledged = append(f.unacknowledged, sentUpdate{number: f.number, at: now, presence: presence})
}

// presenceInFlight returns the bytes of presence that the follower has not acknowledged.
func (f *follower) presenceInFlight() (bytes int) {
	for _, u := range f.unacknowledged {
		bytes += u.presence
	}
	return bytes
}

// dropAcknowledged drops the updates that were acknowledged, and adapts the window to how long they took.
func (f *follower) dropAcknowledged(now time.Time, most int) {
	n := 0
	for ; n < len(f.unacknowledged) && f.unacknowledged[n].number <= f.acked; n++ {
		if u := f.unacknowledged[n]; u.presence > 0 {
			f.window.acknowledged(now.Sub(u.at), most)
		}
	}
	f.unacknowledged = f.unacknowledged[n:]
}

// unacknowledgedFor returns for how long the oldest update that was not acknowledged is on its way, 0 if there is none.
func (f *follower) unacknowledgedFor(now time.Time) time.Duration {
	if len(f.unacknowledged) == 0 {
		return 0
	}
	return now.Sub(f.unacknowledged[0].at)
}
