// Package pause waits for a time, unless a context ends before it.
package pause

import (
	"context"
	"time"
)

// For waits for d, or until ctx is done. It tells whether ctx is not done; a time
// of 0 or less is no wait.
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
