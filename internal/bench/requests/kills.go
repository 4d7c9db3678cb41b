package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"lynxgate.dev/lynxgate/internal/harness"
	"lynxgate.dev/lynxgate/internal/replay"
	"lynxgate.dev/lynxgate/internal/trace"
)

const (
	killDuration = 16 * time.Second
	killPause    = 2500 * time.Millisecond
	killDown     = 500 * time.Millisecond
	killRate     = 30.0
)

// errBroken says that a promise did not hold.
var errBroken = errors.New("requests were lost, doubled, mixed or wrongly said not to have run")

// killLoads are streams, and jobs that must run at most once; half of the
// jobs are sent again with their key.
func killLoads() []trace.Load {
	stream := shortLoad()
	stream.Share, stream.Deadline = 0.6, 5*time.Second
	return []trace.Load{stream, {
		Service: plainService, Share: 0.4, Method: http.MethodPost, Path: "/services/" + plainService + "/jobs/print",
		AtMostOnce: true, Resent: 0.5, Deadline: 5 * time.Second,
	}}
}

// measureKills ends an entry, agents and engines at once, and starts them
// again, while both entries take requests. The first entry and the plain
// service, which counts the runs, stay up.
func measureKills(s *system) error {
	killed := make(chan error, 1)
	go func() { killed <- s.killInTurn() }()
	report, err := s.replay(offered{
		name: "kill", rate: killRate, duration: killDuration,
		organisations: shares(1, 0), loads: killLoads(), targets: s.entries,
	})
	if err != nil {
		return err
	}
	if err := <-killed; err != nil {
		return err
	}
	runs, err := replay.FetchRuns(context.Background(), http.DefaultClient, []string{"http://" + s.plain.BackendAddr})
	if err != nil {
		return err
	}
	check := report.CheckRuns(runs)
	lost := check.Lost + untold(report) + report.Counts.Wrong - report.Counts.Mixed
	note("kills: %s; differences %d", tally(report), len(report.Differences))
	for _, d := range report.Differences {
		note("difference: %s: expected %s, got %s %s %s", d.ID, d.Expected, d.Outcome, d.Problem, d.Detail)
	}
	figure("kill.lost", float64(lost))
	figure("kill.doubled", float64(check.Doubled))
	figure("kill.mixed", float64(report.Counts.Mixed))
	figure("kill.wrongly_not_run", float64(check.WronglyNotRun))
	if lost+check.Doubled+report.Counts.Mixed+check.WronglyNotRun > 0 {
		return errBroken
	}
	return nil
}

// untold counts the requests to the entry that stayed up whose caller got
// neither a whole answer nor a stated outcome.
func untold(r *replay.Report) int {
	n := 0
	for i, result := range r.Results {
		if i%2 == 0 && result.Outcome != replay.Completed && result.Outcome != replay.Wrong && !result.Told {
			note("untold: %s %s %s", result.ID, result.Outcome, result.Detail)
			n++
		}
	}
	return n
}

// killInTurn ends one process after the other.
func (s *system) killInTurn() error {
	steps := []struct {
		name         string
		kill, revive func() error
	}{
		{"engine", s.paced[1].Backend.Kill, func() error { return s.fleet.StartBackend(s.paced[1]) }},
		{"agent", s.paced[2].Kill, s.reviver(s.paced[2].Daemon)},
		{"entry", s.entries[1].Kill, s.reviver(s.entries[1])},
		{"plain agent", s.plain.Kill, s.reviver(s.plain.Daemon)},
		{"agent and engine", func() error { return errors.Join(s.paced[3].Kill(), s.paced[3].Backend.Kill()) }, func() error {
			return errors.Join(s.fleet.StartBackend(s.paced[3]), s.reviver(s.paced[3].Daemon)())
		}},
	}
	for _, step := range steps {
		time.Sleep(killPause - killDown)
		note("killing: %s", step.name)
		if err := step.kill(); err != nil {
			return fmt.Errorf("kill %s: %w", step.name, err)
		}
		time.Sleep(killDown)
		if err := step.revive(); err != nil {
			return fmt.Errorf("start %s again: %w", step.name, err)
		}
	}
	return nil
}

func (s *system) reviver(d *harness.Daemon) func() error {
	return func() error { return s.fleet.StartDaemon(d, d.Name) }
}
