package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/reservation"
	reservations "lynxgate.dev/lynxgate/internal/reservation/client"
	"lynxgate.dev/lynxgate/internal/standstill"
)

// leavesAt is the header in which callers of these tests state when they leave, in Unix milliseconds.
const leavesAt = "X-Leaves-At"

const (
	// tolerated is how long after its caller has left a request may reach an engine, and mostLate how many may reach
	// engines later than that, per standstill and over all entries.
	tolerated = 500 * time.Millisecond
	mostLate  = 3
)

// gate holds up everything that passes it while it is closed.
type gate struct {
	mu     sync.Mutex
	closed chan struct{}
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = make(chan struct{})
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
}

func (g *gate) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed != nil
}

func (g *gate) pass() {
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	if closed != nil {
		<-closed
	}
}

// stillListener accepts connections of a VM that may stand still: its kernel takes connections and bytes, and its process
// reads and writes nothing while the gate is closed.
type stillListener struct {
	net.Listener
	gate *gate
}

func (l stillListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.gate.pass()
	return stillConn{c, l.gate}, err
}

type stillConn struct {
	net.Conn
	gate *gate
}

func (c stillConn) Read(p []byte) (int, error) {
	c.gate.pass()
	n, err := c.Conn.Read(p)
	c.gate.pass()
	return n, err
}

func (c stillConn) Write(p []byte) (int, error) {
	c.gate.pass()
	return c.Conn.Write(p)
}

// stillEngine is an engine beside an agent; each of them may stand still.
type stillEngine struct {
	*backend
	engine, agent gate
	// late counts requests that reached the engine too long after their callers had left.
	late atomic.Int64
}

func newStillEngine(t testing.TB, id string, serve http.HandlerFunc) *stillEngine {
	s := &stillEngine{backend: &backend{id: id}}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		left, _ := strconv.ParseInt(r.Header.Get(leavesAt), 10, 64)
		if time.Since(time.UnixMilli(left)) > tolerated {
			s.late.Add(1)
		}
		w.Header().Set(headers.RequestID, r.Header.Get(headers.RequestID))
		w.Header().Set(headers.ServerID, id)
		serve(w, r)
	}))
	server.Listener = stillListener{server.Listener, &s.engine}
	server.Start()
	s.Server = server
	t.Cleanup(func() {
		s.engine.open()
		s.agent.open()
		server.CloseClientConnections()
		server.Close()
	})
	return s
}

// stillFleet is a fleet of engines, with entries that share them.
type stillFleet struct {
	testing.TB
	engines []*stillEngine
	entries []*entry

	mu sync.Mutex
	// served and asked count the requests of callers.
	served, asked int
}

// stillAgents are the agents of a fleet as an entry sees them, with circuit breakers as in reservations.Client.
type stillAgents struct {
	fleet *stillFleet
	mu    sync.Mutex
	open  map[string]time.Time
}

func (a *stillAgents) of(server string) *stillEngine {
	for _, s := range a.fleet.engines {
		if strings.TrimPrefix(s.URL, "http://") == server {
			return s
		}
	}
	return nil
}

func (a *stillAgents) Available(server string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !now.Before(a.open[server])
}

func (a *stillAgents) Ask(ctx context.Context, server string, _ int64, timeout time.Duration, _ reservation.Request) (reservation.Decision, error) {
	if !a.of(server).agent.isClosed() {
		return granted(), nil
	}
	asked := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	<-ctx.Done()
	a.mu.Lock()
	defer a.mu.Unlock()
	if reservations.Conclusive(timeout, time.Since(asked)) {
		a.open[server] = time.Now().Add(500 * time.Millisecond)
	}
	return reservation.Decision{}, ctx.Err()
}

func (a *stillAgents) Release(string, int64, string) {}

func (a *stillAgents) RoundTrip(string) reservations.RoundTrip { return reservations.RoundTrip{} }

// newStillFleet returns a fleet whose agents report ten times a second until the test ends.
func newStillFleet(t testing.TB, entries, engines int, reserve bool) *stillFleet {
	f := &stillFleet{TB: t}
	var backends []*backend
	for i := range engines {
		s := newStillEngine(t, fmt.Sprint("b-", i+1), slowEvents(8, 50*time.Millisecond))
		f.engines = append(f.engines, s)
		backends = append(backends, s.backend)
	}
	for range entries {
		e := newEntry(t, backends...)
		e.onlyEngines()
		e.setRoutes(func(r *fleet.Route) { r.Objective = 400 * time.Millisecond })
		if reserve {
			e.cfg.Reservations, e.cfg.ReservationMode = &stillAgents{fleet: f, open: map[string]time.Time{}}, ReservationsAlways
		}
		f.entries = append(f.entries, e)
	}
	ctx, cancel := context.WithCancel(context.Background())
	reporting := make(chan struct{})
	go func() {
		defer close(reporting)
		for ctx.Err() == nil {
			f.report()
			time.Sleep(100 * time.Millisecond)
		}
	}()
	t.Cleanup(func() { cancel(); <-reporting })
	return f
}

func (f *stillFleet) report() {
	for _, s := range f.engines {
		if s.agent.isClosed() || s.engine.isClosed() {
			continue
		}
		r := balance.Report{Addr: strings.TrimPrefix(s.URL, "http://"), Models: []fleet.Loaded{{Model: "m", Version: 7}}}
		for _, e := range f.entries {
			e.balancer.Reported(time.Now(), r)
		}
	}
}

// call makes callers ask each entry at this rate for d, and waits for them. They leave after patience.
func (f *stillFleet) call(d, interval, patience time.Duration) {
	var callers sync.WaitGroup
	for i, e := range f.entries {
		callers.Go(func() {
			time.Sleep(interval * time.Duration(i) / time.Duration(len(f.entries)))
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(interval) {
				callers.Go(func() { f.callOnce(e, patience) })
			}
		})
	}
	callers.Wait()
}

func (f *stillFleet) callOnce(e *entry, patience time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	leaves, _ := ctx.Deadline()
	a := e.ask(f, http.MethodPost, "/stream/1", func(r *http.Request) {
		r.Header.Set(leavesAt, strconv.FormatInt(leaves.UnixMilli(), 10))
		*r = *r.WithContext(ctx)
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
	if a.err == nil && a.status == http.StatusOK {
		f.served++
	}
}

func (f *stillFleet) late() (n int64) {
	for _, s := range f.engines {
		n += s.late.Load()
	}
	return n
}

// Guards against requests that lie at VMs that stand still and are read long after their callers have left.
func TestEnginesOfVMsThatStoodStillGetNoRequestsOfCallersThatLeft(t *testing.T) {
	for _, entries := range []int{2, 8} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			standstill.Run(t, func(t testing.TB) { testVMsThatStoodStill(t, entries) })
		})
	}
}

func testVMsThatStoodStill(t testing.TB, entries int) {
	f := newStillFleet(t, entries, 4, true)
	time.AfterFunc(600*time.Millisecond, func() {
		for _, s := range f.engines {
			s.engine.close()
			s.agent.close()
		}
	})
	time.AfterFunc(2*time.Second, func() {
		for _, s := range f.engines {
			s.engine.open()
			s.agent.open()
		}
	})
	f.call(2600*time.Millisecond, 50*time.Millisecond, 700*time.Millisecond)
	t.Logf("%d entries: %d of %d served, %d late", entries, f.served, f.asked, f.late())
	assert.LessOrEqual(t, f.late(), int64(mostLate))
}

// Guards against handovers and retries to a server that stands still: its own reports have stopped.
func TestServerWhoseReportsStoppedGetsNoHandoverOrRetry(t *testing.T) {
	for name, first := range map[string]func(http.ResponseWriter, *http.Request){"handover": silent, "retry": cut} {
		t.Run(name, func(t *testing.T) {
			still, other := newBackend(t, "b-still", events(0)), newBackend(t, "b-2", events(0))
			e := newEntry(t, newBackend(t, "b-1", first), still, other)
			e.onlyEngines()
			e.reportLoad(still, 0, 0)
			e.report(t, other, false, 7)
			time.Sleep(600 * time.Millisecond)
			for range 10 {
				assert.Equal(t, wholeStream, e.ask(t, http.MethodPost, "/stream/1").body)
				if name == "handover" {
					break // the first server is ejected
				}
			}
			assert.Empty(t, still.requests())
			assert.NotEmpty(t, other.requests())
		})
	}
}

// Guards against an idle engine that gets no requests for two seconds because its agent was killed.
func TestEngineOfAKilledAgentStaysInUse(t *testing.T) {
	idle, other := newBackend(t, "b-1", events(0)), newBackend(t, "b-2", events(0))
	idleAddr := strings.TrimPrefix(idle.URL, "http://")
	f := &agents{decide: func(n int, a ask) (reservation.Decision, error) {
		if a.server == idleAddr {
			return noAgent(n, a)
		}
		return refused(reservation.ReasonFull), nil
	}}
	e := newReservingEntry(t, f, idle, other)
	e.reportLoad(idle, 0, 0)
	e.report(t, other, false, 7)
	time.Sleep(600 * time.Millisecond)
	assert.Equal(t, wholeStream, e.ask(t, http.MethodPost, "/stream/1").body)
	assert.Len(t, idle.requests(), 1)
}
