// Package plain is a fake plain service. It answers any path, and counts how
// often it ran each request, so that a test sees a doubled run.
//
// State: run counts and fault settings.
package plain

import (
	"encoding/hex"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"lukechampine.com/blake3"

	"lynxgate.dev/lynxgate/internal/standin/faults"
)

// maxBody bounds a request body, in bytes.
const maxBody = 16 << 20

// Config of a plain service.
type Config struct {
	// Name is given in the answers.
	Name string
	// Latency between the start of a run and its answer.
	Latency time.Duration
	Faults  Faults
}

// Faults of a plain service.
type Faults struct {
	// DieAfterRun closes the connection of the next n requests after they
	// ran, before any answer; negative means of every request.
	DieAfterRun int `json:"die_after_run,omitempty"`
	// Stall runs the request, but answers only when the setting is cleared.
	Stall bool `json:"stall,omitempty"`
	// Refuse answers 503 without a run, with RetryAfter if that is set.
	Refuse     bool   `json:"refuse,omitempty"`
	RetryAfter string `json:"retry_after,omitempty"`
	// Slow multiplies the latency when it is above 1.
	Slow float64 `json:"slow,omitempty"`
	// Limit is named in all answers as the requests a second that it takes.
	Limit string `json:"limit,omitempty"`
	// Leaving is said in all answers.
	Leaving bool `json:"leaving,omitempty"`
}

// Answer is the body of every answer.
type Answer struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// BodyDigest is the hex BLAKE3 digest of the request body.
	BodyDigest string `json:"body_digest"`
	// Run numbers the runs of this process, from 1.
	Run uint64 `json:"run"`
}

// Runs is the answer of GET /_runs: how often each request ran.
type Runs struct {
	Total uint64 `json:"total"`
	// RequestIDs counts by header X-Request-Id.
	RequestIDs map[string]int `json:"request_ids"`
	// IdempotencyKeys counts by header Idempotency-Key.
	IdempotencyKeys map[string]int `json:"idempotency_keys"`
}

// Service is the fake. It implements http.Handler.
type Service struct {
	cfg    Config
	mux    *http.ServeMux
	faults *faults.Box[Faults]

	mu   sync.Mutex
	runs Runs
}

// New returns a service that has run nothing.
func New(cfg Config) *Service {
	s := &Service{
		cfg:    cfg,
		mux:    http.NewServeMux(),
		faults: faults.NewBox(cfg.Faults),
		runs:   Runs{RequestIDs: map[string]int{}, IdempotencyKeys: map[string]int{}},
	}
	s.mux.Handle("/_faults", s.faults)
	s.mux.HandleFunc("GET /_runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Runs()) })
	s.mux.HandleFunc("GET /_health", func(http.ResponseWriter, *http.Request) {})
	s.mux.HandleFunc("/", s.serve)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the fault settings.
func (s *Service) SetFaults(f Faults) { s.faults.Set(f) }

// Runs returns a copy of the counts.
func (s *Service) Runs() Runs {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Runs{
		Total:           s.runs.Total,
		RequestIDs:      maps.Clone(s.runs.RequestIDs),
		IdempotencyKeys: maps.Clone(s.runs.IdempotencyKeys),
	}
}

// serve runs one request. The run counts from its start: the work goes on
// when the caller leaves.
func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	f := s.faults.Get()
	faults.NameLimit(w.Header(), f.Limit)
	faults.SayLeaving(w.Header(), f.Leaving)
	if f.Refuse {
		if f.RetryAfter != "" {
			w.Header().Set("Retry-After", f.RetryAfter)
		}
		http.Error(w, "refused by fault setting", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	run := s.count(r)
	time.Sleep(time.Duration(float64(s.cfg.Latency) * max(1, f.Slow)))
	if s.dies() {
		panic(http.ErrAbortHandler)
	}
	answers := func(f Faults) bool { return !f.Stall }
	if err := s.faults.Wait(r.Context(), answers); err != nil {
		panic(http.ErrAbortHandler)
	}
	digest := blake3.Sum256(body)
	writeJSON(w, Answer{
		Service: s.cfg.Name, Method: r.Method, Path: r.URL.Path,
		BodyDigest: hex.EncodeToString(digest[:]), Run: run,
	})
}

// count records a run and returns its number.
func (s *Service) count(r *http.Request) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs.Total++
	if id := r.Header.Get("X-Request-Id"); id != "" {
		s.runs.RequestIDs[id]++
	}
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		s.runs.IdempotencyKeys[key]++
	}
	return s.runs.Total
}

// dies takes one death from the setting.
func (s *Service) dies() bool {
	if s.faults.Get().DieAfterRun == 0 {
		return false
	}
	dies := false
	s.faults.Update(func(f *Faults) {
		dies = f.DieAfterRun != 0
		if f.DieAfterRun > 0 {
			f.DieAfterRun--
		}
	})
	return dies
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
