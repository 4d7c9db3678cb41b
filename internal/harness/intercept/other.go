//go:build !(linux && amd64)

package intercept

import (
	"os/exec"
	"time"
)

// Supported tells whether this system has interception.
const Supported = false

// Target is a started process. There are none on this system.
type Target struct{}

// Start returns ErrUnsupported.
func Start(*exec.Cmd, Redirect) (*Target, error) { return nil, ErrUnsupported }

// StepClock returns ErrUnsupported.
func (*Target) StepClock(time.Duration) error { return ErrUnsupported }

// SlowSync returns ErrUnsupported.
func (*Target) SlowSync(time.Duration) error { return ErrUnsupported }

// StallSync returns ErrUnsupported.
func (*Target) StallSync(bool) error { return ErrUnsupported }

// FailSync returns ErrUnsupported.
func (*Target) FailSync(bool) error { return ErrUnsupported }

// FillDisk returns ErrUnsupported.
func (*Target) FillDisk(bool) error { return ErrUnsupported }
