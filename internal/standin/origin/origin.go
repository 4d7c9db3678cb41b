// Package origin is a fake origin of weights. It serves weights and their
// manifests over HTTP with ranges, at the rate of one shared link, and counts
// the bytes it sends.
//
// State: the weights (fixed at start), byte counters and fault settings.
package origin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"lynxgate.dev/lynxgate/internal/standin/faults"
)

const (
	// DefaultChunkSize of manifests, in bytes.
	DefaultChunkSize = 1 << 20
	// minBurst is the least burst of the link in bytes; it must cover one
	// write of http.ServeContent.
	minBurst = 64 << 10
	// burstsPerSecond sets the burst of a fast link: rate/burstsPerSecond.
	burstsPerSecond = 100
)

// Config of an origin.
type Config struct {
	// Dir holds {model}/{version}/weights files; may be empty.
	Dir string
	// Generated weights, besides those in Dir.
	Generated []Generated
	// ChunkSize of manifests in bytes; 0 means DefaultChunkSize.
	ChunkSize int64
	// LinkBytesPerSecond is shared by all transfers; 0 means no limit.
	LinkBytesPerSecond float64
	// Seed decides which responses a fault hits.
	Seed   uint64
	Faults Faults
}

// Faults of an origin. Shares are fractions, 0 to 1, of weights responses.
type Faults struct {
	// Corrupt flips a byte of the response.
	Corrupt float64 `json:"corrupt,omitempty"`
	// Stall sends half of the response, then nothing until the caller goes.
	Stall float64 `json:"stall,omitempty"`
	// Die sends half of the response, then closes the connection.
	Die float64 `json:"die,omitempty"`
	// Refuse answers 503 to everything.
	Refuse bool `json:"refuse,omitempty"`
	// Slow divides the rate of the link when it is above 1.
	Slow float64 `json:"slow,omitempty"`
}

// VersionInfo names one set of weights that the origin serves.
type VersionInfo struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Size    int64  `json:"size"`
	// Manifest is the hex BLAKE3 digest of manifest.json.
	Manifest string `json:"manifest"`
	// Digest is the hex BLAKE3 digest of the weights.
	Digest string `json:"digest"`
}

// Bytes is the answer of GET /_bytes: bytes sent since the start.
type Bytes struct {
	// Weights bytes by "model@version".
	Weights map[string]int64 `json:"weights"`
	// Manifests counts manifest bytes of all versions.
	Manifests int64 `json:"manifests"`
	// Requests counts requests for weights by "model@version".
	Requests map[string]int64 `json:"requests"`
}

// Origin is the fake. It implements http.Handler.
type Origin struct {
	cfg      Config
	mux      *http.ServeMux
	versions map[string]*weights // by "model/version"
	faults   *faults.Box[Faults]
	link     *rate.Limiter

	mu    sync.Mutex
	bytes Bytes
	draws uint64 // responses that drew a fault so far
}

// New reads or makes all weights; this takes time in proportion to their size.
func New(cfg Config) (*Origin, error) {
	if cfg.ChunkSize <= 0 {
		cfg.ChunkSize = DefaultChunkSize
	}
	o := &Origin{
		cfg:      cfg,
		mux:      http.NewServeMux(),
		versions: make(map[string]*weights),
		faults:   faults.NewBox(cfg.Faults),
		link:     newLink(cfg.LinkBytesPerSecond),
		bytes:    Bytes{Weights: map[string]int64{}, Requests: map[string]int64{}},
	}
	if err := o.load(); err != nil {
		return nil, err
	}
	o.mux.HandleFunc("GET /{model}/{version}/manifest.json", o.serveManifest)
	o.mux.HandleFunc("GET /{model}/{version}/manifest.digest", o.serveManifestDigest)
	o.mux.HandleFunc("GET /{model}/{version}/weights", o.serveWeights)
	o.mux.HandleFunc("GET /_bytes", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, o.Bytes()) })
	o.mux.HandleFunc("GET /_versions", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, o.Versions()) })
	o.mux.Handle("/_faults", o.faults)
	return o, nil
}

// newLink returns the limiter of the link.
func newLink(bytesPerSecond float64) *rate.Limiter {
	if bytesPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	burst := max(minBurst, int(bytesPerSecond/burstsPerSecond))
	return rate.NewLimiter(rate.Limit(bytesPerSecond), burst)
}

// load fills versions.
func (o *Origin) load() error {
	var all []*weights
	for _, g := range o.cfg.Generated {
		made, err := loadGenerated(g, o.cfg.ChunkSize)
		if err != nil {
			return err
		}
		all = append(all, made...)
	}
	if o.cfg.Dir != "" {
		read, err := loadFolder(o.cfg.Dir, o.cfg.ChunkSize)
		if err != nil {
			return err
		}
		all = append(all, read...)
	}
	for _, w := range all {
		o.versions[w.info.Model+"/"+w.info.Version] = w
	}
	return nil
}

// Versions lists what the origin serves, sorted by model and version.
func (o *Origin) Versions() []VersionInfo {
	infos := make([]VersionInfo, 0, len(o.versions))
	for _, w := range o.versions {
		infos = append(infos, w.info)
	}
	slices.SortFunc(infos, func(a, b VersionInfo) int {
		return strings.Compare(a.Model+"/"+a.Version, b.Model+"/"+b.Version)
	})
	return infos
}

// Bytes returns a copy of the counters.
func (o *Origin) Bytes() Bytes {
	o.mu.Lock()
	defer o.mu.Unlock()
	counts := Bytes{Weights: map[string]int64{}, Manifests: o.bytes.Manifests, Requests: map[string]int64{}}
	for version, n := range o.bytes.Weights {
		counts.Weights[version] = n
	}
	for version, n := range o.bytes.Requests {
		counts.Requests[version] = n
	}
	return counts
}

// SetFaults replaces the fault settings.
func (o *Origin) SetFaults(f Faults) { o.faults.Set(f) }

// ServeHTTP implements http.Handler.
func (o *Origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if o.faults.Get().Refuse && r.URL.Path != "/_faults" && r.URL.Path != "/_bytes" {
		http.Error(w, "refused by fault setting", http.StatusServiceUnavailable)
		return
	}
	o.mux.ServeHTTP(w, r)
}

// find returns the weights that the request names, or answers 404.
func (o *Origin) find(w http.ResponseWriter, r *http.Request) *weights {
	found := o.versions[r.PathValue("model")+"/"+r.PathValue("version")]
	if found == nil {
		http.Error(w, "no such model version", http.StatusNotFound)
	}
	return found
}

func (o *Origin) serveManifest(w http.ResponseWriter, r *http.Request) {
	found := o.find(w, r)
	if found == nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Manifest-Digest", found.info.Manifest)
	n, _ := w.Write(found.manifest)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.bytes.Manifests += int64(n)
}

func (o *Origin) serveManifestDigest(w http.ResponseWriter, r *http.Request) {
	if found := o.find(w, r); found != nil {
		_, _ = fmt.Fprintln(w, found.info.Manifest)
	}
}

func (o *Origin) serveWeights(w http.ResponseWriter, r *http.Request) {
	found := o.find(w, r)
	if found == nil {
		return
	}
	version := found.info.Model + "@" + found.info.Version
	out := &linkWriter{ResponseWriter: w, origin: o, request: r, version: version, damage: o.draw(version)}
	w.Header().Set("Content-Type", "application/octet-stream")
	content := io.NewSectionReader(found.content, 0, found.info.Size)
	http.ServeContent(out, r, "", time.Time{}, content)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
