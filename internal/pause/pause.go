// Package pause provides a sleep that a context can interrupt.
package pause

import (
	"context"
	"time"
)

// For waits for d or until ctx is done, and reports whether ctx is still live.
// It does not wait if d is 0 or less.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
