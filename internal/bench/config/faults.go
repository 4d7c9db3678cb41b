package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"lynxgate.dev/lynxgate/internal/harness"
	"lynxgate.dev/lynxgate/internal/inventory"
)

const (
	// failoverChanges are made around the death of a leader.
	failoverChanges  = 50
	failoverInterval = 100 * time.Millisecond
	// missedChanges go by while processes are down.
	missedChanges = 500
	// pollInterval is how often a restarted control server is looked at.
	pollInterval = 5 * time.Millisecond
)

// measureFailover kills the leader in the middle of the changes.
func (f *fleet) measureFailover() error {
	leader, err := f.leader()
	if err != nil {
		return err
	}
	var killed time.Time
	var gap time.Duration
	for i := range failoverChanges {
		if i == failoverChanges/2 {
			killed = time.Now()
			if err := f.control[leader].Kill(); err != nil {
				return err
			}
		}
		a, err := f.change()
		if err != nil {
			return err
		}
		if i == failoverChanges/2 {
			gap = a.done.Sub(killed)
		}
		time.Sleep(time.Until(a.began.Add(failoverInterval)))
	}
	if err := f.waitInForce(f.base); err != nil {
		return err
	}
	lost, err := f.countLost()
	if err != nil {
		return err
	}
	reverted, err := f.countReverted()
	if err != nil {
		return err
	}
	fmt.Printf("config.failover.gap_ms=%.1f\nconfig.failover.lost=%d\nconfig.failover.reverted=%d\n",
		milliseconds(gap), lost, reverted)
	return f.StartDaemon(f.control[leader], f.control[leader].Name)
}

// countLost counts accepted changes that the control servers do not hold.
func (f *fleet) countLost() (int, error) {
	snapshot, err := f.operator.Config(context.Background(), inventory.PrefixModel+benchModel+"@")
	if err != nil {
		return 0, err
	}
	return f.declared - len(snapshot.Keys), nil
}

// countReverted counts processes in which a revision fell or an accepted
// change is not in force in the end.
func (f *fleet) countReverted() (int, error) {
	reverted := 0
	for _, c := range slices.Concat(f.relays, f.subscribers) {
		lines, err := readRevisions(c.LogPath)
		if err != nil {
			return 0, err
		}
		if fell(lines) || lines[len(lines)-1].held != f.declared {
			reverted++
		}
	}
	return reverted, nil
}

// measureRestart restarts a subscriber, a relay and a control server after
// many changes have gone by.
func (f *fleet) measureRestart() error {
	if err := f.settle(); err != nil {
		return err
	}
	leader, err := f.leader()
	if err != nil {
		return err
	}
	follower := f.control[(leader+1)%len(f.control)]
	subscriber, relay := f.subscribers[restarted], f.relays[0]
	for _, p := range []*harness.Process{follower.Process, subscriber.Process, relay.Process} {
		if err := p.Kill(); err != nil {
			return err
		}
	}
	for range missedChanges {
		if _, err := f.change(); err != nil {
			return err
		}
	}
	control, err := f.restartServer(follower)
	if err != nil {
		return err
	}
	entry, err := f.restartAndWait(relay)
	if err != nil {
		return err
	}
	agent, err := f.restartAndWait(subscriber)
	if err != nil {
		return err
	}
	if err := f.waitInForce(f.base); err != nil {
		return err
	}
	reverted, err := f.countReverted()
	if err != nil {
		return err
	}
	fmt.Printf("config.restart.control_catchup_ms=%.1f\nconfig.restart.relay_catchup_ms=%.1f\n"+
		"config.restart.subscriber_catchup_ms=%.1f\nconfig.restart.catchup_ms=%.1f\nconfig.restart.reverted=%d\n",
		milliseconds(control), milliseconds(entry), milliseconds(agent),
		milliseconds(max(control, entry, agent)), reverted)
	return nil
}

func (f *fleet) restartAndWait(c *child) (time.Duration, error) {
	began := time.Now()
	if err := f.restartChild(c); err != nil {
		return 0, err
	}
	var lines []revisionLine
	err := harness.Wait(settleTimeout, c.Name+" to catch up", func() bool {
		lines, _ = readRevisions(c.LogPath)
		_, ok := reached(lines, f.base)
		return ok
	})
	if err != nil {
		return 0, err
	}
	at, _ := reached(lines, f.base)
	return at.Sub(began), nil
}

// restartServer restarts a control server and waits until its metrics show
// the revision in force, confirmed.
func (f *fleet) restartServer(d *harness.Daemon) (time.Duration, error) {
	began := time.Now()
	if err := f.StartDaemon(d, d.Name); err != nil {
		return 0, err
	}
	want := fmt.Sprintf("\nlynxgate_control_revision %s\n", metricValue(f.base))
	for end := began.Add(settleTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		text := readMetrics(d.HTTPAddr)
		if strings.Contains(text, want) && strings.Contains(text, "\nlynxgate_control_confirmed 1\n") {
			return time.Since(began), nil
		}
	}
	return 0, fmt.Errorf("%s did not catch up: %w", d.Name, os.ErrDeadlineExceeded)
}

// metricValue is a number as the text format of Prometheus writes it.
func metricValue(n uint64) string { return fmt.Sprintf("%g", float64(n)) }

func readMetrics(addr string) string {
	resp, err := http.Get("http://" + addr + "/metrics")
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return ""
	}
	return string(body)
}
