package follow

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/ledger"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// recordedStream records what is sent on it and returns the given updates.
type recordedStream struct {
	rpc.DRPCFleet_FollowClient
	sent    []*rpc.FollowerMessage
	updates []*rpc.FleetUpdate
}

func (s *recordedStream) Send(m *rpc.FollowerMessage) error {
	s.sent = append(s.sent, m)
	return nil
}

func (s *recordedStream) Recv() (*rpc.FleetUpdate, error) {
	if len(s.updates) == 0 {
		return nil, io.EOF
	}
	u := s.updates[0]
	s.updates = s.updates[1:]
	return u, nil
}

// Guards against a stamp that is so old that the drift of two clocks makes the times of namings wrong.
func TestStampIsRenewedWhileOnlyKeepAlivesAreReceived(t *testing.T) {
	stream := &recordedStream{}
	s := newSession(stream)
	require.NoError(t, s.send(&rpc.FollowerMessage{Name: "a"}))
	first := stream.sent[0].StampUs
	assert.Positive(t, first)
	require.NoError(t, s.renewStamp(s.stampedAt.Add(stampInterval-1)))
	assert.Len(t, stream.sent, 1)
	require.NoError(t, s.renewStamp(s.stampedAt.Add(stampInterval)))
	require.Len(t, stream.sent, 2)
	assert.GreaterOrEqual(t, stream.sent[1].StampUs, first)
}

// Guards against namings that count from their receipt since the control server's stamp is not known when they are sent.
func TestNamingsAreSentOnceWithAnEcho(t *testing.T) {
	stream := &recordedStream{updates: []*rpc.FleetUpdate{{Number: 1, StampUs: 7}, {StampUs: 8}}}
	s := newSession(stream)
	known := func() map[string]ledger.Version {
		return map[string]ledger.Version{"m": ledger.AppliedBy(5, 2, clock.Now().Add(-time.Second))}
	}
	go s.read(t.Context())
	for range 2 {
		_, _, err := s.receive(nil)
		require.NoError(t, err)
		require.NoError(t, s.sendNamings(known))
	}
	require.Len(t, stream.sent, 1)
	m := stream.sent[0]
	require.Len(t, m.Versions, 1)
	assert.EqualValues(t, 5, m.Versions[0].AppliedBy)
	assert.EqualValues(t, 7, m.Echo.StampUs)
}

// Guards against a process that stops late, as it waits for messages of a stream that nothing is read from any more.
func TestStreamIsNotWaitedForOnceItsContextIsDone(t *testing.T) {
	for range 100 {
		ctx, cancel := context.WithCancel(t.Context())
		s := newSession(&recordedStream{})
		cancel()
		go s.read(ctx)
		_, _, err := s.receive(time.After(10 * time.Second))
		require.NotErrorIs(t, err, errSilent)
		require.Error(t, err)
	}
}
