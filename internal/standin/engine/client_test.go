package engine_test

import (
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	client "lynxgate.dev/lynxgate/internal/engine"
	"lynxgate.dev/lynxgate/internal/standin/engine"
)

// The agent's client and the fake engine understand each other.
func TestClientOfTheAgent(t *testing.T) {
	fake := engine.New(engine.Config{CheckFencing: true})
	defer fake.Close()
	server := httptest.NewServer(fake)
	defer server.Close()
	c := client.New(strings.TrimPrefix(server.URL, "http://"))
	ctx := context.Background()
	path := filepath.Join(t.TempDir(), "weights")
	require.NoError(t, os.WriteFile(path, []byte("weights"), 0o644))
	digest, err := engine.DigestPath(path)
	require.NoError(t, err)

	require.NoError(t, c.Load(ctx, client.LoadOrder{Model: "m", Version: "v1", Path: path, Fence: 5}))
	state, err := c.State(ctx)
	require.NoError(t, err)
	require.Equal(t, client.State{
		State: client.StateLive, Model: "m", Version: "v1", Digest: digest, Role: "mixed",
		Concurrency: engine.DefaultConcurrency, Fence: 5,
	}, state)

	var stale *client.StaleFenceError
	require.ErrorAs(t, c.Unload(ctx, 4), &stale)
	require.Equal(t, client.StaleFenceError{Ordered: 4, Current: 5}, *stale)

	body := strings.NewReader(`{"max_tokens":1,"prompt":"` + strings.Repeat("w ", 16) + `"}`)
	response, err := server.Client().Post(server.URL+"/v1/completions", "application/json", body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	events, err := c.CacheEvents(ctx, 0)
	require.NoError(t, err)
	require.Len(t, events, 1)
	require.NotZero(t, events[0].PrefixHash)
	require.False(t, events[0].Evicted)
}
