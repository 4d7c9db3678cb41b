//go:build review

// Case 1: the origin sends one manifest with a spoilt digest. Operator, origin, workers and clients are stand-ins in this process, the
// daemons are processes of their own.
package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lynxgate.dev/lynxgate/platform/standin"
	"lynxgate.dev/lynxgate/review/bed"
)

const (
	// recovery is recoveryS of the site.
	recovery = 12 * time.Second
	// measured is for how long requests are counted after that.
	measured = 12 * time.Second
	// before is for how long requests are counted before the final fault.
	before = 5 * time.Second
	// down is down_s of the final fault.
	down = 1300 * time.Millisecond
	// between is the time between two requests; each tenth is a plain one, as at the site.
	between = 100 * time.Millisecond
	named   = 2
)

func main() { bed.Main(run) }

// origin is an origin of weights. While spoil is set, one digit of the next manifest of the named version is another one.
type origin struct {
	b         *bed.Bed
	addr      string
	spoil     atomic.Bool
	manifests atomic.Int64
	pieces    atomic.Int64
}

func (o *origin) start() error {
	o.addr = standin.WorkerAddr(o.b.IP())
	lis, err := net.Listen("tcp", o.addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /lynxgate/manifest/{model}", o.manifest)
	mux.HandleFunc("GET /lynxgate/piece/{model}", o.piece)
	go func() { _ = http.Serve(lis, mux) }()
	return nil
}

func (o *origin) manifest(rw http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	digests := make([]string, standin.Pieces)
	for i := range digests {
		d := sha256.Sum256(standin.Piece(r.PathValue("model"), version, i))
		digests[i] = hex.EncodeToString(d[:])
	}
	spoilt := version == named && o.spoil.CompareAndSwap(true, false)
	if spoilt {
		text := []byte(digests[5])
		text[10] = otherDigit(text[10])
		digests[5] = string(text)
	}
	o.manifests.Add(1)
	o.b.Logf("origin: manifest of version %d sent to %s, one digit spoilt: %v", version, r.RemoteAddr, spoilt)
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"model": r.PathValue("model"), "version": version, "digests": digests})
}

// otherDigit returns the hexadecimal digit that differs from one in its lowest bit.
func otherDigit(digit byte) byte {
	const digits = "0123456789abcdef"
	for i := range digits {
		if digits[i] == digit {
			return digits[i^1]
		}
	}
	return digits[0]
}

func (o *origin) piece(rw http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	piece, err2 := strconv.Atoi(r.URL.Query().Get("pieceIndex"))
	if err != nil || err2 != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	o.pieces.Add(1)
	_, _ = rw.Write(standin.Piece(r.PathValue("model"), version, piece))
}

// count is how many requests were sent and how many of them were served.
type count struct{ sent, served int }

func (c count) quarter() bool { return 4*c.served >= c.sent }

// traffic sends requests for d and counts those that are sent later than from.
func traffic(b *bed.Bed, name string, d, from time.Duration) count {
	var group sync.WaitGroup
	var mu sync.Mutex
	var out count
	began := time.Now()
	for i := 0; time.Since(began) < d; i++ {
		entry, id := b.Entries[i%len(b.Entries)], fmt.Sprintf("%s-%d", name, i)
		counted := time.Since(began) > from
		group.Go(func() {
			send := b.Draft
			if i%10 == 9 {
				send = b.Job
			}
			a := send(entry, id)
			if !counted {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out.sent++
			if a.Err == nil && a.Status == http.StatusOK {
				out.served++
			}
		})
		time.Sleep(between)
	}
	group.Wait()
	return out
}

func run() (int, error) {
	b, err := bed.New("review/1", bed.Shape{Controls: 3, Entries: 2, Models: 3, Plain: 2, Work: 20 * time.Millisecond, Pause: 20 * time.Millisecond})
	if err != nil {
		return bed.NotRun, err
	}
	defer b.End()
	o := &origin{b: b}
	if err := o.start(); err != nil {
		return bed.NotRun, err
	}
	if _, err := b.Put(standin.Document(1, o.addr), 1); err != nil {
		return bed.NotRun, err
	}
	if err := b.Ready(b.Draft); err != nil {
		return bed.NotRun, err
	}
	served := traffic(b, "before", before, 0)
	status, body, err := b.Operate(context.Background(), http.MethodPost, "/lynxgate/version-put", fmt.Appendf(nil, `{"model":%q,"version":%d}`, standin.Model, named))
	b.Logf("operator: version %d named: %d %s %v", named, status, body, err)
	if err != nil || status != http.StatusOK {
		return bed.NotRun, errors.New("the version was not acknowledged")
	}
	if err := b.KillDaemons(); err != nil {
		return bed.NotRun, err
	}
	o.spoil.Store(b.Trouble)
	time.Sleep(down)
	if err := b.StartDaemons(); err != nil {
		return bed.NotRun, err
	}
	recovered := traffic(b, "after", recovery+measured, recovery)
	for _, w := range b.Models {
		b.Logf("worker %s: loads %v", w.ID, w.Takes())
	}
	b.LogRuns()
	b.Logf("origin: %d manifests and %d pieces sent", o.manifests.Load(), o.pieces.Load())
	b.Logf("before the final fault: %d of %d requests served", served.served, served.sent)
	b.Logf("of those sent later than %v after the daemons were back: %d of %d served", recovery, recovered.served, recovered.sent)
	fmt.Printf("served before: %d of %d; after %v: %d of %d\n", served.served, served.sent, recovery, recovered.served, recovered.sent)
	if !served.quarter() || recovered.sent == 0 {
		return bed.NotRun, errors.New("less than a quarter was served before the final fault")
	}
	if !recovered.quarter() {
		b.Logf("RECOVER broken")
		return bed.Broken, nil
	}
	return bed.Held, nil
}
