// Package clocktest moves the clocks of a VM apart, for tests.
package clocktest

import (
	"sync/atomic"
	"testing"
	"time"

	"lynxgate.dev/lynxgate/internal/clock"
)

// VM is a VM whose clocks a test moves; the steady clock is the real one.
type VM struct {
	start     time.Time
	suspended atomic.Int64
	stepped   atomic.Int64
}

// New returns a VM whose clocks agree.
func New() *VM { return &VM{start: time.Now()} }

// Install makes the clocks of a VM those of the process until the test has ended.
func Install(t testing.TB) *VM {
	vm := New()
	t.Cleanup(clock.Use(clock.New(vm.Source())))
	return vm
}

// Suspend lets this time pass without the steady clock.
func (vm *VM) Suspend(d time.Duration) { vm.suspended.Add(int64(d)) }

// Step moves the time of day alone.
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
