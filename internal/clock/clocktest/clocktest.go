// Package clocktest simulates suspensions and wall clock steps of a VM in tests.
package clocktest

import (
	"sync/atomic"
	"testing"
	"time"

	"lynxgate.dev/lynxgate/internal/clock"
)

// VM simulates the clocks of a VM; its monotonic clock is the real one.
type VM struct {
	start     time.Time
	suspended atomic.Int64
	stepped   atomic.Int64
}

// New returns a VM without suspensions or steps.
func New() *VM { return &VM{start: time.Now()} }

// Install replaces the clock of the process by that of a new VM for the duration of the test.
func Install(t testing.TB) *VM {
	vm := New()
	t.Cleanup(clock.Use(clock.New(vm.Source())))
	return vm
}

// Suspend advances the wall clock and the boot time, but not the monotonic clock.
func (vm *VM) Suspend(d time.Duration) { vm.suspended.Add(int64(d)) }

// Step moves the wall clock alone.
func (vm *VM) Step(d time.Duration) { vm.stepped.Add(int64(d)) }

// Source reads the VM's clocks.
func (vm *VM) Source() clock.Source {
	return clock.Source{
		Drift: func(time.Time) time.Duration {
			return time.Duration(vm.suspended.Load() + vm.stepped.Load())
		},
		Boot: func() (time.Duration, error) {
			return time.Since(vm.start) + time.Duration(vm.suspended.Load()), nil
		},
	}
}
