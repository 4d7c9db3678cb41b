package main

import (
	"time"

	"lynxgate.dev/lynxgate/internal/harness"
)

// usage is what a daemon used over a time, or the mean of several daemons.
// Memory is that at the end of the time.
type usage struct {
	Seconds     float64 `json:"seconds"`
	OSCPU       float64 `json:"os_cpu_seconds"`
	OwnCPU      float64 `json:"own_cpu_seconds"`
	OSRSS       float64 `json:"os_rss_bytes"`
	OSAnon      float64 `json:"os_anonymous_bytes"`
	OwnRSS      float64 `json:"own_rss_bytes"`
	Heap        float64 `json:"own_heap_bytes"`
	OSRead      float64 `json:"os_read_bytes"`
	OSWritten   float64 `json:"os_written_bytes"`
	BytesIn     float64 `json:"own_bytes_in"`
	BytesOut    float64 `json:"own_bytes_out"`
	MessagesIn  float64 `json:"own_messages_in"`
	MessagesOut float64 `json:"own_messages_out"`
	Watchers    float64 `json:"watchers"`
	Subscribers float64 `json:"subscribers"`
}

// between returns what was used from one reading of a daemon to a later one.
func between(a, b reading) usage {
	return usage{
		Seconds:     b.at.Sub(a.at).Seconds(),
		OSCPU:       b.osCPU - a.osCPU,
		OwnCPU:      b.ownCPU - a.ownCPU,
		OSRSS:       b.osRSS,
		OSAnon:      b.osAnon,
		OwnRSS:      b.ownRSS,
		Heap:        b.heap,
		OSRead:      b.osRead - a.osRead,
		OSWritten:   b.osWritten - a.osWritten,
		BytesIn:     b.bytesIn - a.bytesIn,
		BytesOut:    b.bytesOut - a.bytesOut,
		MessagesIn:  b.messagesIn - a.messagesIn,
		MessagesOut: b.messagesOut - a.messagesOut,
		Watchers:    b.watchers,
		Subscribers: b.subscribers,
	}
}

// combine returns u + factor*v, field by field.
func combine(u usage, factor float64, v usage) usage {
	return usage{
		Seconds:     u.Seconds + factor*v.Seconds,
		OSCPU:       u.OSCPU + factor*v.OSCPU,
		OwnCPU:      u.OwnCPU + factor*v.OwnCPU,
		OSRSS:       u.OSRSS + factor*v.OSRSS,
		OSAnon:      u.OSAnon + factor*v.OSAnon,
		OwnRSS:      u.OwnRSS + factor*v.OwnRSS,
		Heap:        u.Heap + factor*v.Heap,
		OSRead:      u.OSRead + factor*v.OSRead,
		OSWritten:   u.OSWritten + factor*v.OSWritten,
		BytesIn:     u.BytesIn + factor*v.BytesIn,
		BytesOut:    u.BytesOut + factor*v.BytesOut,
		MessagesIn:  u.MessagesIn + factor*v.MessagesIn,
		MessagesOut: u.MessagesOut + factor*v.MessagesOut,
		Watchers:    u.Watchers + factor*v.Watchers,
		Subscribers: u.Subscribers + factor*v.Subscribers,
	}
}

// scaled returns u with every field multiplied.
func (u usage) scaled(factor float64) usage { return combine(usage{}, factor, u) }

// above returns what u has over as many seconds of idle, per one of n.
func (u usage) above(idle usage, n int) usage {
	perSecond := idle.scaled(1 / idle.Seconds)
	return combine(u, -u.Seconds, perSecond).scaled(1 / float64(n))
}

// role names what is measured apart.
type role string

const (
	leader   role = "control_leader"
	follower role = "control_follower"
	entry    role = "entry"
	agent    role = "agent"
)

// roles in the order of the tables.
var roles = []role{leader, follower, entry, agent}

// bill is the mean use of each role's daemons over a time.
type bill map[role]usage

// measure lets act run and returns what each role used meanwhile.
func (f *fleet) measure(act func() error) (bill, error) {
	daemons := f.daemons()
	before, err := readAll(daemons, false)
	if err != nil {
		return nil, err
	}
	if err := act(); err != nil {
		return nil, err
	}
	after, err := readAll(daemons, true)
	if err != nil {
		return nil, err
	}
	uses := map[role][]usage{}
	for i, d := range daemons {
		r := f.roleOf(d, after[i])
		uses[r] = append(uses[r], between(before[i], after[i]))
	}
	out := bill{}
	for r, list := range uses {
		out[r] = mean(list)
	}
	return out, nil
}

// idle measures a quiet time.
func (f *fleet) idle(window time.Duration) (bill, error) {
	return f.measure(func() error {
		time.Sleep(window)
		return nil
	})
}

func mean(list []usage) usage {
	var total usage
	for _, u := range list {
		total = combine(total, 1, u)
	}
	return total.scaled(1 / float64(len(list)))
}

func (f *fleet) roleOf(d *harness.Daemon, r reading) role {
	switch {
	case f.kinds[d] != "":
		return f.kinds[d]
	case r.leader:
		return leader
	}
	return follower
}
