//go:build review

package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"lynxgate.dev/lynxgate/platform/standin"
)

const (
	jobs = 80
	// servers are those of the service, of which one fails: srv_grey states a share of 14 in 100, one server at least.
	servers = 3
	// failing is the part of the jobs, in hundredths, that a failing server fails after it has begun: srv_grey states 45 of 100.
	failing = 45
	jobGap  = 50 * time.Millisecond
)

// promises are the statuses which promise that a request has not run and never will.
var promises = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// ran are the jobs that the servers have begun to work on.
type ran struct {
	mu  sync.Mutex
	ids map[string]string
}

// fail works on a job and then fails: the answer bears the server's signature and does not say that the job was not run.
func (x *ran) fail(r *record, w *standin.Worker, rw http.ResponseWriter, req *http.Request) bool {
	id := req.Header.Get(standin.HeaderRequestID)
	h := fnv.New32a()
	_, _ = io.WriteString(h, id)
	expected := req.Header.Get(standin.HeaderExpect)
	if !strings.HasPrefix(req.URL.Path, "/job/") || expected != "" && expected != w.ID || h.Sum32()%100 >= failing {
		return false
	}
	_, _ = io.Copy(io.Discard, req.Body)
	x.mu.Lock()
	x.ids[id] = w.ID
	x.mu.Unlock()
	r.logf("server %s: runs %s, and fails with 503, without X-Not-Executed", w.ID, id)
	time.Sleep(w.Pause)
	rw.Header().Set(standin.HeaderRequestID, id)
	rw.Header().Set(standin.HeaderSignature, "signed-by-"+w.ID)
	rw.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(rw, "the job was begun and failed\n")
	return true
}

// ownStatusAfterRun has servers of a plain service fail a part of the jobs that they run, with their own 503. Rule REFUSED: a request that
// is not idempotent and has run is not answered 429, 503, 408 or 421.
func ownStatusAfterRun(ctx context.Context, b *bed, trouble bool) (breaks []string, err error) {
	b.document = func(version int) []byte { return standin.Document(version, "127.0.0.1:1") }
	if err := b.startDaemons(ctx, 3, 2); err != nil {
		return nil, err
	}
	x := &ran{ids: map[string]string{}}
	for i := range servers {
		err := b.addPlain(fmt.Sprintf("plain-%d", i+1), func(w *standin.Worker) {
			if trouble && i == 0 {
				w.Misbehave = func(rw http.ResponseWriter, r *http.Request) bool { return x.fail(b.record, w, rw, r) }
			}
		})
		if err != nil {
			return nil, err
		}
	}
	proof := func(id string) request {
		return request{id: id, method: http.MethodGet, host: standin.PlainHost, path: "/proof/1"}
	}
	for n, ip := range b.fleet.Entries {
		err := await(ctx, 20*time.Second, "a served request", func() bool {
			c := &client{}
			defer c.drop()
			a := c.send(ip, proof(fmt.Sprintf("first-%d", n)))
			return a.err == nil && a.status == http.StatusOK
		})
		if err != nil {
			return nil, err
		}
	}
	served := 0
	for i := range jobs {
		entry := b.fleet.Entries[i%len(b.fleet.Entries)]
		id := fmt.Sprintf("job-%d", i)
		c := &client{}
		a := c.send(entry, request{id: id, method: http.MethodPost, host: standin.PlainHost, path: "/job/dispatch", body: []byte("send a caretaker")})
		c.drop()
		x.mu.Lock()
		by := x.ids[id]
		x.mu.Unlock()
		b.logf("client: %s at %s: status %d, signature %q, %v; run by %q", id, entry, a.status, a.head.Get(standin.HeaderSignature), a.err, by)
		if a.err == nil && a.status == http.StatusOK {
			served++
		}
		if by != "" && slices.Contains(promises, a.status) {
			breaks = append(breaks, fmt.Sprintf("%s: %s ran it, and the client was answered %d", id, by, a.status))
		}
		time.Sleep(jobGap)
	}
	b.logf("%d of %d jobs served", served, jobs)
	if served == 0 {
		return nil, fmt.Errorf("no job was served")
	}
	return breaks, nil
}
