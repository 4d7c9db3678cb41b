//go:build !linux

package clock

import (
	"errors"
	"time"
)

// bootTime is implemented on Linux only.
func bootTime() (time.Duration, error) { return 0, errors.ErrUnsupported }
