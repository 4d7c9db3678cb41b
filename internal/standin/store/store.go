// Package store is a fake weight store: the files of an origin behind a limit
// of requests. Beyond the limit it answers 429 with Retry-After, and now and
// then 503.
package store

import (
	"fmt"
	"math"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Config of a store.
type Config struct {
	// RequestsPerSecond is the limit for weights and manifests; 0 means none.
	RequestsPerSecond float64
	// Burst is how many requests may come at once; 0 means 1.
	Burst int
	// UnavailableEvery makes every n-th request within the limit a 503;
	// 0 means none.
	UnavailableEvery uint64
	// Now is the clock of the limit; nil means time.Now.
	Now func() time.Time
}

// Store is the fake. It implements http.Handler.
type Store struct {
	cfg     Config
	files   http.Handler
	limiter *rate.Limiter
	passed  atomic.Uint64
}

// New returns a store with the files of the handler, usually an origin.
func New(cfg Config, files http.Handler) *Store {
	if cfg.Burst < 1 {
		cfg.Burst = 1
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	limit := rate.Inf
	if cfg.RequestsPerSecond > 0 {
		limit = rate.Limit(cfg.RequestsPerSecond)
	}
	return &Store{cfg: cfg, files: files, limiter: rate.NewLimiter(limit, cfg.Burst)}
}

// ServeHTTP implements http.Handler. Paths that begin with "/_" are for tests
// and not limited.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/_") {
		s.files.ServeHTTP(w, r)
		return
	}
	if wait := s.take(); wait > 0 {
		refuse(w, http.StatusTooManyRequests, wait)
		return
	}
	every := s.cfg.UnavailableEvery
	if n := s.passed.Add(1); every > 0 && n%every == 0 {
		refuse(w, http.StatusServiceUnavailable, time.Second)
		return
	}
	s.files.ServeHTTP(w, r)
}

// take takes one request from the limit, or returns when to come back.
func (s *Store) take() time.Duration {
	now := s.cfg.Now()
	reservation := s.limiter.ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	if wait > 0 {
		reservation.CancelAt(now)
	}
	return wait
}

// refuse answers with Retry-After in whole seconds, rounded up.
func refuse(w http.ResponseWriter, status int, wait time.Duration) {
	seconds := int(math.Ceil(wait.Seconds()))
	w.Header().Set("Retry-After", fmt.Sprint(seconds))
	http.Error(w, http.StatusText(status), status)
}
