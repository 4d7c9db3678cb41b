package staging

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"

	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/rpcconn"
)

// quietPeer announces one piece on its first stream, which is then silent, and two on
// the next one.
type quietPeer struct {
	rpc.DRPCPiecesUnimplementedServer
	asked atomic.Int64
}

func (p *quietPeer) Held(_ *rpc.HeldRequest, stream rpc.DRPCPieces_HeldStream) error {
	update := &rpc.HeldUpdate{Added: []uint32{0}}
	if p.asked.Add(1) > 1 {
		update.Added = []uint32{0, 1}
	}
	if err := stream.Send(update); err != nil {
		return err
	}
	<-stream.Context().Done()
	return stream.Context().Err()
}

func TestSilentStreamIsReplaced(t *testing.T) {
	peer := &quietPeer{}
	mux := drpcmux.New()
	require.NoError(t, rpc.DRPCRegisterPieces(mux, peer))
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- rpcconn.Serve(ctx, lis, mux) }()
	defer func() {
		cancel()
		assert.NoError(t, <-served)
	}()

	f := testFetcher([]byte("a"), []byte("b"))
	f.s.pool, f.g.engine.Pieces, f.updates = rpcconn.NewPool(), 2, make(chan peerUpdate)
	listened := make(chan struct{})
	go func() {
		defer close(listened)
		f.watchPeer(t.Context(), lis.Addr().String())
	}()
	for {
		select {
		case update := <-f.updates:
			f.handleUpdate(update)
			continue
		case <-listened:
		case <-time.After(time.Minute):
			t.Fatal("the silent stream was not replaced")
		}
		break
	}
	assert.Len(t, f.holders[lis.Addr().String()], 2)
	assert.EqualValues(t, 2, peer.asked.Load(), "no new stream to a peer that has all pieces")
}
