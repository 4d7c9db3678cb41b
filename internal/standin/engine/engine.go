// Package engine is a fake model engine. It batches requests continuously,
// caches prompt prefixes in limited memory, honours priorities, resumes and
// cancels streams, exports and imports KV cache, and takes orders to load and
// unload weights and to change its role and adapters.
//
// It loads whatever bytes it is given: the digest of those bytes decides the
// tokens of its answers, so that partial or mixed weights show in them.
//
// State: one mutex guards all of it. One goroutine steps the batch; a
// goroutine per HTTP request adds requests and carries out orders.
package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"lynxgate.dev/lynxgate/internal/standin/faults"
)

// Defaults of Config.
const (
	DefaultConcurrency  = 8
	DefaultPrefillWords = 256
	DefaultCacheBlocks  = 1024
)

// Config of an engine.
type Config struct {
	// Concurrency is the number of requests that advance together; 0 means
	// DefaultConcurrency.
	Concurrency int
	// MaxQueued requests wait for a slot, further ones get 429; 0 means no limit.
	MaxQueued int
	// TokenTime is the duration of one step; 0 means no wait.
	TokenTime time.Duration
	// PrefillWords is how many words of each prompt one step reads; 0 means
	// DefaultPrefillWords.
	PrefillWords int
	// CacheBlocks bounds the prefix cache, in blocks of 16 words; 0 means
	// DefaultCacheBlocks.
	CacheBlocks int
	// LoadTime is how long a load order takes.
	LoadTime time.Duration
	// LoadLag is the age of the load in GET /engine/state.
	LoadLag time.Duration
	// EventDelay is the age at which cache events are published.
	EventDelay time.Duration
	// EventLoseEvery loses every n-th cache event; 0 loses none.
	EventLoseEvery uint64
	// CheckFencing refuses orders with an old fencing number.
	CheckFencing bool
	// Role at start; empty means "mixed".
	Role   string
	Faults Faults
}

// Faults of an engine.
type Faults struct {
	// Stall stops all steps; connections stay open.
	Stall bool `json:"stall,omitempty"`
	// DieAfterTokens closes the connection of a request after it got n
	// tokens in this answer; 0 means never.
	DieAfterTokens int `json:"die_after_tokens,omitempty"`
	// Slow multiplies the duration of a step when it is above 1.
	Slow float64 `json:"slow,omitempty"`
	// Limit is named in all answers to completion requests as the requests a second that
	// it takes.
	Limit string `json:"limit,omitempty"`
	// Leaving is said in all answers to completion requests.
	Leaving bool `json:"leaving,omitempty"`
	// Refuse answers 503 to completion requests.
	Refuse bool `json:"refuse,omitempty"`
	// RetryAfter stands in all refusals, in seconds; empty means 1.
	RetryAfter string `json:"retry_after,omitempty"`
	// HangLoad keeps load orders from ending until it is cleared.
	HangLoad bool `json:"hang_load,omitempty"`
	// LoadError fails load orders with this text; the engine is then empty.
	LoadError string `json:"load_error,omitempty"`
}

// Status of an engine.
type Status string

// The statuses of an engine.
const (
	StatusEmpty   Status = "empty"
	StatusLoading Status = "loading"
	StatusLive    Status = "live"
)

// State is the answer of GET /engine/state and of orders that succeeded.
type State struct {
	State   Status `json:"state"`
	Model   string `json:"model"`
	Version string `json:"version"`
	// Digest is the hex BLAKE3 digest of the bytes loaded.
	Digest   string   `json:"digest"`
	Role     string   `json:"role"`
	Adapters []string `json:"adapters,omitempty"`
	// Running, Queued and Load are as old as Config.LoadLag.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Load is (running + queued) / concurrency.
	Load        float64 `json:"load"`
	Concurrency int     `json:"concurrency"`
	// Fence of the last order taken.
	Fence uint64 `json:"fence"`
}

// Engine is the fake. It implements http.Handler.
type Engine struct {
	cfg    Config
	mux    *http.ServeMux
	faults *faults.Box[Faults]
	wake   chan struct{}   // has room for one
	ctx    context.Context // ends at Close
	stop   context.CancelFunc
	ended  chan struct{}

	mu     sync.Mutex
	state  State  // without the load fields
	change uint64 // number of the last order that changed the weights
	batch  batch
	events eventLog
	load   loadReport
	serial uint64 // of requests that brought no id
}

// New starts an engine with no weights. Close ends it.
func New(cfg Config) *Engine {
	cfg = withDefaults(cfg)
	ctx, stop := context.WithCancel(context.Background())
	e := &Engine{
		cfg:    cfg,
		mux:    http.NewServeMux(),
		faults: faults.NewBox(cfg.Faults),
		wake:   make(chan struct{}, 1),
		ctx:    ctx,
		stop:   stop,
		ended:  make(chan struct{}),
		state:  State{State: StatusEmpty, Role: cfg.Role, Concurrency: cfg.Concurrency},
		events: eventLog{delay: cfg.EventDelay, loseEvery: cfg.EventLoseEvery},
		load:   loadReport{lag: cfg.LoadLag},
	}
	cache := newPrefixCache(cfg.CacheBlocks, func(stored bool, key blockKey) {
		e.events.add(time.Now(), stored, key)
	})
	e.batch = batch{slots: cfg.Concurrency, prefillWords: cfg.PrefillWords, cache: cache}
	e.routes()
	go e.run()
	return e
}

func withDefaults(cfg Config) Config {
	if cfg.Concurrency <= 0 {
		cfg.Concurrency = DefaultConcurrency
	}
	if cfg.PrefillWords <= 0 {
		cfg.PrefillWords = DefaultPrefillWords
	}
	if cfg.CacheBlocks <= 0 {
		cfg.CacheBlocks = DefaultCacheBlocks
	}
	if cfg.Role == "" {
		cfg.Role = "mixed"
	}
	return cfg
}

func (e *Engine) routes() {
	e.mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	e.mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	e.mux.HandleFunc("POST /engine/load", e.serveLoad)
	e.mux.HandleFunc("POST /engine/unload", e.serveUnload)
	e.mux.HandleFunc("POST /engine/role", e.serveRole)
	e.mux.HandleFunc("POST /engine/adapter", e.serveAdapter)
	e.mux.HandleFunc("GET /engine/state", e.serveState)
	e.mux.HandleFunc("GET /engine/cache_events", e.serveCacheEvents)
	e.mux.HandleFunc("POST /engine/kv/export", e.serveExport)
	e.mux.HandleFunc("POST /engine/kv/import", e.serveImport)
	e.mux.HandleFunc("/_faults", func(w http.ResponseWriter, r *http.Request) {
		e.faults.ServeHTTP(w, r)
		e.signal()
	})
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// SetFaults replaces the fault settings.
func (e *Engine) SetFaults(f Faults) {
	e.faults.Set(f)
	e.signal()
}

// Close cuts all requests and ends the engine's goroutine.
func (e *Engine) Close() {
	e.stop()
	<-e.ended
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.cutAll()
}

// signal wakes the stepping goroutine.
func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// run steps the batch while there is work.
func (e *Engine) run() {
	defer close(e.ended)
	for e.ctx.Err() == nil {
		if !e.busy() {
			select {
			case <-e.wake:
			case <-e.ctx.Done():
			}
			continue
		}
		e.pause()
		e.step()
	}
}

// busy reports whether a step can be done.
func (e *Engine) busy() bool {
	stalled := e.faults.Get().Stall
	e.mu.Lock()
	defer e.mu.Unlock()
	return !stalled && e.state.State == StatusLive && !e.batch.empty()
}

// pause lasts as long as one step.
func (e *Engine) pause() {
	duration := time.Duration(float64(e.cfg.TokenTime) * max(1, e.faults.Get().Slow))
	if duration == 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.ctx.Done():
	}
}

// step does one step, unless an order or Close came in between.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx.Err() != nil || e.state.State != StatusLive {
		return
	}
	e.batch.step(e.state.Digest)
	e.recordLoad()
}

// recordLoad notes the load after a change; the caller holds the mutex.
func (e *Engine) recordLoad() {
	e.load.record(time.Now(), len(e.batch.running), len(e.batch.waiting))
}

// snapshot returns the state with the lagging load; the caller holds the mutex.
func (e *Engine) snapshot() State {
	state := e.state
	seen := e.load.at(time.Now())
	state.Running, state.Queued = seen.running, seen.queued
	state.Load = float64(seen.running+seen.queued) / float64(e.cfg.Concurrency)
	return state
}

// Snapshot returns the state as GET /engine/state does.
func (e *Engine) Snapshot() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.snapshot()
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Snapshot())
}

// Error is the body of every refusal.
type Error struct {
	Error string `json:"error"`
	// Fence is the newest fencing number, with status 409.
	Fence uint64 `json:"fence,omitempty"`
}

func writeError(w http.ResponseWriter, status int, text string) {
	writeJSON(w, status, Error{Error: text})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// maxBody bounds a request body, in bytes.
const maxBody = 8 << 20

// decode reads the JSON body, or answers 400.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(into); err != nil {
		writeError(w, http.StatusBadRequest, "malformed JSON: "+err.Error())
		return false
	}
	return true
}

// wordsOf splits a prompt in words, the engine's unit of prompt length.
func wordsOf(prompt string) []string { return strings.Fields(prompt) }
