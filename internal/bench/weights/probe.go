package main

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"lynxgate.dev/lynxgate/internal/weights/pace"
	"lynxgate.dev/lynxgate/internal/weights/transfer"
)

// A live probe is a small exchange through the same paced links as the
// transfers: a request of probeBytes, the engine's time to the first token, an
// answer of probeBytes.
const (
	probeBytes  = 2 << 10
	engineTime  = 20 * time.Millisecond
	probeEvery  = 150 * time.Millisecond
	probeExpiry = 5 * time.Second
)

type prober struct {
	manager *transfer.Manager
	lis     net.Listener
	rng     *rand.Rand

	mu    sync.Mutex
	burst bool
	quiet []float64
	busy  []float64
}

func newProber(m *transfer.Manager, seed uint64) (*prober, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &prober{manager: m, lis: lis, rng: rand.New(rand.NewPCG(seed, 9))}
	go p.serve()
	return p, nil
}

func (p *prober) addr() string { return p.lis.Addr().String() }

func (p *prober) setBurst(burst bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.burst = burst
}

func (p *prober) results() (quiet, burst []float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.quiet, p.busy
}

func (p *prober) serve() {
	for {
		conn, err := p.lis.Accept()
		if err != nil {
			return
		}
		go p.answer(conn)
	}
}

// answer takes requests as an agent beside an engine would.
func (p *prober) answer(conn net.Conn) {
	defer conn.Close()
	buf := make([]byte, probeBytes)
	ctx := context.Background()
	for {
		if _, err := io.ReadFull(conn, buf); err != nil {
			return
		}
		began := time.Now()
		_ = p.manager.Link().Down(ctx, pace.Live, probeBytes)
		time.Sleep(engineTime)
		_ = p.manager.Link().Up(ctx, pace.Live, probeBytes)
		p.manager.ObserveFirstToken(time.Since(began))
		if _, err := conn.Write(buf); err != nil {
			return
		}
	}
}

// start probes random addresses until the process ends.
func (p *prober) start(addrs []string) {
	go func() {
		conns := map[string]net.Conn{}
		for {
			time.Sleep(time.Duration((0.5 + p.rng.Float64()) * float64(probeEvery)))
			addr := addrs[p.rng.IntN(len(addrs))]
			if conns[addr] == nil {
				conn, err := net.Dial("tcp", addr)
				if err != nil {
					continue
				}
				conns[addr] = conn
				_ = p.exchange(conn) // the first one pays for the connection
				continue
			}
			p.mu.Lock()
			burst := p.burst
			p.mu.Unlock()
			began := time.Now()
			if p.exchange(conns[addr]) != nil {
				conns[addr].Close()
				delete(conns, addr)
				continue
			}
			p.record(time.Since(began), burst)
		}
	}()
}

func (p *prober) exchange(conn net.Conn) error {
	buf := make([]byte, probeBytes)
	ctx := context.Background()
	_ = conn.SetDeadline(time.Now().Add(probeExpiry))
	_ = p.manager.Link().Up(ctx, pace.Live, probeBytes)
	if _, err := conn.Write(buf); err != nil {
		return err
	}
	if _, err := io.ReadFull(conn, buf); err != nil {
		return err
	}
	return p.manager.Link().Down(ctx, pace.Live, probeBytes)
}

func (p *prober) record(d time.Duration, burst bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ms := float64(d) / float64(time.Millisecond)
	if burst {
		p.busy = append(p.busy, ms)
	} else {
		p.quiet = append(p.quiet, ms)
	}
}
