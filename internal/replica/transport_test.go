package replica

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"lynxgate.dev/lynxgate/internal/consensus"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// arrival is a received message and the number of its connection.
type arrival struct {
	conn int
	term uint64
}

// messageRecorder receives messages, and sends receipts unless noReceipts is set. At most
// one connection may be open at a time.
type messageRecorder struct {
	conns      int
	arrivals   chan arrival
	noReceipts atomic.Bool
}

func (s *messageRecorder) Messages(stream rpc.DRPCReplication_MessagesStream) error {
	s.conns++
	conn := s.conns
	for {
		in, err := stream.Recv()
		if err != nil {
			return err
		}
		if !s.noReceipts.Load() {
			if err := stream.Send(&rpc.RaftReceipt{}); err != nil {
				return err
			}
		}
		s.arrivals <- arrival{conn: conn, term: in.Term}
	}
}

// A connection with overdue receipts must be replaced without losing the next message.
func TestConnectionWithoutReceiptsIsReplaced(t *testing.T) {
	const staleAfter = 50 * time.Millisecond
	recorder := &messageRecorder{arrivals: make(chan arrival, 16)}
	mux := drpcmux.New()
	require.NoError(t, rpc.DRPCRegisterReplication(mux, recorder))
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- drpcserver.New(mux).Serve(ctx, lis) }()
	defer func() {
		cancel()
		<-served
	}()

	transport := newTransport([]Member{{Name: "peer", Addr: lis.Addr().String()}}, staleAfter, newMetrics())
	defer transport.close()
	send := func(term uint64) arrival {
		transport.send(consensus.Message{Kind: consensus.KindHeartbeat, To: consensus.ServerID{Name: "peer"}, Term: term}, time.Now())
		select {
		case a := <-recorder.arrivals:
			return a
		case <-time.After(waitLimit):
			t.Fatal("no message arrived")
		}
		return arrival{}
	}

	require.Equal(t, arrival{conn: 1, term: 1}, send(1))
	time.Sleep(2 * staleAfter)
	require.Equal(t, arrival{conn: 1, term: 2}, send(2), "no receipt is pending")
	recorder.noReceipts.Store(true)
	require.Equal(t, arrival{conn: 1, term: 3}, send(3))
	time.Sleep(2 * staleAfter)
	recorder.noReceipts.Store(false)
	require.Equal(t, arrival{conn: 2, term: 4}, send(4))
	require.Equal(t, arrival{conn: 2, term: 5}, send(5))
}
