package main

import (
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/standin/plain"
)

func TestReplay(t *testing.T) {
	service := plain.New(plain.Config{Name: "layout-assets"})
	server := httptest.NewServer(service)
	defer server.Close()
	trace := filepath.Join(t.TempDir(), "trace.jsonl")
	require.NoError(t, os.WriteFile(trace, []byte(
		`{"id":"r1","offset_ms":0,"organisation":"studio","service":"layout-assets","method":"POST","path":"/services/layout-assets/proofs","body":"x","idempotency_key":"k1","expect":"at-most-once"}
{"id":"r2","offset_ms":5,"organisation":"studio","service":"layout-assets","method":"POST","path":"/services/layout-assets/preview","body":"y","expect":"answered-whole"}
`), 0o600))

	status, stdout, stderr := runWith(nil, "replay", "-entries", server.URL, "-plain", server.URL, trace)
	require.Equal(t, exitOK, status, stdout+stderr)
	require.Contains(t, stdout, "runs: doubled 0, lost 0, wrongly not run 0")

	server.Close()
	status, stdout, _ = runWith(nil, "replay", "-entries", server.URL, trace)
	require.Equal(t, exitFailed, status)
	require.Regexp(t, `(?m)^r2 +answered-whole +not run`, stdout)
	status, stdout, _ = runWith(nil, "replay", "-o", "json", "-entries", server.URL, trace)
	require.Equal(t, exitFailed, status)
	var out replayOutput
	require.NoError(t, json.Unmarshal([]byte(stdout), &out))
	require.False(t, out.OK)
	require.Equal(t, "r2", out.Differences[0].ID, "the request that had to be answered whole")
}

func TestReplayRefusesBadInput(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "trace.jsonl")
	require.NoError(t, os.WriteFile(broken, []byte("{}\n"), 0o600))
	cases := map[string]struct {
		args []string
		text string
	}{
		"no trace":   {[]string{"-entries", "http://127.0.0.1:1"}, "one trace file"},
		"no entries": {[]string{broken}, "needs -entries"},
		"host name":  {[]string{"-entries", "http://localhost:1", broken}, "must name IP:port"},
		"not a URL":  {[]string{"-entries", "127.0.0.1:1", broken}, "is not a URL"},
		"speed":      {[]string{"-entries", "http://127.0.0.1:1", "-speed", "0", broken}, "above 0"},
		"digest":     {[]string{"-entries", "http://127.0.0.1:1", "-digest", "abc", broken}, "is not SERVICE=HEX"},
		"trace":      {[]string{"-entries", "http://127.0.0.1:1", broken}, "line 1: "},
		"no keys":    {[]string{"-entries", "http://127.0.0.1:1", "-keys", "missing.toml", broken}, "missing.toml"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			status, _, stderr := runWith(nil, append([]string{"replay"}, c.args...)...)
			require.Equal(t, exitBadInput, status)
			require.Contains(t, stderr, c.text)
		})
	}
}
