package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/standin/tokens"
)

// call is one request to the engine that runs by itself.
type call struct {
	*httptest.ResponseRecorder
	aborted bool
	done    chan struct{}
	cancel  context.CancelFunc
}

// begin starts a request. In a synctest bubble its time is fake.
func begin(e *Engine, method, path, body string, headers ...string) *call {
	ctx, cancel := context.WithCancel(context.Background())
	request := httptest.NewRequest(method, path, strings.NewReader(body)).WithContext(ctx)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	c := &call{ResponseRecorder: httptest.NewRecorder(), done: make(chan struct{}), cancel: cancel}
	go func() {
		defer close(c.done)
		defer func() { c.aborted = recover() == http.ErrAbortHandler }()
		e.ServeHTTP(c, request)
	}()
	return c
}

// do runs a request to its end.
func do(e *Engine, method, path, body string, headers ...string) *call {
	c := begin(e, method, path, body, headers...)
	<-c.done
	return c
}

// load writes weights to a file and orders the engine to load them.
func load(t *testing.T, e *Engine, weights, version string, fence int) *call {
	t.Helper()
	path := filepath.Join(t.TempDir(), "weights")
	require.NoError(t, os.WriteFile(path, []byte(weights), 0o644))
	order := fmt.Sprintf(`{"model":"m","version":%q,"path":%q,"fence":%d}`, version, path, fence)
	return begin(e, http.MethodPost, "/engine/load", order)
}

// text returns what the events of a stream add up to, and whether it ended.
func text(t *testing.T, c *call) (string, bool) {
	t.Helper()
	var sum strings.Builder
	for _, line := range strings.Split(c.Body.String(), "\n") {
		data, isEvent := strings.CutPrefix(line, "data: ")
		if data == "[DONE]" {
			return sum.String(), true
		}
		if !isEvent {
			continue
		}
		var event Completion
		require.NoError(t, json.Unmarshal([]byte(data), &event))
		sum.WriteString(event.Choices[0].Text)
	}
	return sum.String(), false
}

const stream8 = `{"prompt":"hello there","max_tokens":8,"stream":true}`

func run(t *testing.T, cfg Config, test func(t *testing.T, e *Engine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		e := New(cfg)
		defer e.Close()
		test(t, e)
	})
}

func TestStreamsAndResumes(t *testing.T) {
	run(t, Config{TokenTime: time.Second}, func(t *testing.T, e *Engine) {
		require.Equal(t, http.StatusServiceUnavailable, do(e, "POST", "/v1/completions", stream8).Code)
		<-load(t, e, "w", "v1", 1).done
		digest := e.Snapshot().Digest

		start := time.Now()
		whole := do(e, "POST", "/v1/completions", stream8)
		require.Equal(t, 8*time.Second, time.Since(start), "one token a step")
		got, ended := text(t, whole)
		require.True(t, ended)
		require.Equal(t, tokens.Text(digest, "hello there", 0, 8), got)
		require.Equal(t, digest, whole.Header().Get("X-Weights-Digest"))

		rest := do(e, "POST", "/v1/completions", stream8, "X-Resume-Tokens", "5")
		got, _ = text(t, rest)
		require.Equal(t, tokens.Text(digest, "hello there", 5, 8), got)

		chat := do(e, "POST", "/v1/chat/completions", `{"messages":[{"role":"user","content":"hi"}],"max_tokens":2}`)
		var completion Completion
		require.NoError(t, json.Unmarshal(chat.Body.Bytes(), &completion))
		prompt := tokens.ChatPrompt([]tokens.Message{{Role: "user", Content: "hi"}})
		require.Equal(t, tokens.Text(digest, prompt, 0, 2), completion.Choices[0].Message.Content)
	})
}

func TestCancelFreesTheSlot(t *testing.T) {
	run(t, Config{TokenTime: time.Second, Concurrency: 1, MaxQueued: 1}, func(t *testing.T, e *Engine) {
		<-load(t, e, "w", "v1", 1).done
		first := begin(e, "POST", "/v1/completions", stream8)
		time.Sleep(1500 * time.Millisecond)
		second := begin(e, "POST", "/v1/completions", stream8)
		synctest.Wait()
		require.Equal(t, http.StatusTooManyRequests, do(e, "POST", "/v1/completions", stream8).Code)
		first.cancel()
		<-first.done
		start := time.Now()
		<-second.done
		require.Less(t, time.Since(start), 9*time.Second)
		require.True(t, first.aborted)
	})
}

func TestUnloadAndCloseCutRequests(t *testing.T) {
	unload := func(e *Engine) { do(e, "POST", "/engine/unload", `{}`) }
	for _, end := range []func(*Engine){unload, (*Engine).Close} {
		run(t, Config{TokenTime: time.Second}, func(t *testing.T, e *Engine) {
			<-load(t, e, "w", "v1", 1).done
			cut := begin(e, "POST", "/v1/completions", stream8)
			time.Sleep(2500 * time.Millisecond)
			end(e)
			<-cut.done
			got, ended := text(t, cut)
			require.True(t, cut.aborted)
			require.False(t, ended)
			require.Len(t, strings.Fields(got), 2)
			require.Equal(t, http.StatusServiceUnavailable, do(e, "POST", "/v1/completions", stream8).Code)
		})
	}
}

func TestFaults(t *testing.T) {
	run(t, Config{TokenTime: time.Second}, func(t *testing.T, e *Engine) {
		<-load(t, e, "w", "v1", 1).done
		e.SetFaults(Faults{DieAfterTokens: 3})
		cut := do(e, "POST", "/v1/completions", stream8)
		got, ended := text(t, cut)
		require.True(t, cut.aborted)
		require.False(t, ended)
		require.Len(t, strings.Fields(got), 3)

		time.Sleep(time.Second) // the step that was under way
		synctest.Wait()
		require.Equal(t, 200, do(e, "POST", "/_faults", `{"slow":10}`).Code)
		start := time.Now()
		do(e, "POST", "/v1/completions", stream8)
		require.Equal(t, 80*time.Second, time.Since(start))

		e.SetFaults(Faults{Stall: true})
		stalled := begin(e, "POST", "/v1/completions", stream8)
		time.Sleep(time.Hour)
		e.SetFaults(Faults{})
		<-stalled.done
		_, ended = text(t, stalled)
		require.True(t, ended)

		e.SetFaults(Faults{Refuse: true})
		require.Equal(t, http.StatusServiceUnavailable, do(e, "POST", "/v1/completions", stream8).Code)
		require.Equal(t, http.StatusBadRequest, do(e, "POST", "/_faults", `{"unknown":1}`).Code)
	})
}

func TestLoad(t *testing.T) {
	run(t, Config{TokenTime: time.Second, LoadTime: time.Minute}, func(t *testing.T, e *Engine) {
		missing := do(e, "POST", "/engine/load", `{"model":"m","version":"v1","path":"absent"}`)
		require.Equal(t, http.StatusBadRequest, missing.Code)
		require.Equal(t, StatusEmpty, e.Snapshot().State)

		order := load(t, e, "w", "v1", 1)
		time.Sleep(time.Second)
		require.Equal(t, StatusLoading, e.Snapshot().State)
		<-order.done
		require.Equal(t, StatusLive, e.Snapshot().State)

		// A load under a request in progress mixes its answer: keeping them
		// apart is the duty of whoever gives the order.
		caught := begin(e, "POST", "/v1/completions", stream8)
		time.Sleep(2500 * time.Millisecond)
		old := e.Snapshot().Digest
		<-load(t, e, "other", "v2", 2).done
		<-caught.done
		got, _ := text(t, caught)
		mixed := tokens.Text(old, "hello there", 0, 2) + tokens.Text(e.Snapshot().Digest, "hello there", 2, 8)
		require.Equal(t, mixed, got)

		e.SetFaults(Faults{LoadError: "out of memory"})
		failed := load(t, e, "w", "v3", 3)
		<-failed.done
		require.Equal(t, http.StatusInternalServerError, failed.Code)
		require.Equal(t, StatusEmpty, e.Snapshot().State)

		e.SetFaults(Faults{HangLoad: true})
		hung := load(t, e, "w", "v3", 3)
		time.Sleep(time.Hour)
		require.Equal(t, StatusLoading, e.Snapshot().State)
		e.SetFaults(Faults{})
		<-hung.done
		require.Equal(t, "v3", e.Snapshot().Version)
	})
}

func TestFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks=%t", checks), func(t *testing.T) {
			run(t, Config{LoadTime: time.Minute, CheckFencing: checks}, func(t *testing.T, e *Engine) {
				slow := load(t, e, "w", "old", 4)
				time.Sleep(time.Second)
				newer := load(t, e, "w", "new", 5)
				<-newer.done
				<-slow.done
				late := load(t, e, "w", "old", 4)
				<-late.done
				if !checks {
					require.Equal(t, "old", e.Snapshot().Version)
					return
				}
				require.Equal(t, "new", e.Snapshot().Version)
				for _, refused := range []*call{slow, late} {
					require.Equal(t, http.StatusConflict, refused.Code)
					require.JSONEq(t, `5`, fmt.Sprint(e.Snapshot().Fence))
				}
				role := do(e, "POST", "/engine/role", `{"role":"decode","fence":6}`)
				require.Equal(t, http.StatusOK, role.Code)
				require.Equal(t, "decode", e.Snapshot().Role)
				require.Equal(t, http.StatusConflict, do(e, "POST", "/engine/unload", `{"fence":5}`).Code)
				require.Equal(t, http.StatusOK, do(e, "POST", "/engine/unload", `{"fence":6}`).Code)
				require.Equal(t, StatusEmpty, e.Snapshot().State)
			})
		})
	}
}

func TestExportAndImport(t *testing.T) {
	run(t, Config{}, func(t *testing.T, e *Engine) {
		<-load(t, e, "w", "v1", 1).done
		prompt := words("a", 64)
		body := fmt.Sprintf(`{"prompt":%q,"max_tokens":1}`, prompt)
		do(e, "POST", "/v1/completions", body)
		exported := do(e, "POST", "/engine/kv/export", fmt.Sprintf(`{"prompt":%q}`, prompt))

		other := New(Config{})
		defer other.Close()
		imported := func() int {
			return do(other, "POST", "/engine/kv/import", exported.Body.String()).Code
		}
		require.Equal(t, http.StatusConflict, imported(), "no weights")
		<-load(t, other, "different", "v1", 1).done
		require.Equal(t, http.StatusConflict, imported(), "other weights")
		<-load(t, other, "w", "v1", 1).done
		require.Equal(t, http.StatusOK, imported())
		answer := do(other, "POST", "/v1/completions", body)
		require.Contains(t, answer.Body.String(), `"cached_tokens":64`)
		events := do(other, "GET", "/engine/cache_events?since=2", "")
		want := fmt.Sprintf(`{"seq":3,"prefix_hash":%d,"evicted":false}`, blocksOf(wordsOf(prompt))[1])
		require.Contains(t, events.Body.String(), want)
	})
}
