//go:build review

package main

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"lynxgate.dev/lynxgate/platform/standin"
)

// answer is what a client has seen of one attempt.
type answer struct {
	status int
	head   http.Header
	body   string
	// err is why the answer is not complete, or there is none.
	err error
	// sent is when the whole request was sent, ended when its answer or connection ended.
	sent, ended time.Time
}

// request is one attempt of a client.
type request struct {
	id, method, host, path string
	// key is the API key, standin.Key if empty.
	key    string
	fields map[string]string
	body   []byte
}

const (
	clientDeadline = 6 * time.Second
	connectTimeout = time.Second
)

// client keeps one connection open, as the platform's clients do, and honours Connection: close.
type client struct {
	conn  net.Conn
	in    *bufio.Reader
	entry string
}

func (c *client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends a request to an entry, over the open connection if there is one to it, and reads the answer.
func (c *client) send(entry string, r request) answer {
	if c.conn == nil || c.entry != entry {
		c.drop()
		conn, err := net.DialTimeout("tcp", standin.CallersAddr(entry), connectTimeout)
		if err != nil {
			return answer{err: err}
		}
		c.conn, c.in, c.entry = conn, bufio.NewReader(conn), entry
	}
	_ = c.conn.SetDeadline(time.Now().Add(clientDeadline + time.Second))
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n", r.method, r.path, r.host,
		standin.HeaderRequestID, r.id, standin.HeaderKey, cmp.Or(r.key, standin.Key), standin.HeaderDeadline, clientDeadline.Milliseconds(), len(r.body))
	for name, value := range r.fields {
		fmt.Fprintf(&out, "%s: %s\r\n", name, value)
	}
	out.WriteString("\r\n")
	out.Write(r.body)
	if _, err := c.conn.Write(out.Bytes()); err != nil {
		c.drop()
		return answer{err: err, ended: time.Now()}
	}
	a := answer{sent: time.Now()}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: r.method})
	if err != nil {
		c.drop()
		a.err, a.ended = err, time.Now()
		return a
	}
	body, err := io.ReadAll(resp.Body)
	a.status, a.head, a.body, a.err, a.ended = resp.StatusCode, resp.Header, string(body), err, time.Now()
	if err != nil || resp.Close {
		c.drop()
	}
	return a
}

// rotation is the platform in front of the entries: it asks each once a second whether it is ready, and gives an entry no new
// connections after two misses until it is ready again.
type rotation struct {
	mu     sync.Mutex
	misses map[string]int
}

func newRotation(ctx context.Context, r *record, entries []string) *rotation {
	p := &rotation{misses: map[string]int{}}
	for _, ip := range entries {
		go p.watch(ctx, r, ip)
	}
	return p
}

const maxMisses = 2

func (p *rotation) watch(ctx context.Context, r *record, ip string) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		status, _, err := standin.Call(ctx, http.MethodGet, standin.ReadyAddr(ip), "/lynxgate/ready", nil)
		p.mu.Lock()
		if err == nil && status == http.StatusOK {
			p.misses[ip] = 0
		} else if p.misses[ip]++; p.misses[ip] == maxMisses {
			r.logf("platform: entry %s gets no new connections", ip)
		}
		p.mu.Unlock()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// pick returns the entry for a client's next request: the one of its open connection, or the first in rotation.
func (p *rotation) pick(c *client, preferred []string) string {
	if c.conn != nil {
		return c.entry
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, ip := range preferred {
		if p.misses[ip] < maxMisses {
			return ip
		}
	}
	return preferred[len(preferred)-1]
}

var errNotReady = errors.New("not in time")

// await waits until ok, for at most limit.
func await(ctx context.Context, limit time.Duration, what string, ok func() bool) error {
	for end := time.Now().Add(limit); !ok(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("%s: %w", what, errNotReady)
		}
	}
	return nil
}
