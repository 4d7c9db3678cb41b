package fleetcontrol

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// Guards against namings in the first update that can't be dated.
func TestFirstUpdateEchoesTheStampOfTheFollower(t *testing.T) {
	h := testHub()
	nameVersion(t, h, 2)
	addr := serveHub(t, h)
	first := make(chan follow.Anchor, 1)
	client := follow.New(follow.Config{
		Name: "f", Role: RoleAgent, Seeds: func() []string { return []string{addr} }, Logger: zerolog.Nop(),
		Update: func(_ string, u *rpc.FleetUpdate, at follow.Anchor) {
			if u.Number == 1 {
				first <- at
			}
		}, Lost: func(string) {},
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	began := clock.Now()
	go func() { ended <- client.Run(ctx) }()
	at := <-first
	assert.True(t, at.Echoed)
	assert.False(t, at.AsOf.Before(began))
	cancel()
	<-ended
	registry := prometheus.NewRegistry()
	registry.MustRegister(client.Collectors()...)
	families, err := registry.Gather()
	require.NoError(t, err)
	path := slices.IndexFunc(families, func(f *dto.MetricFamily) bool { return f.GetName() == "lynxgate_follow_path_seconds" })
	require.NotEqual(t, -1, path)
	assert.Positive(t, families[path].Metric[0].Histogram.GetSampleCount())
}

// Guards against an echo that says that the follower has all namings while one is not sent yet.
func TestKeepAliveDoesNotPassOverANamingThatIsNotSentYet(t *testing.T) {
	h := testHub()
	f := h.join(&rpc.FollowerMessage{Name: "a", Role: RoleAgent})
	h.receive(f, &rpc.FollowerMessage{StampUs: 5})
	require.EqualValues(t, 5, h.next(f).Echo.StampUs)
	u := h.keepAlive(f)
	assert.Zero(t, u.Number)
	assert.EqualValues(t, 5, u.Echo.StampUs)
	nameVersion(t, h, 2)
	u = h.keepAlive(f)
	assert.Len(t, u.Versions, 1)
	assert.NotZero(t, u.Number)
	assert.Zero(t, h.keepAlive(f).Number)
}

func TestFollowerOfAnEarlierBuildGetsNoEcho(t *testing.T) {
	h := testHub()
	nameVersion(t, h, 2)
	f := h.join(&rpc.FollowerMessage{Name: "a", Role: RoleAgent})
	at := h.receive(f, &rpc.FollowerMessage{Acknowledged: 1})
	assert.False(t, at.Echoed)
	assert.Nil(t, h.next(f).Echo)
	assert.Nil(t, h.keepAlive(f).Echo)
}

// Guards against namings of a follower that can't be dated as it does not have a stamp of the control server yet.
func TestFollowerEchoesAStampWithItsNamings(t *testing.T) {
	h := testHub()
	f := h.join(&rpc.FollowerMessage{Name: "a", Role: RoleAgent})
	peer := follow.NewStamps(clock.Now())
	peer.Receive(h.next(f).StampUs, clock.Now())
	echo := peer.Echo(clock.Now())
	time.Sleep(20 * time.Millisecond)
	at := h.receive(f, &rpc.FollowerMessage{Echo: echo})
	assert.True(t, at.Echoed)
	assert.GreaterOrEqual(t, at.Path(), 20*time.Millisecond)
}
