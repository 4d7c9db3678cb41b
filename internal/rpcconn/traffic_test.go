package rpcconn_test

import (
	"context"
	"net"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"

	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/rpcconn"
)

// feed sends three updates to every subscriber.
type feed struct {
	rpc.DRPCFeedUnimplementedServer
}

func (feed) Subscribe(_ *rpc.SubscribeRequest, stream rpc.DRPCFeed_SubscribeStream) error {
	for revision := range uint64(3) {
		if err := stream.Send(&rpc.FeedUpdate{Revision: revision}); err != nil {
			return err
		}
	}
	return nil
}

func TestTrafficIsCountedAtBothEnds(t *testing.T) {
	mux := drpcmux.New()
	require.NoError(t, rpc.DRPCRegisterFeed(mux, feed{}))
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- rpcconn.Serve(ctx, lis, mux) }()

	before := traffic(t)
	conn, err := rpcconn.Dial(ctx, lis.Addr().String())
	require.NoError(t, err)
	stream, err := rpc.NewDRPCFeedClient(conn).Subscribe(ctx, &rpc.SubscribeRequest{Subscriber: "test"})
	require.NoError(t, err)
	for range 3 {
		_, err := stream.Recv()
		require.NoError(t, err)
	}
	_, err = stream.Recv()
	require.Error(t, err)
	require.NoError(t, conn.Close())
	cancel()
	require.NoError(t, <-served)

	after := traffic(t)
	grown := func(name, side, direction string) float64 {
		key := name + " Feed " + side + " " + direction
		return after[key] - before[key]
	}
	const messages, bytes = "lynxgate_rpc_messages_total", "lynxgate_rpc_bytes_total"
	require.Equal(t, 1.0, grown(messages, "client", "out"))
	require.Equal(t, 3.0, grown(messages, "client", "in"))
	require.Equal(t, 1.0, grown(messages, "server", "in"))
	require.Equal(t, 3.0, grown(messages, "server", "out"))
	require.Positive(t, grown(bytes, "client", "in"))
	require.GreaterOrEqual(t, grown(bytes, "server", "out"), grown(bytes, "client", "in"))
	require.Positive(t, grown(bytes, "server", "in"))
	require.GreaterOrEqual(t, grown(bytes, "client", "out"), grown(bytes, "server", "in"))
	for _, side := range []string{"client", "server"} {
		key := "lynxgate_rpc_connections  " + side + " "
		require.Equal(t, before[key], after[key], "open connections, %s", side)
	}
}

// traffic reads the collectors: "name service side direction" to value.
func traffic(t *testing.T) map[string]float64 {
	registry := prometheus.NewRegistry()
	registry.MustRegister(rpcconn.Collectors()...)
	families, err := registry.Gather()
	require.NoError(t, err)
	values := map[string]float64{}
	for _, family := range families {
		for _, metric := range family.Metric {
			labels := labelsOf(metric)
			key := family.GetName() + " " + labels["service"] + " " + labels["side"] + " " + labels["direction"]
			values[key] = metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
		}
	}
	return values
}

func labelsOf(metric *dto.Metric) map[string]string {
	labels := map[string]string{}
	for _, pair := range metric.Label {
		labels[pair.GetName()] = pair.GetValue()
	}
	return labels
}
