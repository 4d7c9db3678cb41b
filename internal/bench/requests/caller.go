package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
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
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, bytes.NewReader(c.body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+harness.Key(largeOrganisation))
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", resp.Status)
	}
	if c.stream {
		return c.readEvents(resp.Body)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

func (c *caller) readEvents(body io.Reader) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		switch text := lines.Text(); {
		case text == "data: [DONE]":
			return nil
		case strings.HasPrefix(text, "data: "):
			c.tokens.Add(1)
		}
	}
	return fmt.Errorf("stream without an end: %w", lines.Err())
}

// closedLoop keeps workers calling for a time and returns how long the calls
// took and how many failed.
func (c *caller) closedLoop(workers int, duration time.Duration) (took *hdrhistogram.Histogram, failed int) {
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
				} else {
					replay.Record(took, time.Since(begun))
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return took, failed
}
