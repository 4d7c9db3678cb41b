//go:build review

package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lynxgate.dev/lynxgate/platform/standin"
)

// A deployment as the pages' small ones: two engines with agents, an origin whose link takes most of version_ms for one copy, streams
// whose requests may be resumed. The engines' answers have no length and end with their connections.
const (
	pieces      = 96
	pieceLength = 2048
	// originMbps lets one copy of the weights take 5 s, as an origin that takes 2.7 s (7.3 Mbit/s for 96 x 24,576 bytes) and is shared.
	originMbps = 0.31
	// fastMbps lets it take 2 s.
	fastMbps     = 0.79
	streamEvents = 20
	eventPause   = 20 * time.Millisecond
	stepTime     = 5 * time.Millisecond
	versionMs    = 8 * time.Second
	graceS       = 8 * time.Second
	// stopAt is when the entry gets SIGTERM, counted from the acknowledgement of the new version.
	stopAt   = 3200 * time.Millisecond
	callers  = 8
	tokens   = "100,20"
	hint     = "20"
	playTime = stopAt + graceS + time.Second
)

// slowOrigin is an origin of weights with a narrow link, on which pieces are sent one after the other.
type slowOrigin struct {
	addr string
	// mbps is the bandwidth of its link.
	mbps float64
	// down: it crashes each connection.
	down atomic.Bool
	mu   sync.Mutex
	free time.Time
}

func (o *slowOrigin) start() error {
	lis, err := net.Listen("tcp", o.addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /lynxgate/manifest/{model}", o.manifest)
	mux.HandleFunc("GET /lynxgate/piece/{model}", o.piece)
	go func() { _ = http.Serve(lis, mux) }() // ends with the program
	return nil
}

func versionOf(r *http.Request) uint64 {
	v, _ := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	return v
}

func (o *slowOrigin) manifest(rw http.ResponseWriter, r *http.Request) {
	if o.down.Load() {
		panic(http.ErrAbortHandler)
	}
	digests := make([]string, pieces)
	for i := range digests {
		sum := sha256.Sum256(standin.Piece(standin.Model, versionOf(r), i))
		digests[i] = hex.EncodeToString(sum[:])
	}
	_ = json.NewEncoder(rw).Encode(map[string]any{
		"model": standin.Model, "version": versionOf(r), "chunkBytes": pieceLength, "digests": digests,
	})
}

func (o *slowOrigin) piece(rw http.ResponseWriter, r *http.Request) {
	if o.down.Load() {
		panic(http.ErrAbortHandler)
	}
	piece, err := strconv.Atoi(r.URL.Query().Get("pieceIndex"))
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	seconds := float64(pieceLength*8) / (o.mbps * 1e6)
	took := time.Duration(seconds * float64(time.Second))
	o.mu.Lock()
	if now := time.Now(); o.free.Before(now) {
		o.free = now
	}
	o.free = o.free.Add(took)
	at := o.free
	o.mu.Unlock()
	time.Sleep(time.Until(at))
	_, _ = rw.Write(standin.Piece(standin.Model, versionOf(r), piece))
}

// modelDocument returns configurations whose engines take this long for a token.
func modelDocument(origin *slowOrigin, step time.Duration) func(version int) []byte {
	return func(version int) []byte {
		return fmt.Appendf(nil, `{"version":%d,"routes":[
{"name":"draft","host":%q,"pathPrefix":"/v1/","kind":"streaming","timeoutMs":6000,"targetLatencyMs":400,"targetGapMs":300,"priority":1,"service":%q,"maxAttempts":2,"sticky":true,"resumable":true}],
"services":[{"name":%q,"healthPath":"/health","maxConns":264,"protocol":"h1","tls":false,"engine":{"slots":8,"stride":1,"models":[{"name":%q,"pace":1.0}],
"step_ms":%d,"per_seq_ms":0.02,"context_per_k":0.01,"read_per_s":30000,"usual":{"prompt":100,"answer":20},"layers":0,"chunks":%d,"chunkBytes":%d}},
{"name":%q,"origin":%q,"zone":%q,"linkMbps":%g,"maxConns":48}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":%q,"apiKeys":[%q]}]}`, version, standin.StreamHost, standin.ModelService, standin.ModelService, standin.Model,
			step.Milliseconds(), pieces, pieceLength, standin.OriginService, origin.addr, standin.Zone, origin.mbps, standin.Tenant, standin.Key)
	}
}

// unframedWhileWeightsChange names new weights and stops an entry with SIGTERM, both planned work, while clients read streams that the
// engines write without a length. Rule LOST: each request that the entry has read and passed on gets its complete answer.
func unframedWhileWeightsChange(ctx context.Context, b *bed, trouble bool) ([]string, error) {
	b.fleet.VersionMs, b.fleet.Grace = int(versionMs.Milliseconds()), graceS
	origin := &slowOrigin{addr: b.fleet.IP() + ":8006", mbps: originMbps}
	if err := origin.start(); err != nil {
		return nil, err
	}
	b.document = modelDocument(origin, stepTime)
	if err := b.startDaemons(ctx, 3, 2); err != nil {
		return nil, err
	}
	for i := range 2 {
		err := b.addEngine(fmt.Sprintf("engine-%d", i+1), func(w *standin.Worker) {
			w.Pieces, w.Events, w.Pause = pieces, streamEvents, eventPause
			w.Unframed = func(*http.Request) bool { return true }
		})
		if err != nil {
			return nil, err
		}
	}
	if err := b.awaitServed(ctx); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // the core and the entries are stable for longer than contactMs
	s := &streams{bed: b, rotation: newRotation(ctx, b.record, b.fleet.Entries), seen: map[string]seen{}}
	callersCtx, endCallers := context.WithCancel(ctx)
	defer endCallers()
	for i := range callers {
		s.running.Go(func() { s.call(callersCtx, i) })
	}
	time.Sleep(time.Second)
	if trouble {
		body := fmt.Appendf(nil, `{"model":%q,"version":2}`, standin.Model)
		status, _, err := b.fleet.Operate(ctx, http.MethodPost, "/lynxgate/version-put", body)
		b.logf("operator: version 2 of the weights named: status %d, %v", status, err)
		if err != nil || status != http.StatusOK {
			return nil, fmt.Errorf("version 2 not acknowledged: %d, %w", status, err)
		}
	}
	time.Sleep(stopAt)
	stopping := b.fleet.Entries[0]
	s.stopped = time.Now()
	b.logf("platform: SIGTERM to entry %s", stopping)
	if err := syscall.Kill(b.fleet.Process(b.fleet.Name(stopping)).Pid(), syscall.SIGTERM); err != nil {
		return nil, err
	}
	time.Sleep(graceS + time.Second)
	endCallers()
	s.running.Wait()
	return s.breaks(stopping), ctx.Err()
}

// awaitServed waits until each entry serves a stream.
func (b *bed) awaitServed(ctx context.Context) error {
	for _, ip := range b.fleet.Entries {
		n := 0
		err := await(ctx, 20*time.Second, "a served stream at entry "+ip, func() bool {
			n++
			c := &client{}
			defer c.drop()
			a := c.send(ip, stream(fmt.Sprintf("first-%s-%d", ip, n)))
			return a.err == nil && a.status == http.StatusOK
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func stream(id string) request {
	return request{
		id: id, method: http.MethodPost, host: standin.StreamHost, path: "/v1/draft", body: []byte("a prompt of some words"),
		fields: map[string]string{
			standin.HeaderModel: standin.Model, standin.HeaderTokens: tokens, "X-Length-Hint": hint, standin.HeaderParts: "5c1e07a2:40," + hex.EncodeToString([]byte(id)) + ":60",
		},
	}
}

// streams are clients that read streams, and what they have seen.
type streams struct {
	*bed
	rotation *rotation
	running  sync.WaitGroup
	stopped  time.Time

	// refused counts the answers 503, which say that a request was not run.
	refused atomic.Int64

	mu   sync.Mutex
	seen map[string]seen
}

// seen is one attempt of a client at an entry.
type seen struct {
	answer
	entry string
}

// call sends one stream after the other over a kept connection. Half of the clients belong to each entry.
func (s *streams) call(ctx context.Context, n int) {
	preferred := []string{s.fleet.Entries[n%2], s.fleet.Entries[(n+1)%2]}
	c := &client{}
	defer c.drop()
	for i := 0; ctx.Err() == nil; i++ {
		s.once(c, preferred, stream(fmt.Sprintf("c%d-%d", n, i)))
		time.Sleep(30 * time.Millisecond)
	}
}

// once sends one stream to the entry of the client's open connection, or to the first preferred one in rotation.
func (s *streams) once(c *client, preferred []string, r request) {
	entry := s.rotation.pick(c, preferred)
	a := c.send(entry, r)
	if a.err == nil && a.status == http.StatusServiceUnavailable {
		s.refused.Add(1)
		return
	}
	s.logf("client: %s at %s: status %d, %d events, %v", r.id, entry, a.status, strings.Count(a.body, "\n\n"), a.err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen[r.id] = seen{answer: a, entry: entry}
}

// breaks returns the requests that the stopping entry has passed on, that an engine has answered whole, and whose connection ended without
// a complete answer, from the SIGTERM until 1 s after graceS.
func (s *streams) breaks(stopping string) (out []string) {
	whole := map[string]string{}
	for _, w := range s.engines {
		cut := map[string]bool{}
		for _, c := range w.Cuts() {
			cut[c.ID] = true
			s.logf("engine %s: broke off %s at its deadline", w.ID, c.ID)
		}
		for _, work := range w.Work() {
			if !cut[work.ID] && work.Closed.IsZero() {
				whole[work.ID] = w.ID
			}
			s.logf("engine %s: ran %s, from %.3f to %.3f, closed early: %t", w.ID, work.ID, work.From.Sub(s.start).Seconds(), work.To.Sub(s.start).Seconds(), !work.Closed.IsZero())
		}
	}
	for id, a := range s.seen {
		from := a.ended
		inTime := from.After(s.stopped) && from.Before(s.stopped.Add(graceS+time.Second)) && a.ended.Sub(a.sent) < clientDeadline
		if a.entry != stopping || a.err == nil || a.sent.IsZero() || !inTime || whole[id] == "" {
			continue
		}
		out = append(out, fmt.Sprintf("%s: sent %.3f s after the SIGTERM, connection ended after %.3f s with status %d and %d events (%v), though %s answered it whole",
			id, a.sent.Sub(s.stopped).Seconds(), a.ended.Sub(a.sent).Seconds(), a.status, strings.Count(a.body, "\n\n"), a.err, whole[id]))
	}
	return out
}
