package configfeed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"lynxgate.dev/lynxgate/internal/keyspace"
	"lynxgate.dev/lynxgate/internal/rpc"
)

const (
	waitLong       = 30 * time.Second
	confirmTimeout = 200 * time.Millisecond
)

// keyOf returns the key that revision r changes: one of ten, under two prefixes.
// Every seventh revision deletes its key.
func keyOf(r uint64) string { return fmt.Sprintf("%c/%d", 'a'+byte(r%2), r%10) }

func entryOf(r uint64) *keyspace.Entry {
	return &keyspace.Entry{Key: keyOf(r), Value: []byte(strconv.FormatUint(r, 10)), Revision: r, Deleted: r%7 == 0}
}

// viewAt returns the view that every process must have at revision r.
func viewAt(r uint64, prefixes ...string) *keyspace.View {
	view := keyspace.NewView(0, nil)
	for i := uint64(1); i <= r; i++ {
		if keyspace.Matches(keyOf(i), prefixes) {
			view = view.Apply(i, []*keyspace.Entry{entryOf(i)})
		}
	}
	return view.Apply(r, nil)
}

// testSource is a source on loopback whose state is set by the test.
type testSource struct {
	t         *testing.T
	addr      string
	store     *Store
	confirmed *atomic.Bool
	newest    *atomic.Uint64
	stop      func()
}

func startSource(t *testing.T, newest *atomic.Uint64) *testSource {
	s := &testSource{t: t, addr: "127.0.0.1:0", confirmed: new(atomic.Bool), newest: newest}
	s.confirmed.Store(true)
	s.start()
	t.Cleanup(func() { s.stop() })
	return s
}

// start serves from an empty store, like a restarted process.
func (s *testSource) start() {
	lis, err := net.Listen("tcp", s.addr)
	require.NoError(s.t, err)
	s.addr = lis.Addr().String()
	s.store = NewStore()
	mux := drpcmux.New()
	require.NoError(s.t, rpc.DRPCRegisterFeed(mux, NewSource(SourceConfig{
		Store:     s.store,
		Confirmed: s.confirmed.Load,
		Confirm: func(context.Context) (uint64, error) {
			if !s.confirmed.Load() {
				return 0, errors.New("cut off")
			}
			return s.newest.Load(), nil
		},
		Heartbeat:      20 * time.Millisecond,
		ConfirmTimeout: confirmTimeout,
	})))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = drpcserver.New(mux).Serve(ctx, lis)
	}()
	s.stop = func() {
		cancel()
		<-done
	}
}

// advance brings the source to revision r, by deltas or by replacing the view.
func (s *testSource) advance(r uint64, whole bool) {
	if whole && r > s.store.Revision() {
		s.store.Replace(viewAt(r))
	}
	for next := s.store.Revision() + 1; next <= r; next++ {
		changes := []*keyspace.Entry{entryOf(next)}
		s.store.Advance(s.store.View().Apply(next, changes), changes)
	}
}

// testClient runs a client and checks each view that it puts into force.
type testClient struct {
	t         *testing.T
	cfg       ClientConfig
	client    *Client
	highest   uint64
	stopRun   func()
	stopCheck func()
}

func startClient(t *testing.T, cfg ClientConfig) *testClient {
	f := &testClient{t: t, cfg: cfg}
	f.start()
	t.Cleanup(func() { f.stop() })
	return f
}

func (f *testClient) start() {
	client, err := NewClient(f.cfg)
	require.NoError(f.t, err)
	f.client = client
	f.stopRun = background(func(ctx context.Context) { _ = client.Run(ctx) })
	f.stopCheck = background(f.checkViews)
}

func (f *testClient) stop() {
	f.stopRun()
	f.stopCheck()
}

func background(run func(context.Context)) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// checkViews checks that revisions never decrease, also over restarts, and that
// each view has the content of its revision.
func (f *testClient) checkViews(ctx context.Context) {
	for {
		changed := f.client.Changed()
		view := f.client.View()
		if view.Revision() > 0 {
			if view.Revision() < f.highest {
				f.t.Errorf("revision decreased from %d to %d", f.highest, view.Revision())
			}
			f.highest = view.Revision()
			want := viewAt(view.Revision(), f.cfg.Prefixes...)
			if diff := keyspace.Diff(want, view); len(diff) > 0 {
				f.t.Errorf("revision %d: %s differs", view.Revision(), diff[0].Key)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// TestClientNeverLowersRevision runs a client against three sources under random
// restarts, lost quorums, overrun histories and hundreds of changes.
func TestClientNeverLowersRevision(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runRandomEvents(t, rand.New(rand.NewPCG(seed, 1)))
		})
	}
}

func runRandomEvents(t *testing.T, random *rand.Rand) {
	var newest atomic.Uint64
	var sources []*testSource
	cfg := ClientConfig{
		Name:      "f",
		FloorPath: filepath.Join(t.TempDir(), "floor"),
		StartWait: 200 * time.Millisecond,
		Patience:  400 * time.Millisecond,
	}
	if random.IntN(2) == 0 {
		cfg.Prefixes = []string{"a/"}
	}
	for range 3 {
		sources = append(sources, startSource(t, &newest))
		cfg.Upstreams = append(cfg.Upstreams, sources[len(sources)-1].addr)
	}
	newest.Store(1)
	sources[0].advance(1, false)
	f := startClient(t, cfg)
	for range 60 {
		s := sources[random.IntN(len(sources))]
		switch random.IntN(8) {
		case 0: // the source restarts, possibly at an older revision
			behind := uint64(random.IntN(20))
			at := s.store.Revision()
			s.stop()
			s.start()
			s.advance(at-min(at, behind), random.IntN(2) == 0)
		case 1:
			s.confirmed.Store(!s.confirmed.Load())
		case 2:
			f.stop()
			f.start()
		case 3: // up to hundreds of changes at once
			newest.Add(uint64(random.IntN(300)))
			s.advance(newest.Load(), true)
		default:
			newest.Add(uint64(random.IntN(3)))
			if s.confirmed.Load() {
				s.advance(newest.Load(), random.IntN(4) == 0)
			}
		}
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
	}
	for _, s := range sources {
		s.confirmed.Store(true)
		s.advance(newest.Load(), false)
	}
	require.Eventually(t, func() bool {
		return f.client.Revision() == newest.Load() && !f.client.Unconfirmed()
	}, waitLong, 5*time.Millisecond, "reaches the newest revision, confirmed")
	f.stop()
}

// TestStartRequiresConfirmedSource starts a process whose first source was cut off
// from the quorum for hours while the second one has advanced.
func TestStartRequiresConfirmedSource(t *testing.T) {
	var newest atomic.Uint64
	newest.Store(500)
	stale, good := startSource(t, &newest), startSource(t, &newest)
	stale.confirmed.Store(false)
	stale.advance(20, true)
	good.advance(500, true)
	cfg := ClientConfig{Name: "f", Upstreams: []string{stale.addr, good.addr}, StartWait: waitLong, Patience: time.Second}
	f := startClient(t, cfg)
	<-f.client.Ready()
	require.EqualValues(t, 500, f.client.Revision())

	lagging := startSource(t, &newest) // confirmed, but not at the newest revision
	lagging.advance(499, true)
	cfg.Upstreams = []string{lagging.addr}
	f = startClient(t, cfg)
	require.Never(t, func() bool { return f.client.Revision() != 0 }, 2*confirmTimeout, 10*time.Millisecond)
	lagging.advance(500, false)
	<-f.client.Ready()
	require.EqualValues(t, 500, f.client.Revision())
}

// TestStartWithoutQuorum applies the highest revision of the sources, but none
// below the floor.
func TestStartWithoutQuorum(t *testing.T) {
	var newest atomic.Uint64
	var cfg ClientConfig
	var sources []*testSource
	for _, revision := range []uint64{20, 40, 30} {
		s := startSource(t, &newest)
		s.confirmed.Store(false)
		s.advance(revision, true)
		sources = append(sources, s)
		cfg.Upstreams = append(cfg.Upstreams, s.addr)
	}
	cfg.Name, cfg.StartWait, cfg.Patience = "f", 100*time.Millisecond, time.Second
	f := startClient(t, cfg)
	<-f.client.Ready()
	require.EqualValues(t, 40, f.client.Revision())
	require.True(t, f.client.Unconfirmed())

	cfg.FloorPath = filepath.Join(t.TempDir(), "floor")
	sources[1].advance(45, false)
	f = startClient(t, cfg)
	require.Eventually(t, func() bool { return f.client.Revision() == 45 }, waitLong, 5*time.Millisecond)
	f.stop()
	sources[1].stop()
	f.start()
	require.Never(t, func() bool { return f.client.Revision() != 0 }, 1500*time.Millisecond, 10*time.Millisecond)
	sources[2].advance(46, false)
	<-f.client.Ready()
	require.EqualValues(t, 46, f.client.Revision())
}

// TestSilentSourceIsLeft connects to a source that accepts the connection and sends
// nothing, like a frozen process.
func TestSilentSourceIsLeft(t *testing.T) {
	frozen, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer frozen.Close()
	var newest atomic.Uint64
	newest.Store(3)
	good := startSource(t, &newest)
	good.advance(3, false)
	f := startClient(t, ClientConfig{Name: "f", Upstreams: []string{frozen.Addr().String(), good.addr}, Patience: 300 * time.Millisecond})
	<-f.client.Ready()
	require.EqualValues(t, 3, f.client.Revision())
}
