package main

import (
	"errors"
	"fmt"
	"time"

	"lynxgate.dev/lynxgate/internal/harness"
	"lynxgate.dev/lynxgate/internal/replay"
)

// Seeds of the loads against the entry that stays up and the one killed.
const (
	steadySeed = loadSeed
	killedSeed = loadSeed + 1
)

// pause lets the load settle between two steps.
const pause = 3 * time.Second

// play runs the scenes and prints the table.
func (s *system) play() error {
	t := &table{}
	if err := s.bringLive(t, "v1"); err != nil {
		return err
	}
	steady := s.startLoad(s.entries[0], steadySeed)
	killed := s.startLoad(s.entries[1], killedSeed)
	time.Sleep(pause)
	if err := s.rollUnderFaults(t); err != nil {
		return err
	}
	if err := s.judgeLoads(t, steady, killed); err != nil {
		return err
	}
	s.judgeStop(t)
	t.print()
	return t.failure()
}

// bringLive applies the rules for a version and waits for its replicas.
func (s *system) bringLive(t *table, version string) error {
	fmt.Printf("bringing %s %s live on %d VMs\n", model, version, s.copies)
	if err := s.operator.Apply("inventory-in.toml", s.inventory()); err != nil {
		return err
	}
	elapsed, err := s.applyVersion(version)
	if err != nil {
		return err
	}
	copiesSent, err := s.originCopies()
	if err != nil {
		return err
	}
	t.note(fmt.Sprintf("time to %d live replicas of %s", s.copies, version), elapsed.Round(10*time.Millisecond))
	t.check("copies drawn from origin and store", fmt.Sprintf("%.2f", copiesSent[version]), copiesSent[version] <= 1.05)
	return nil
}

// applyVersion makes the rule ask for a version and waits until it is live on
// all VMs.
func (s *system) applyVersion(version string) (time.Duration, error) {
	started := time.Now()
	if err := s.operator.Apply("rules-in.toml", s.rules(version)); err != nil {
		return 0, err
	}
	err := harness.Wait(startTimeout, version+" live everywhere", func() bool {
		return s.operator.Live(model, version) == s.copies
	})
	return time.Since(started), err
}

// rollUnderFaults rolls to v2 while an entry and the control leader die.
func (s *system) rollUnderFaults(t *table) error {
	fmt.Println("rolling to v2 under load; killing an entry and the control leader")
	rolled := make(chan error, 1)
	var elapsed time.Duration
	go func() {
		var err error
		elapsed, err = s.applyVersion("v2")
		rolled <- err
	}()
	time.Sleep(pause)
	_ = s.entries[1].Kill()
	leader, err := s.killLeader()
	if err != nil {
		return err
	}
	if err := <-rolled; err != nil {
		return err
	}
	t.note("time to roll to v2 with "+leader.Name+" (leader) and an entry killed", elapsed.Round(10*time.Millisecond))
	if err := s.fleet.StartDaemon(s.entries[1], "entry-2"); err != nil {
		return err
	}
	if err := s.fleet.StartDaemon(leader, leader.Name); err != nil {
		return err
	}
	return s.judgeConfig(t)
}

func (s *system) killLeader() (*harness.Daemon, error) {
	status, err := s.operator.Status()
	if err != nil {
		return nil, err
	}
	for _, d := range s.control {
		if d.Name == status.Leader {
			return d, d.Kill()
		}
	}
	return nil, errors.New("no control leader to kill")
}

// judgeConfig checks that the accepted rules are in force on every daemon,
// the restarted ones too.
func (s *system) judgeConfig(t *table) error {
	daemons := len(s.control) + len(s.entries) + len(s.agents) + 1
	var seen string
	err := harness.Wait(startTimeout, "the configuration in force everywhere", func() bool {
		status, err := s.operator.Status()
		if err != nil {
			return false
		}
		seen = fmt.Sprintf("revision %d on %d of %d daemons", status.Revision, len(status.Daemons)-len(status.Laggards), daemons)
		return len(status.Daemons) == daemons && len(status.Laggards) == 0
	})
	t.check("configuration in force everywhere", seen, err == nil)
	return nil
}

// judgeLoads checks the answers of both loads and the runs of billed jobs.
func (s *system) judgeLoads(t *table, steady, killed *load) error {
	steadyReport, err := steady.wait()
	if err != nil {
		return err
	}
	killedReport, err := killed.wait()
	if err != nil {
		return err
	}
	runs, err := s.runs()
	if err != nil {
		return err
	}
	t.check("entry-1: answers whole / not run / unknown / wrong", tally(steadyReport), len(steadyReport.Differences) == 0)
	t.check("entry-2 (killed): whole / not run / unknown / wrong", tally(killedReport), killedReport.Counts.Wrong == 0)
	t.check("answers of mixed weights", steadyReport.Counts.Mixed+killedReport.Counts.Mixed, steadyReport.Counts.Mixed+killedReport.Counts.Mixed == 0)
	for _, report := range []*replay.Report{steadyReport, killedReport} {
		found := report.CheckRuns(runs)
		t.check("billed jobs doubled / lost / wrongly not run",
			fmt.Sprintf("%d / %d / %d", found.Doubled, found.Lost, found.WronglyNotRun), found == replay.RunCheck{})
	}
	for _, d := range steadyReport.Differences {
		fmt.Printf("difference: %s: expected %s, got %s %s %s\n", d.ID, d.Expected, d.Outcome, d.Problem, d.Detail)
	}
	return nil
}

func tally(r *replay.Report) string {
	c := r.Counts
	return fmt.Sprintf("%d / %d / %d / %d", c.Completed, c.NotRun, c.Unknown, c.Wrong)
}

// judgeStop stops every daemon gracefully.
func (s *system) judgeStop(t *table) {
	fmt.Println("stopping gracefully")
	var agents, entries, control []string
	for _, a := range append(s.agents, s.plain) {
		agents = append(agents, a.Name)
	}
	for _, d := range s.entries {
		entries = append(entries, d.Name)
	}
	for _, d := range s.control {
		control = append(control, d.Name)
	}
	err := errors.Join(
		s.fleet.Stop(stopTimeout, entries...),
		s.fleet.Stop(stopTimeout, agents...),
		s.fleet.Stop(stopTimeout, control...),
	)
	seen := "all exited 0"
	if err != nil {
		seen = err.Error()
	}
	t.check("graceful stop of all daemons", seen, err == nil)
}
