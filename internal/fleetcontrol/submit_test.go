package fleetcontrol

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"

	"lynxgate.dev/lynxgate/internal/replica"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/rpcconn"
)

// fakeLeader answers submitted commands.
type fakeLeader struct {
	rpc.DRPCFleetUnimplementedServer
	status rpc.Status
}

func (f *fakeLeader) Submit(context.Context, *rpc.SubmitRequest) (*rpc.SubmitResponse, error) {
	return &rpc.SubmitResponse{Status: f.status}, nil
}

// quietListener accepts connections. silence makes those accepted so far discard all that
// they receive.
type quietListener struct {
	net.Listener
	accepted, silenced atomic.Int64
}

type quietConn struct {
	net.Conn
	number int64
	lis    *quietListener
}

func (l *quietListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &quietConn{Conn: conn, number: l.accepted.Add(1), lis: l}, nil
}

func (l *quietListener) silence() { l.silenced.Store(l.accepted.Load()) }

func (c *quietConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || c.number > c.lis.silenced.Load() {
			return n, err
		}
	}
}

// A connection to the leader that dies without an error must not be reused for the next command.
func TestSubmitSucceedsAfterEarlierConnectionsDied(t *testing.T) {
	leader := &fakeLeader{status: rpc.Status_STATUS_OK}
	mux := drpcmux.New()
	require.NoError(t, rpc.DRPCRegisterFleet(mux, leader))
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	lis := &quietListener{Listener: tcp}
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- rpcconn.Serve(ctx, lis, mux) }()
	defer func() {
		cancel()
		assert.NoError(t, <-served)
	}()

	submit := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		return submitTo(ctx, lis.Addr().String(), []byte("command"))
	}
	for range 4 {
		require.NoError(t, submit())
		lis.silence()
	}
	assert.EqualValues(t, 4, lis.accepted.Load())
	leader.status = rpc.Status_STATUS_NOT_LEADER
	var notLeader *replica.NotLeaderError
	require.ErrorAs(t, submit(), &notLeader)
	leader.status = rpc.Status_STATUS_RESULT_UNKNOWN
	require.ErrorIs(t, submit(), replica.ErrResultUnknown)
}
