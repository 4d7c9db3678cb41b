package main

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lynxgate.dev/lynxgate/internal/harness"
	"lynxgate.dev/lynxgate/internal/replay"
	"lynxgate.dev/lynxgate/internal/trace"
)

// prompt is as long as a short question of a resident.
const prompt = "the washing machine in the laundry room of the second house does not open its door any more"

// caller sends the same completion request again and again.
type caller struct {
	client *http.Client
	url    string
	body   []byte
	stream bool
	// tokens counts the events received.
	tokens atomic.Int64
}

func newCaller(client *http.Client, target, service string, maxTokens int, stream bool) *caller {
	body, err := json.Marshal(map[string]any{
		"model": service, "prompt": prompt, "max_tokens": maxTokens, "stream": stream,
	})
	if err != nil {
		panic(err)
	}
	return &caller{client: client, url: target + trace.PathCompletion, body: body, stream: stream}
}

// call sends one request and reads the whole answer.
func (c *caller) call(ctx context.Context) error {
	var token func()
	if c.stream {
		token = func() { c.tokens.Add(1) }
	}
	return harness.Complete(ctx, c.client, c.url, largeOrganisation, c.body, token)
}

// failurePause keeps a worker whose call failed from calling again at once.
const failurePause = 50 * time.Millisecond

// closedLoop keeps workers calling for a time and returns how long the calls
// took and how many failed.
func (c *caller) closedLoop(workers int, duration time.Duration) (took *hdrhistogram.Histogram, failed int) {
	var last error
	defer func() {
		if failed > 0 {
			note("%d of %d calls failed; the last one: %v", failed, failed+int(took.TotalCount()), last)
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	took = replay.NewHistogram()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for ctx.Err() == nil {
				begun := time.Now()
				err := c.call(context.WithoutCancel(ctx))
				mu.Lock()
				if err != nil {
					failed++
					last = err
				} else {
					replay.Record(took, time.Since(begun))
				}
				mu.Unlock()
				if err != nil {
					time.Sleep(failurePause)
				}
			}
		})
	}
	wg.Wait()
	return took, failed
}
