package main

import (
	"fmt"
	"time"

	"lynxgate.dev/lynxgate/internal/controlclient"
	"lynxgate.dev/lynxgate/internal/inventory"
)

const (
	// changeGap is the time between two changes: long enough that no daemon
	// announces two revisions together.
	changeGap = controlclient.DefaultMinGap + 500*time.Millisecond
	// restarts of agents that are measured.
	restarts = 3
	// restartTail is the time after a restart that still belongs to it.
	restartTail = 3 * time.Second
	// keyStep model records are added at a time to see what a key costs.
	keyStep  = 1500
	keySteps = 2
)

// measureFleet measures a fleet with three control servers that grows.
func measureFleet(cfg config, r *results) error {
	f, err := startFleet(cfg, "three", 3)
	if err != nil {
		return err
	}
	defer f.KillAll()
	var idle bill
	for _, size := range cfg.sizes {
		if idle, err = f.measureSize(cfg, r, size); err != nil {
			return fmt.Errorf("size %d: %w", size, err)
		}
	}
	if len(cfg.sizes) == 0 {
		return nil
	}
	return f.measureRestarts(r, idle)
}

// measureWide measures a fleet with five control servers, and then what the
// number of keys costs.
func measureWide(cfg config, r *results) error {
	if len(cfg.wide) == 0 {
		return nil
	}
	f, err := startFleet(cfg, "five", 5)
	if err != nil {
		return err
	}
	defer f.KillAll()
	for _, size := range cfg.wide {
		if _, err := f.measureSize(cfg, r, size); err != nil {
			return fmt.Errorf("size %d: %w", size, err)
		}
	}
	return f.measureKeys(cfg, r)
}

// measureSize measures the fleet at one size, idle and with changes.
func (f *fleet) measureSize(cfg config, r *results, size int) (bill, error) {
	if err := f.grow(size); err != nil {
		return nil, err
	}
	idle, err := f.idle(cfg.window)
	if err != nil {
		return nil, err
	}
	changed, err := f.measure(func() error { return f.change(cfg.changes) })
	if err != nil {
		return nil, err
	}
	s := sizeResult{Servers: len(f.control), Entries: len(f.entries), Agents: len(f.agents), Idle: idle, Change: bill{}}
	for _, role := range roles {
		s.Change[role] = changed[role].above(idle[role], cfg.changes)
	}
	r.Sizes = append(r.Sizes, s)
	fmt.Printf("  %d control servers, %d entries, %d agents: leader %.2f%%, entry %.2f%%, agent %.2f%% of a core\n",
		s.Servers, s.Entries, s.Agents, percent(idle[leader]), percent(idle[entry]), percent(idle[agent]))
	return idle, nil
}

func percent(u usage) float64 { return 100 * u.OSCPU / u.Seconds }

// change makes n changes of one record and waits until announcements of the
// last one are over.
func (f *fleet) change(n int) error {
	for range n {
		err := f.apply(inventory.Inventory{Organisations: []inventory.Organisation{f.organisation()}})
		if err != nil {
			return err
		}
		time.Sleep(changeGap)
	}
	return nil
}

// measureRestarts restarts agents one after another. What the restarted ones
// used is all that their new processes count; the others' is what lies above
// their idle use.
func (f *fleet) measureRestarts(r *results, idle bill) error {
	n := min(restarts, len(f.agents)/2)
	if n == 0 {
		return nil
	}
	restarted := f.agents[len(f.agents)-n:]
	f.agents = f.agents[:len(f.agents)-n]
	others, err := f.measure(func() error {
		for _, a := range restarted {
			if err := a.Stop(settleTimeout); err != nil {
				return err
			}
			if err := f.StartDaemon(a.Daemon, a.Name); err != nil {
				return err
			}
			time.Sleep(restartTail)
		}
		return nil
	})
	if err != nil {
		return err
	}
	out := &restartResult{Servers: len(f.control), Entries: len(f.entries), Agents: len(f.agents) + n, Others: bill{}}
	var own []usage
	for _, a := range restarted {
		now, err := read(a.Daemon, true)
		if err != nil {
			return err
		}
		u := between(reading{at: now.at}, now)
		u.Seconds = restartTail.Seconds()
		own = append(own, u)
	}
	f.agents = append(f.agents, restarted...)
	out.Agent = mean(own)
	for _, role := range roles {
		out.Others[role] = others[role].above(idle[role], n)
	}
	r.Restart = out
	return nil
}

// measureKeys adds records and sees what memory they take and how the cost of
// a change grows with them.
func (f *fleet) measureKeys(cfg config, r *results) error {
	for step := range keySteps + 1 {
		if step > 0 {
			if err := f.apply(manyModels(step)); err != nil {
				return err
			}
			if err := f.settleQuietly(); err != nil {
				return err
			}
		}
		changed, err := f.measure(func() error { return f.change(cfg.changes) })
		if err != nil {
			return err
		}
		r.Keys = append(r.Keys, keyResult{Keys: step * keyStep, Changing: changed, Changes: cfg.changes})
	}
	return nil
}

// manyModels are as many model records as one step adds; each is about as
// large as the record of an assignment.
func manyModels(step int) inventory.Inventory {
	const digest = "6b86b273ff34fce19d6b804eff5a3f5747ada4eaa22f1d49c01e52ddb7875b4b"
	var inv inventory.Inventory
	for i := range keyStep {
		inv.Models = append(inv.Models, inventory.ModelVersion{
			Model:    "filler",
			Version:  fmt.Sprintf("v%d-%d", step, i),
			Manifest: digest,
			Origin:   "http://192.0.2.10:9000/weights",
		})
	}
	return inv
}
