package origin_test

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"lukechampine.com/blake3"

	"lynxgate.dev/lynxgate/internal/standin/origin"
)

const (
	size      = 100_000
	chunkSize = 4096
)

func config() origin.Config {
	return origin.Config{
		Generated: []origin.Generated{{
			Model: "m", Versions: []string{"v1", "v2"}, Size: size, Seed: 7, SharedFraction: 0.5,
		}},
		ChunkSize: chunkSize,
	}
}

func start(t *testing.T, cfg origin.Config) (*origin.Origin, string) {
	t.Helper()
	o, err := origin.New(cfg)
	require.NoError(t, err)
	server := httptest.NewServer(o)
	t.Cleanup(server.Close)
	return o, server.URL
}

// get returns status and body; the error is that of reading the body.
func get(t *testing.T, url, byteRange string) (int, []byte, error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, url, nil)
	require.NoError(t, err)
	if byteRange != "" {
		request.Header.Set("Range", byteRange)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

func digest(data []byte) string {
	sum := blake3.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func manifest(t *testing.T, url string) (origin.Manifest, string) {
	t.Helper()
	_, body, err := get(t, url+"/manifest.json", "")
	require.NoError(t, err)
	var m origin.Manifest
	require.NoError(t, json.Unmarshal(body, &m))
	return m, digest(body)
}

func TestManifestMatchesWeights(t *testing.T) {
	o, url := start(t, config())
	m, manifestDigest := manifest(t, url+"/m/v1")
	require.Equal(t, o.Versions()[0].Manifest, manifestDigest)
	status, whole, err := get(t, url+"/m/v1/weights", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, m.Digest, digest(whole))
	require.Len(t, m.Chunks, (size+chunkSize-1)/chunkSize)
	last := len(m.Chunks) - 1
	for _, i := range []int{0, last} {
		from, to := i*chunkSize, min((i+1)*chunkSize, size)
		status, part, err := get(t, url+"/m/v1/weights", fmt.Sprintf("bytes=%d-%d", from, to-1))
		require.NoError(t, err)
		require.Equal(t, http.StatusPartialContent, status)
		require.Equal(t, m.Chunks[i], digest(part))
	}
	lastSize := size - last*chunkSize
	require.Equal(t, int64(size+chunkSize+lastSize), o.Bytes().Weights["m@v1"])
	status, _, _ = get(t, url+"/m/v9/weights", "")
	require.Equal(t, http.StatusNotFound, status)
}

func TestVersionsShareChunksAndRepeat(t *testing.T) {
	_, url := start(t, config())
	_, again := start(t, config())
	v1, first := manifest(t, url+"/m/v1")
	_, second := manifest(t, again+"/m/v1")
	require.Equal(t, first, second, "the same settings give the same weights")
	v2, _ := manifest(t, url+"/m/v2")
	shared := 0
	for i := range v1.Chunks {
		if v1.Chunks[i] == v2.Chunks[i] {
			shared++
		}
	}
	require.InDelta(t, 0.5, float64(shared)/float64(len(v1.Chunks)), 0.3)
}

func TestServesFolder(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.MkdirAll(filepath.Join(dir, "m", "v3"), 0o755))
	require.NoError(t, os.WriteFile(filepath.Join(dir, "m", "v3", "weights"), []byte("weights"), 0o644))
	o, url := start(t, origin.Config{Dir: dir})
	_, body, err := get(t, url+"/m/v3/weights", "")
	require.NoError(t, err)
	require.Equal(t, "weights", string(body))
	require.Equal(t, digest(body), o.Versions()[0].Digest)
}

func TestFaults(t *testing.T) {
	o, url := start(t, config())
	url += "/m/v1"
	m, _ := manifest(t, url)

	o.SetFaults(origin.Faults{Corrupt: 1})
	_, body, err := get(t, url+"/weights", "")
	require.NoError(t, err)
	require.Len(t, body, size)
	require.NotEqual(t, m.Digest, digest(body))

	o.SetFaults(origin.Faults{Die: 1})
	_, body, err = get(t, url+"/weights", "")
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Len(t, body, size/2)

	o.SetFaults(origin.Faults{Refuse: true})
	status, _, _ := get(t, url+"/weights", "")
	require.Equal(t, http.StatusServiceUnavailable, status)
}

// serve runs one request for weights in the bubble and returns its recorder.
func serve(ctx context.Context, o *origin.Origin, version string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodGet, "/m/"+version+"/weights", nil)
	defer func() { _ = recover() }() // http.ErrAbortHandler
	o.ServeHTTP(recorder, request.WithContext(ctx))
	return recorder
}

func TestTransfersShareTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := config()
		cfg.LinkBytesPerSecond = 1000
		o, err := origin.New(cfg)
		require.NoError(t, err)
		transfer := func() time.Duration {
			start := time.Now()
			var both sync.WaitGroup
			for _, version := range []string{"v1", "v2"} {
				both.Go(func() { serve(context.Background(), o, version) })
			}
			both.Wait()
			return time.Since(start)
		}
		transfer() // takes the burst
		require.InDelta(t, 2*size/1000, transfer().Seconds(), 1)
		o.SetFaults(origin.Faults{Slow: 3})
		require.InDelta(t, 3*2*size/1000, transfer().Seconds(), 1)
	})
}

func TestStalledTransferWaitsForTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := config()
		cfg.Faults.Stall = 1
		o, err := origin.New(cfg)
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
		defer cancel()
		start := time.Now()
		serve(ctx, o, "v1")
		require.Equal(t, time.Hour, time.Since(start))
		require.Equal(t, int64(size/2), o.Bytes().Weights["m@v1"])
	})
}
