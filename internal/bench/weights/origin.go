package main

import (
	"bytes"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/weights/manifest"
	"lynxgate.dev/lynxgate/internal/weights/pace"
)

const originPiece = 16 << 10

// pacedOrigin serves one version at a bounded rate, shared fairly by all
// requests, and counts the bytes of every body it sends.
type pacedOrigin struct {
	server  *httptest.Server
	link    *pace.Link
	ref     inventory.ModelVersion
	data    []byte
	encoded []byte
	sent    atomic.Int64
}

func newPacedOrigin(size, chunk int64, rate float64, seed uint64) (*pacedOrigin, error) {
	o := &pacedOrigin{data: make([]byte, size), link: pace.NewLink(rate, 0, time.Now)}
	chacha := rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8)})
	_, _ = chacha.Read(o.data)
	m, err := manifest.Build("bench", "v1", bytes.NewReader(o.data), chunk)
	if err != nil {
		return nil, err
	}
	if o.encoded, err = m.Encode(); err != nil {
		return nil, err
	}
	o.server = httptest.NewServer(o)
	o.ref = inventory.ModelVersion{
		Model: "bench", Version: "v1", Manifest: manifest.Sum(o.encoded).String(), Origin: o.server.URL,
	}
	return o, nil
}

// ServeHTTP implements http.Handler.
func (o *pacedOrigin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, status := o.encoded, http.StatusOK
	if !strings.HasSuffix(r.URL.Path, "/manifest.json") {
		var first, last int
		span := strings.TrimPrefix(r.Header.Get("Range"), "bytes=")
		a, b, _ := strings.Cut(span, "-")
		first, _ = strconv.Atoi(a)
		last, _ = strconv.Atoi(b)
		body, status = o.data[first:last+1], http.StatusPartialContent
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	for len(body) > 0 {
		n := min(originPiece, len(body))
		if o.link.Up(r.Context(), pace.Transfer, n) != nil {
			return
		}
		if _, err := w.Write(body[:n]); err != nil {
			return
		}
		o.sent.Add(int64(n))
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		body = body[n:]
	}
}

func (o *pacedOrigin) close() {
	o.server.CloseClientConnections()
	o.server.Close()
}
