package configfeed

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestConfirmerAsksAfterTheCaller checks that nobody gets the answer to a
// question asked before they came, and that many share one.
func TestConfirmerAsksAfterTheCaller(t *testing.T) {
	var accepted, asked atomic.Uint64
	c := newConfirmer(func(context.Context) (uint64, error) {
		asked.Add(1)
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
	require.Less(t, asked.Load(), uint64(callers*10), "callers share questions")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := c.do(ctx)
	require.ErrorIs(t, err, context.Canceled)
	_, err = newConfirmer(nil, time.Minute).do(context.Background())
	require.ErrorIs(t, err, errNoConfirm)
}
