package follow

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/quarantine"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/rpcconn"
)

// fakeControl is a control server that passes the messages of followers to the test and
// answers requests for turns with turn.
type fakeControl struct {
	rpc.DRPCFleetUnimplementedServer
	messages chan *rpc.FollowerMessage
	turn     func(*rpc.FollowerMessage) *rpc.FleetUpdate
}

func (f *fakeControl) Follow(stream rpc.DRPCFleet_FollowStream) error {
	if err := stream.Send(&rpc.FleetUpdate{Number: 1}); err != nil {
		return err
	}
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		f.messages <- m
		if len(m.TurnWanted) == 0 || f.turn == nil {
			continue
		}
		if u := f.turn(m); u != nil {
			if err := stream.Send(u); err != nil {
				return err
			}
		}
	}
}

// next returns the next message for which accepts returns true.
func (f *fakeControl) next(t *testing.T, accepts func(*rpc.FollowerMessage) bool) *rpc.FollowerMessage {
	t.Helper()
	for limit := time.After(10 * time.Second); ; {
		select {
		case m := <-f.messages:
			if accepts(m) {
				return m
			}
		case <-limit:
			require.Fail(t, "no such message within 10 s")
		}
	}
}

// follower starts a client of this control server and waits for its first update.
func (f *fakeControl) follower(t *testing.T, known []quarantine.Update) *Client {
	t.Helper()
	f.messages = make(chan *rpc.FollowerMessage, 100)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	mux := drpcmux.New()
	require.NoError(t, rpc.DRPCRegisterFleet(mux, f))
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() { _ = rpcconn.Serve(ctx, lis, mux) }() // ends with the test
	updated := make(chan struct{}, 1)
	c := New(Config{
		Name: "entry", Role: "entry", Seeds: func() []string { return []string{lis.Addr().String()} },
		Suspicions: func() []quarantine.Update { return known },
		Update: func(string, *rpc.FleetUpdate, Anchor) {
			select {
			case updated <- struct{}{}:
			default:
			}
		},
		Lost: func(string) {}, Logger: zerolog.Nop(),
	})
	go func() { _ = c.Run(ctx) }()
	<-updated
	return c
}

var suspectContent = quarantine.DigestOf("org", "POST", "h", "/x", nil)

func answerTurn(given bool) func(*rpc.FollowerMessage) *rpc.FleetUpdate {
	return func(m *rpc.FollowerMessage) *rpc.FleetUpdate {
		return &rpc.FleetUpdate{Number: 2, Turns: []*rpc.Turn{
			{Digest: []byte("no digest"), Id: m.TurnId}, {Digest: m.TurnWanted, Id: m.TurnId, Given: given},
		}}
	}
}

// answerTurnWithoutID answers as a control server of an earlier build.
func answerTurnWithoutID(given bool) func(*rpc.FollowerMessage) *rpc.FleetUpdate {
	return func(m *rpc.FollowerMessage) *rpc.FleetUpdate {
		u := answerTurn(given)(m)
		for _, turn := range u.Turns {
			turn.Id = 0
		}
		return u
	}
}

func TestControlServerGrantsOrDeniesTurn(t *testing.T) {
	for _, answer := range []func(bool) func(*rpc.FollowerMessage) *rpc.FleetUpdate{answerTurn, answerTurnWithoutID} {
		for _, given := range []bool{true, false} {
			f := &fakeControl{turn: answer(given)}
			c := f.follower(t, nil)
			assert.Equal(t, given, c.AcquireTurn(t.Context(), suspectContent))
			c.ReleaseTurn(suspectContent)
			m := f.next(t, func(m *rpc.FollowerMessage) bool { return len(m.TurnEnded) > 0 })
			assert.Equal(t, suspectContent[:], m.TurnEnded)
		}
	}
}

// A control server that does not answer, or the lack of any open stream, must not block
// requests.
func TestEntryDispatchesWithoutAnswer(t *testing.T) {
	c := (&fakeControl{}).follower(t, nil)
	assert.True(t, c.AcquireTurn(t.Context(), suspectContent))
	assert.True(t, New(Config{}).AcquireTurn(t.Context(), suspectContent))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.False(t, c.AcquireTurn(ctx, suspectContent), "the caller has left")
}

// A control server that has restarted has lost all suspicions and gets them from entries.
func TestKnownSuspicionsAreSentOnConnect(t *testing.T) {
	f := &fakeControl{}
	known := []quarantine.Update{{Digest: suspectContent, Server: "s-1", At: clock.Now().Add(-3 * time.Second)}}
	c := f.follower(t, known)
	has := func(m *rpc.FollowerMessage) bool { return len(m.Suspicions) > 0 }
	m := f.next(t, has)
	assert.Equal(t, "s-1", m.Suspicions[0].Server)
	assert.InDelta(t, 3000, m.Suspicions[0].AgeMs, 1000)
	c.SendSuspicions([]quarantine.Update{{Digest: suspectContent, Server: "s-2", At: clock.Now()}})
	assert.Equal(t, "s-2", f.next(t, has).Suspicions[0].Server)
}

func TestInvalidSuspicionsAreSkipped(t *testing.T) {
	now := time.Now()
	updates := SuspicionsFromProto([]*rpc.Suspicion{
		{Digest: []byte("short"), Server: "s-1"}, {Digest: suspectContent[:], Server: "s-2", AgeMs: -5},
		{Digest: suspectContent[:], Server: "s-3", Cleared: true, AgeMs: 500},
	}, now)
	assert.Equal(t, []quarantine.Update{{Digest: suspectContent, Server: "s-3", Cleared: true, At: now.Add(-500 * time.Millisecond)}}, updates)
}

// SoleAttempt decides the weight of a crash, so it must survive the transfer.
func TestSuspicionsRoundTrip(t *testing.T) {
	now := time.Now()
	updates := []quarantine.Update{
		{Digest: suspectContent, Server: "s-1", SoleAttempt: true, At: now.Add(-2 * time.Second)},
		{Digest: suspectContent, Server: "s-2", Cleared: true, At: now.Add(-time.Second)},
		{Digest: suspectContent, At: now},
	}
	assert.Equal(t, updates, SuspicionsFromProto(SuspicionsToProto(updates, now), now))
}
