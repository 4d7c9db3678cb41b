package replica

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"lynxgate.dev/lynxgate/internal/consensus"
	"lynxgate.dev/lynxgate/internal/rpc"
)

var (
	idA = consensus.ServerID{Name: "a", Incarnation: 1}
	idB = consensus.ServerID{Name: "b", Incarnation: 1 << 63}
	idC = consensus.ServerID{Name: "c", Incarnation: 3}

	foundingSnapshot = consensus.Snapshot{
		Index: 1, Term: 1, Membership: consensus.Membership{{ID: idA, Addr: "127.0.0.1:1"}, {ID: idB}, {ID: idC}},
	}
	sampleMessages = []consensus.Message{
		{Kind: consensus.KindHello, From: idA, To: consensus.ServerID{Name: "b"}, Addr: "127.0.0.1:1", Context: 1 << 60},
		{Kind: consensus.KindFound, From: idA, To: idB, Term: 1, Snapshot: &foundingSnapshot},
		{Kind: consensus.KindRequestVote, From: idA, To: idB, Term: 3, Index: 9, LogTerm: 2, Context: consensus.TransferContext},
		{Kind: consensus.KindAppendEntries, From: idA, To: idB, Term: 3, Index: 1, LogTerm: 1, Commit: 1, Entries: []consensus.Entry{
			{Index: 2, Term: 2, Data: []byte("x")}, {Index: 3, Term: 3, Kind: consensus.EntryNoOp},
		}},
		{Kind: consensus.KindAppendEntriesReply, From: idA, To: idB, Term: 3, Reject: true, Index: 7, RejectHint: 2},
		{Kind: consensus.KindInstallSnapshot, From: idA, To: idB, Term: 4, Index: 9, Snapshot: &consensus.Snapshot{
			Index: 9, Term: 4, Membership: foundingSnapshot.Membership, Data: bytes.Repeat([]byte("state"), 200_000),
		}},
	}
)

func TestMessageRoundTrip(t *testing.T) {
	for _, want := range sampleMessages {
		chunks, err := encodeMessage(want)
		require.NoError(t, err)
		var d decoder
		for i, chunk := range chunks {
			require.Less(t, proto.Size(chunk), 1<<20)
			got, complete, err := d.decode(chunk)
			require.NoError(t, err)
			require.Equal(t, i == len(chunks)-1, complete)
			if complete {
				require.Equal(t, want, got)
			}
		}
	}
}

// FuzzMessage requires that no message from the network makes the core panic or loop
// forever.
func FuzzMessage(f *testing.F) {
	for _, m := range sampleMessages {
		chunks, err := encodeMessage(m)
		require.NoError(f, err)
		data, err := proto.Marshal(chunks[len(chunks)-1])
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var in rpc.RaftMessage
		if proto.Unmarshal(data, &in) != nil {
			return
		}
		var d decoder
		m, complete, err := d.decode(&in)
		if err != nil || !complete {
			return
		}
		core := consensus.New(consensus.Config{
			ID: idB, Peers: []string{"a", "b", "c"}, ElectionTicks: 4, HeartbeatTicks: 1, Rand: rand.New(rand.NewPCG(1, 2)),
		}, consensus.Restored{
			HardState: consensus.HardState{CurrentTerm: 2}, Snapshot: foundingSnapshot,
			Entries: []consensus.Entry{{Index: 2, Term: 2, Data: []byte("x")}},
		})
		for range 2 {
			core.Step(m)
			for i := 0; core.HasReady(); i++ {
				require.Less(t, i, 100, "Ready does not end: %v", core)
				core.Ready()
				core.Advance()
			}
			core.Tick()
		}
	})
}

// newNodeWithoutLoop returns a node whose event loop has stopped, so that a test can drive
// its core. Its storage is still open.
func newNodeWithoutLoop(t *testing.T) *Node {
	cfg := Config{Name: "b", Addr: "127.0.0.1:1", Dir: t.TempDir(), Peers: []Member{{Name: "a", Addr: "127.0.0.1:1"}, {Name: "b"}}}
	node, err := Start(cfg, &listFSM{})
	require.NoError(t, err)
	node.shutDown()
	<-node.loopDone
	return node
}

// A message that depends on a sync must not be sent if the sync failed.
func TestNoMessageWithoutSync(t *testing.T) {
	node := newNodeWithoutLoop(t)
	self := node.core.State().ID
	founding := consensus.Snapshot{Index: 1, Term: 1, Membership: consensus.Membership{{ID: idA, Addr: "127.0.0.1:1"}, {ID: self}}}
	node.core.Step(consensus.Message{Kind: consensus.KindFound, From: idA, To: self, Snapshot: &founding})
	require.NoError(t, node.processReady())
	sent := len(node.transport.peers)
	clear(node.transport.peers)
	require.Positive(t, sent, "the reply must be sent after a successful sync")

	require.NoError(t, node.store.Close())
	node.core.Step(consensus.Message{
		Kind: consensus.KindAppendEntries, From: idA, To: self, Term: 1, Index: 1, LogTerm: 1,
		Entries: []consensus.Entry{{Index: 2, Term: 1}},
	})
	require.Error(t, node.processReady())
	require.Empty(t, node.transport.peers, "the entry must not be acknowledged without a sync")
	node.transport.close()
}
