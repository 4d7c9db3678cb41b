//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"lynxgate.dev/lynxgate/platform/standin"
)

// bed is a running fleet: control servers, entries and, beside stand-ins of model engines, agents.
type bed struct {
	*record
	fleet   *standin.Fleet
	engines []*standin.Worker
	plain   []*standin.Worker
	version int
	// document returns the operator's configuration of a version.
	document func(version int) []byte
}

// newBed returns a bed below a temporary folder that runs the programs that the deploy file builds.
func newBed(r *record, dir string) (*bed, error) {
	f, err := standin.NewFleet(dir, filepath.Join("target"))
	if err != nil {
		return nil, err
	}
	return &bed{record: r, fleet: f}, nil
}

// startDaemons starts control servers and entries, and puts the first configuration in force.
func (b *bed) startDaemons(ctx context.Context, controls, entries int) error {
	b.fleet.AddControls(controls)
	b.fleet.AddEntries(entries)
	for _, ip := range b.fleet.Controls {
		if _, err := b.fleet.StartControl(ip, true); err != nil {
			return err
		}
	}
	for _, ip := range b.fleet.Entries {
		if _, err := b.fleet.StartEntry(ip); err != nil {
			return err
		}
	}
	return b.configure(ctx)
}

// configure sends the next configuration until it is acknowledged.
func (b *bed) configure(ctx context.Context) error {
	b.version++
	status, _, err := b.fleet.Operate(ctx, http.MethodPut, "/lynxgate/config", b.document(b.version))
	b.logf("operator: configuration %d: status %d, %v", b.version, status, err)
	if err == nil && status != http.StatusOK {
		return fmt.Errorf("configuration %d: status %d", b.version, status)
	}
	return err
}

// addEngine starts a model engine with its agent.
func (b *bed) addEngine(name string, change func(*standin.Worker)) error {
	ip := b.fleet.IP()
	w := &standin.Worker{
		ID: "i-" + name, Service: standin.ModelService, Zone: standin.Zone, Addr: standin.WorkerAddr(ip), Slots: 8, Queue: 16,
		Model: standin.Model, Version: 1, Control: b.fleet.ControlAddrs,
	}
	change(w)
	if err := w.Start(); err != nil {
		return err
	}
	b.engines = append(b.engines, w)
	_, err := b.fleet.StartAgent("agent-"+name, ip, standin.ModelService)
	return err
}

// addPlain starts a backend server of the plain service.
func (b *bed) addPlain(name string, change func(*standin.Worker)) error {
	w := &standin.Worker{
		ID: "i-" + name, Service: standin.PlainService, Zone: standin.Zone, Addr: standin.WorkerAddr(b.fleet.IP()), Slots: 8, Queue: 16,
		Pause: 20 * time.Millisecond, Control: b.fleet.ControlAddrs,
	}
	change(w)
	b.plain = append(b.plain, w)
	return w.Start()
}

// close ends all processes and stand-ins.
func (b *bed) close() {
	for _, w := range append(b.engines, b.plain...) {
		w.Stop()
	}
	b.fleet.Close()
}

// keepLogs copies the daemons' logs into a folder, for the reader of a failure.
func (b *bed) keepLogs(to string) {
	if to == "" {
		return
	}
	logs, _ := filepath.Glob(filepath.Join(b.fleet.Dir, "*.log"))
	for _, path := range logs {
		if data, err := os.ReadFile(path); err == nil {
			_ = os.WriteFile(filepath.Join(to, filepath.Base(path)), data, 0o644)
		}
	}
}
