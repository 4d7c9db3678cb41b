package manifest

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "lynxgate.dev/lynxgate/internal/testseed" // the same schedules every run
)

func TestEncodeParseRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOfN(rapid.Byte(), 1, 2000).Draw(t, "data")
		chunkSize := rapid.Int64Range(1, 700).Draw(t, "chunk size")
		m, err := Build("model", "v1", bytes.NewReader(data), chunkSize)
		require.NoError(t, err)
		encoded, err := m.Encode()
		require.NoError(t, err)
		parsed, err := ParseVerified(encoded, Sum(encoded))
		require.NoError(t, err)
		require.Equal(t, m, parsed)
		total := 0
		for i, d := range parsed.Chunks {
			chunk := data[parsed.Offset(i):][:parsed.ChunkLen(i)]
			require.Equal(t, d, Sum(chunk))
			total += len(chunk)
		}
		require.Equal(t, len(data), total)
		require.Equal(t, Sum(data), parsed.Digest)
	})
}

func TestParseRefuses(t *testing.T) {
	m, err := Build("model", "v1", strings.NewReader("some weights"), 5)
	require.NoError(t, err)
	good, err := m.Encode()
	require.NoError(t, err)
	edit := func(change func(map[string]any)) []byte {
		var fields map[string]any
		require.NoError(t, json.Unmarshal(good, &fields))
		change(fields)
		data, err := json.Marshal(fields)
		require.NoError(t, err)
		return data
	}
	cases := map[string][]byte{
		"unknown field":     edit(func(f map[string]any) { f["extra"] = 1 }),
		"data after end":    append(bytes.Clone(good), "{}"...),
		"size too small":    edit(func(f map[string]any) { f["size"] = 5 }),
		"size zero":         edit(func(f map[string]any) { f["size"] = 0 }),
		"size negative":     edit(func(f map[string]any) { f["size"] = -1 }),
		"chunk size zero":   edit(func(f map[string]any) { f["chunk_size"] = 0 }),
		"chunk size huge":   edit(func(f map[string]any) { f["chunk_size"] = MaxChunkSize + 1 }),
		"path in version":   edit(func(f map[string]any) { f["version"] = "../v1" }),
		"empty model":       edit(func(f map[string]any) { f["model"] = "" }),
		"short digest":      edit(func(f map[string]any) { f["digest"] = "abcd" }),
		"chunk not a hex":   edit(func(f map[string]any) { f["chunks"] = []string{"x", "y", "z"} }),
		"one chunk missing": edit(func(f map[string]any) { f["chunks"] = f["chunks"].([]any)[1:] }),
		"no JSON":           []byte("weights"),
	}
	for name, data := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(data)
			require.ErrorIs(t, err, ErrInvalid)
		})
	}
	_, err = ParseVerified(good, Sum([]byte("other")))
	require.ErrorIs(t, err, ErrDigest)
}

func FuzzParse(f *testing.F) {
	m, err := Build("model", "v1", strings.NewReader("some weights"), 5)
	require.NoError(f, err)
	good, err := m.Encode()
	require.NoError(f, err)
	f.Add(good)
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Parse(data)
		if err != nil {
			return
		}
		var total int64
		for i := range m.Chunks {
			require.Positive(t, m.ChunkLen(i))
			total += int64(m.ChunkLen(i))
		}
		require.Equal(t, m.Size, total)
	})
}
