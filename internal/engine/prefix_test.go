package engine_test

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
	"time"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/engine"
	standin "lynxgate.dev/lynxgate/internal/standin/engine"
)

// The hash of a long prompt must appear in the cache events of a fake engine
// that has served it.
func TestPrefixHashMatchesEngineCacheEvents(t *testing.T) {
	fake := standin.New(standin.Config{})
	defer fake.Close()
	server := httptest.NewServer(fake)
	defer server.Close()
	weights := filepath.Join(t.TempDir(), "weights")
	require.NoError(t, os.WriteFile(weights, []byte("w"), 0o600))
	client := engine.New(strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, client.Load(context.Background(), engine.LoadOrder{Model: "m", Version: "v1", Path: weights, Fence: 1}))

	messages := []engine.Message{{Role: "system", Content: strings.Repeat("template ", 63)}, {Role: "user", Content: "and a question of its own"}}
	text, err := json.Marshal(messages)
	require.NoError(t, err)
	body := fmt.Sprintf(`{"model":"m","messages":%s,"max_tokens":2}`, text)
	resp, err := http.Post(server.URL+"/v1/chat/completions", "application/json", strings.NewReader(body))
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)

	want := engine.PrefixHash(engine.ChatPrompt(messages))
	require.Eventually(t, func() bool {
		events, err := client.CacheEvents(context.Background(), 0)
		require.NoError(t, err)
		for _, event := range events {
			if event.PrefixHash == want && !event.Evicted {
				return true
			}
		}
		return false
	}, 30*time.Second, 10*time.Millisecond)
}

func TestPrefixHashDependsOnlyOnPrefix(t *testing.T) {
	words := strings.Fields(strings.Repeat("a b c d ", 20))
	prefix := strings.Join(words[:64], " ")
	require.Equal(t, engine.PrefixHash(prefix+" one end"), engine.PrefixHash(prefix+" another end"))
	require.NotEqual(t, engine.PrefixHash(prefix), engine.PrefixHash("x "+prefix))
	require.Zero(t, engine.PrefixHash("too short for a block"))
}
