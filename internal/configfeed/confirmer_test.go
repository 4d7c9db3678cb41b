package configfeed

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestConfirmerReadsAfterCallerArrives checks that no caller gets the result of a
// read that began before its call, and that callers share reads.
func TestConfirmerReadsAfterCallerArrives(t *testing.T) {
	var accepted, reads atomic.Uint64
	c := newConfirmer(func(context.Context) (uint64, error) {
		reads.Add(1)
		revision := accepted.Load()
		time.Sleep(2 * time.Millisecond)
		return revision, nil
	}, time.Minute)
	var wg sync.WaitGroup
	const callers = 50
	for range callers {
		wg.Go(func() {
			for range 10 {
				before := accepted.Add(1)
				revision, err := c.do(context.Background())
				require.NoError(t, err)
				require.GreaterOrEqual(t, revision, before)
			}
		})
	}
	wg.Wait()
	require.Less(t, reads.Load(), uint64(callers*10), "callers share reads")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := c.do(ctx)
	require.ErrorIs(t, err, context.Canceled)
	_, err = newConfirmer(nil, time.Minute).do(context.Background())
	require.ErrorIs(t, err, errNoConfirm)
}
