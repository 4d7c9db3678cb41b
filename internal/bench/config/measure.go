package main

import (
	"fmt"
	"slices"
	"time"

	"lynxgate.dev/lynxgate/internal/controlclient"
	"lynxgate.dev/lynxgate/internal/harness"
)

const (
	// idleTime is how long the fleet is watched without changes.
	idleTime = 10 * time.Second
)

// runAll measures every size; failover and restarts at the first one.
func runAll(o options) error {
	for i, size := range list(o.sizes) {
		var servers, subscribers int
		if _, err := fmt.Sscanf(size, "%dx%d", &servers, &subscribers); err != nil {
			return fmt.Errorf("size %q: %w", size, err)
		}
		if err := runSize(o, servers, subscribers, i == 0); err != nil {
			return fmt.Errorf("size %s: %w", size, err)
		}
	}
	return nil
}

func runSize(o options, servers, subscribers int, faults bool) error {
	f, err := startFleet(o, servers, subscribers)
	if f != nil && f.Fleet != nil {
		defer f.KillAll()
	}
	if err != nil {
		return err
	}
	if err := f.measureChanges(o); err != nil {
		return err
	}
	if !faults {
		return nil
	}
	if err := f.measureFailover(); err != nil {
		return err
	}
	return f.measureRestart()
}

// accepted is one measured change.
type accepted struct {
	revision    uint64
	began, done time.Time
}

// change declares a version and notes when it was accepted.
func (f *fleet) change() (accepted, error) {
	began := time.Now()
	err := f.declareVersion()
	return accepted{revision: f.base, began: began, done: time.Now()}, err
}

func (f *fleet) usages() ([]usage, error) {
	out := make([]usage, len(f.subscribers))
	for i, c := range f.subscribers {
		u, err := readUsage(c.Pid())
		if err != nil {
			return nil, err
		}
		out[i] = u
	}
	return out, nil
}

func total(us []usage) (bytes, rss int64) {
	for _, u := range us {
		bytes += u.bytes
		rss += u.rss
	}
	return bytes, rss
}

// sample is the usage of the leader and of all subscribers at one time.
type sample struct {
	at     time.Time
	leader usage
	bytes  int64
	rss    int64
}

func (f *fleet) sample(leader int) (sample, error) {
	s := sample{at: time.Now()}
	us, err := f.usages()
	if err != nil {
		return s, err
	}
	s.bytes, s.rss = total(us)
	s.leader, err = readUsage(f.control[leader].Pid())
	return s, err
}

// measureChanges makes changes at a steady pace and takes away what the fleet
// uses without any.
func (f *fleet) measureChanges(o options) error {
	leader, err := f.leader()
	if err != nil {
		return err
	}
	idleFrom, err := f.sample(leader)
	if err != nil {
		return err
	}
	time.Sleep(idleTime)
	from, err := f.sample(leader)
	if err != nil {
		return err
	}
	var made []accepted
	for range o.changes {
		a, err := f.change()
		if err != nil {
			return err
		}
		made = append(made, a)
		time.Sleep(time.Until(a.began.Add(o.interval)))
	}
	if err := f.waitInForce(f.base); err != nil {
		return err
	}
	time.Sleep(controlclient.DefaultMinGap) // the daemons report the new revision
	to, err := f.sample(leader)
	if err != nil {
		return err
	}
	return f.report(made, idleFrom, from, to)
}

func (f *fleet) report(made []accepted, idleFrom, from, to sample) error {
	times, err := f.timesInForce(made)
	if err != nil {
		return err
	}
	n := float64(len(f.subscribers))
	share := float64(to.at.Sub(from.at)) / float64(from.at.Sub(idleFrom.at))
	idleBytes := float64(from.bytes - idleFrom.bytes)
	idleCPU := float64(from.leader.cpu - idleFrom.leader.cpu)
	idleSeconds := from.at.Sub(idleFrom.at).Seconds()
	changes := float64(len(made))
	prefix := fmt.Sprintf("config.n%d.", len(f.subscribers))
	if len(f.control) != 3 {
		prefix = fmt.Sprintf("config.c%d.n%d.", len(f.control), len(f.subscribers))
	}
	emit := func(name string, value float64) { fmt.Printf("%s%s=%.1f\n", prefix, name, value) }
	emit("in_force_p50_ms", milliseconds(times[len(times)/2]))
	emit("in_force_p99_ms", milliseconds(times[len(times)*99/100]))
	emit("in_force_p100_ms", milliseconds(times[len(times)-1]))
	emit("bytes_per_process_per_change", (float64(to.bytes-from.bytes)-idleBytes*share)/n/changes)
	emit("idle_bytes_per_process_per_s", idleBytes/n/idleSeconds)
	emit("leader_cpu_ms_per_change", (float64(to.leader.cpu-from.leader.cpu)-idleCPU*share)/float64(time.Millisecond)/changes)
	emit("leader_idle_cpu_ms_per_s", idleCPU/float64(time.Millisecond)/idleSeconds)
	emit("rss_mb_per_process", float64(to.rss)/n/(1<<20))
	emit("leader_rss_mb", float64(to.leader.rss)/(1<<20))
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// timesInForce returns, sorted, the time from each request to its being in
// force for each subscriber.
func (f *fleet) timesInForce(made []accepted) ([]time.Duration, error) {
	var times []time.Duration
	for _, c := range f.subscribers {
		lines, err := readRevisions(c.LogPath)
		if err != nil {
			return nil, err
		}
		for _, a := range made {
			at, ok := reached(lines, a.revision)
			if !ok {
				return nil, fmt.Errorf("%s never had revision %d in force", c.Name, a.revision)
			}
			times = append(times, at.Sub(a.began))
		}
	}
	slices.Sort(times)
	return times, nil
}

// waitInForce waits until every relay and subscriber has the revision.
func (f *fleet) waitInForce(revision uint64) error {
	return harness.Wait(settleTimeout, fmt.Sprintf("revision %d everywhere", revision), func() bool {
		for _, c := range slices.Concat(f.relays, f.subscribers) {
			lines, err := readRevisions(c.LogPath)
			if err != nil || len(lines) == 0 || lines[len(lines)-1].revision < revision {
				return false
			}
		}
		return true
	})
}
