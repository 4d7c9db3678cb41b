package fleetcontrol

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/ledger"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// link is a follow stream of a viewer or a hub whose messages are delivered by the test.
type link struct {
	hub    *hub
	f      *follower
	stamps *follow.Stamps
}

// newLink joins a hub; the first stamp has been under way for stampDelay.
func newLink(h *hub, role string, stampDelay time.Duration) *link {
	l := &link{hub: h, f: h.join(&rpc.FollowerMessage{Name: "f", Role: role}), stamps: follow.NewStamps(clock.Now().Add(-time.Minute))}
	l.stamp(stampDelay)
	return l
}

// stamp sends a stamp that has been under way for delay.
func (l *link) stamp(delay time.Duration) {
	l.hub.receive(l.f, &rpc.FollowerMessage{StampUs: l.stamps.Stamp(clock.Now().Add(-delay))})
}

// next returns the next update and its anchor if it is under way for delay, nil if there is none.
func (l *link) next(delay time.Duration) (*rpc.FleetUpdate, follow.Anchor) {
	u := l.hub.next(l.f)
	return u, l.stamps.Anchor(u.GetEcho(), clock.Now().Add(delay))
}

// appliedAt returns the time of version 2 in the state of a hub.
func appliedAt(h *hub) time.Time {
	v, _ := h.ledger.State().Versions["m"].Find(2)
	return v.AppliedAt
}

// Guards against use of older weights past their bound by the delay of the message that names newer ones.
func TestDelayedNamingDoesNotExtendTheUseOfOlderWeights(t *testing.T) {
	h := testHub()
	link := newLink(h, RoleAgent, 0)
	nameVersion(t, h, 2)
	u, at := link.next(2 * time.Second)
	v := follow.NewViewer(nil, nil, time.Second, zerolog.Nop())
	v.Update("c", u, at)
	named := v.View().Versions["m"].AppliedAt
	assert.False(t, named.After(appliedAt(h)), "dated %v late", named.Sub(appliedAt(h)))
	assert.WithinDuration(t, appliedAt(h), named, time.Second)
}

// Guards against the same where a control server hears of the naming from another one, and where it hears of it from a follower.
func TestDelayedNamingIsDatedByControlServers(t *testing.T) {
	first := testHub()
	nameVersion(t, first, 2)
	applied := appliedAt(first)
	peer := testHub()
	u, at := newLink(first, RoleControl, 0).next(2 * time.Second)
	peer.mergePeerUpdate("c-1", u, at)
	peer.ledger.BeginReplay()
	nameVersion(t, peer, 2)
	assert.False(t, appliedAt(peer).After(applied), "dated %v late", appliedAt(peer).Sub(applied))

	restarted := testHub()
	restarted.ledger.BeginReplay()
	nameVersion(t, restarted, 2)
	stamps := follow.NewStamps(clock.Now()) // of the control server
	follower := follow.NewStamps(clock.Now())
	follower.Receive(stamps.Stamp(clock.Now()), clock.Now())
	now := clock.Now()
	echo := follower.Echo(now)
	restarted.mergeNamings(ledger.NamingsToProto("m", first.ledger.State().Versions["m"], now), stamps.Anchor(echo, clock.Now().Add(2*time.Second)))
	assert.False(t, appliedAt(restarted).After(applied), "dated %v late", appliedAt(restarted).Sub(applied))
}

// Guards against namings that a delayed path of the control servers places late at all followers behind it.
func TestFollowerBehindADelayedPathDatesNamingsNoLater(t *testing.T) {
	const delay = time.Second // below the time without a message after which the stream is closed
	h := testHub()
	h.versionBound = time.Minute
	addr := delayed(t, serveHub(t, h), delay)
	h.controlAddrs = func() []string { return []string{addr} }
	v := follow.NewViewer(nil, nil, time.Second, zerolog.Nop())
	client := follow.New(follow.Config{
		Name: "f", Role: RoleAgent, Seeds: func() []string { return []string{addr} }, Logger: zerolog.Nop(),
		Update: v.Update, Lost: v.Lost,
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go h.run(ctx)
	go func() { ended <- client.Run(ctx) }()
	require.Eventually(t, func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.followers) > 0
	}, 10*time.Second, time.Millisecond)
	nameVersion(t, h, 2)
	require.Eventually(t, func() bool { return v.View().Versions["m"].Number == 2 }, 10*time.Second, time.Millisecond)
	named := v.View().Versions["m"].AppliedAt
	assert.False(t, named.After(appliedAt(h)), "dated %v late", named.Sub(appliedAt(h)))
	cancel()
	<-ended
}

// Guards against a naming that is lost on its way, as its stream is closed since the path has become slower than the silence after which
// a stream is taken for lost.
func TestNamingOnItsWayIsHeardThoughItsStreamFellSilent(t *testing.T) {
	const delay = 2 * time.Second
	h := testHub()
	h.versionBound = time.Minute
	hubAddr := serveHub(t, h)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h.controlAddrs = func() []string { return []string{lis.Addr().String()} }
	var slow atomic.Int64
	go forwardOne(lis, hubAddr, func() time.Duration { return time.Duration(slow.Load()) })
	v := follow.NewViewer(nil, nil, time.Second, zerolog.Nop())
	client := follow.New(follow.Config{
		Name: "f", Role: RoleEntry, Seeds: func() []string { return []string{lis.Addr().String()} }, Logger: zerolog.Nop(), Update: v.Update, Lost: v.Lost,
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go h.run(ctx)
	go func() { ended <- client.Run(ctx) }()
	require.Eventually(t, func() bool { return len(v.View().Entries) > 0 }, 10*time.Second, time.Millisecond)
	slow.Store(int64(delay))
	nameVersion(t, h, 2)
	assert.Eventually(t, func() bool { return v.View().Versions["m"].Number == 2 }, 2*delay, 10*time.Millisecond)
	assert.False(t, v.View().Versions["m"].AppliedAt.After(appliedAt(h)))
	cancel()
	<-ended
}

// forwardOne forwards the first connection to addr, and accepts no other. What it returns takes a delay.
func forwardOne(lis net.Listener, addr string, delay func() time.Duration) {
	near, err := lis.Accept()
	_ = lis.Close()
	if err != nil {
		return
	}
	defer near.Close()
	far, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	go func() {
		_, _ = io.Copy(far, near)
		_ = far.Close()
	}()
	copyLate(near, far, delay)
}

// delayed returns the address of a forwarder to addr that holds what it returns for a time.
func delayed(t *testing.T, addr string, delay time.Duration) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			near, err := lis.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", addr)
			if err != nil {
				_ = near.Close()
				return
			}
			go func() {
				_, _ = io.Copy(far, near)
				_ = far.Close()
			}()
			go func() {
				copyLate(near, far, func() time.Duration { return delay })
				_ = near.Close()
			}()
		}
	}()
	return lis.Addr().String()
}

// copyLate copies from src to dst until either ends; each byte takes the delay of when it is read.
func copyLate(dst io.Writer, src io.Reader, delay func() time.Duration) {
	type chunk struct {
		data []byte
		due  time.Time
	}
	chunks := make(chan chunk, 1000)
	go func() {
		defer close(chunks)
		for {
			data := make([]byte, 1<<14)
			n, err := src.Read(data)
			if err != nil {
				return
			}
			chunks <- chunk{data[:n], time.Now().Add(delay())}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		if _, err := dst.Write(c.data); err != nil {
			return
		}
	}
}

// Guards against weights that are given up early since one stamp was delayed.
func TestNamingDatedByADelayedStampIsDatedAgainByAFastOne(t *testing.T) {
	h := testHub()
	h.versionBound = time.Minute
	link := newLink(h, RoleAgent, 2*time.Second)
	nameVersion(t, h, 2)
	v := follow.NewViewer(nil, nil, time.Second, zerolog.Nop())
	deliver := func(wantEarly time.Duration) {
		t.Helper()
		u, at := link.next(0)
		require.NotNil(t, u)
		v.Update("c", u, at)
		named := v.View().Versions["m"].AppliedAt
		assert.False(t, named.After(appliedAt(h)))
		assert.WithinDuration(t, appliedAt(h).Add(-wantEarly), named, time.Second)
	}
	deliver(2 * time.Second)
	link.stamp(0)
	link.f.namingsAt = link.f.namingsAt.Add(-namingRepeatInterval)
	deliver(0)

	late := testHub()
	late.versionBound = time.Minute
	time.Sleep(20 * time.Millisecond)
	nameVersion(t, late, 2)
	u, at := newLink(late, RoleAgent, 0).next(0)
	v.Update("c-2", u, at)
	assert.False(t, v.View().Versions["m"].AppliedAt.After(appliedAt(h)), "a control server that applied it late")
}

// Guards against a time that each exchange makes earlier by the delay of the path.
func TestControlServersThatExchangeNamingsDoNotMoveTheirTimes(t *testing.T) {
	const delay = 50 * time.Millisecond
	leader, a, b := testHub(), testHub(), testHub()
	nameVersion(t, leader, 2)
	applied := appliedAt(leader)
	for _, h := range []*hub{a, b} {
		nameVersion(t, h, 2)
		u, at := newLink(leader, RoleControl, delay).next(delay)
		h.mergePeerUpdate("leader", u, at)
	}
	toA, toB := newLink(b, RoleControl, delay), newLink(a, RoleControl, delay)
	for range 40 {
		if u, at := toB.next(delay); u != nil {
			b.mergePeerUpdate("a", u, at)
		}
		if u, at := toA.next(delay); u != nil {
			a.mergePeerUpdate("b", u, at)
		}
	}
	assert.False(t, appliedAt(a).After(applied))
	assert.WithinDuration(t, applied, appliedAt(a), time.Second)
	assert.WithinDuration(t, applied, appliedAt(b), time.Second)
	assert.Nil(t, a.next(toB.f), "nothing is sent in circles")
	assert.Nil(t, b.next(toA.f))
}

// Guards against a control server of an earlier build, whose messages have no echo and no control server's times.
func TestNamingsOfEarlierBuildsCountFromTheirReceipt(t *testing.T) {
	h := testHub()
	nameVersion(t, h, 2)
	now := clock.Now()
	u, _ := newLink(h, RoleAgent, 0).next(0)
	u.StampUs, u.Echo = 0, nil
	v := follow.NewViewer(nil, nil, time.Second, zerolog.Nop())
	v.Update("c", u, follow.Received(now.Add(time.Second)))
	assert.True(t, v.View().Versions["m"].AppliedAt.After(now))
	v.Update("c", u, follow.Received(now.Add(3*time.Second)))
	v.Update("c", u, follow.Received(now))
	assert.False(t, v.View().Versions["m"].AppliedAt.After(now), "the earliest counts")
}

// Guards against an echo that counts a standstill of the control server, while the ages in the same message do not.
func TestStandstillWhileAnUpdateIsBuiltDatesItsNamingsNoLater(t *testing.T) {
	h := testHub()
	link := newLink(h, RoleAgent, 0)
	nameVersion(t, h, 2)
	h.mu.Lock()
	built := make(chan *rpc.FleetUpdate)
	go func() { built <- h.next(link.f) }()
	time.Sleep(100 * time.Millisecond)
	link.f.stamps.Receive(link.stamps.Stamp(clock.Now()), clock.Now()) // a stamp that is read meanwhile
	h.mu.Unlock()
	u := <-built
	at := link.stamps.Anchor(u.Echo, clock.Now().Add(time.Second))
	v := follow.NewViewer(nil, nil, time.Second, zerolog.Nop())
	v.Update("c", u, at)
	named := v.View().Versions["m"].AppliedAt
	assert.False(t, named.After(appliedAt(h)), "dated %v late", named.Sub(appliedAt(h)))
}
