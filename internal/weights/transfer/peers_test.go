package transfer

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/weights/store"
)

// faultyServer changes what a node sends to its peers.
type faultyServer struct {
	rpc.DRPCWeightsServer
	// piece is called in place of the stream's Send.
	piece func(stream rpc.DRPCWeights_ExchangeStream, p *rpc.ChunkPiece) error
	// have is called before each have update is sent.
	have func(u *rpc.HaveUpdate)
}

func (s *faultyServer) Exchange(stream rpc.DRPCWeights_ExchangeStream) error {
	if s.piece != nil {
		stream = &faultyExchange{DRPCWeights_ExchangeStream: stream, faultyServer: s}
	}
	return s.DRPCWeightsServer.Exchange(stream)
}

func (s *faultyServer) Haves(req *rpc.HavesRequest, stream rpc.DRPCWeights_HavesStream) error {
	if s.have != nil {
		stream = &faultyHaves{DRPCWeights_HavesStream: stream, faultyServer: s}
	}
	return s.DRPCWeightsServer.Haves(req, stream)
}

type faultyExchange struct {
	rpc.DRPCWeights_ExchangeStream
	faultyServer *faultyServer
}

func (s *faultyExchange) Send(p *rpc.ChunkPiece) error {
	return s.faultyServer.piece(s.DRPCWeights_ExchangeStream, p)
}

type faultyHaves struct {
	rpc.DRPCWeights_HavesStream
	faultyServer *faultyServer
}

func (s *faultyHaves) Send(u *rpc.HaveUpdate) error {
	s.faultyServer.have(u)
	return s.DRPCWeights_HavesStream.Send(u)
}

func withFaultyPieces(piece func(stream rpc.DRPCWeights_ExchangeStream, p *rpc.ChunkPiece) error) nodeOptions {
	return nodeOptions{serve: func(inner rpc.DRPCWeightsServer) rpc.DRPCWeightsServer {
		return &faultyServer{DRPCWeightsServer: inner, piece: piece}
	}}
}

// isChunk distinguishes chunks from manifests, which faulty servers do not change.
func isChunk(p *rpc.ChunkPiece) bool { return len(p.GetData()) > 0 && p.GetData()[0] != '{' }

// Fails if wrong, incomplete or stalled pieces from a third of the nodes keep any
// node from staging the complete file, or make it stage wrong bytes.
func TestFaultyPeersDoNotPreventStaging(t *testing.T) {
	halt := func(stream rpc.DRPCWeights_ExchangeStream) error {
		<-stream.Context().Done()
		return context.Canceled
	}
	cases := map[string]func(stream rpc.DRPCWeights_ExchangeStream, p *rpc.ChunkPiece) error{
		"corrupt": func(stream rpc.DRPCWeights_ExchangeStream, p *rpc.ChunkPiece) error {
			if isChunk(p) {
				p.Data = bytes.Clone(p.Data)
				p.Data[len(p.Data)-1] ^= 1
			}
			return stream.Send(p)
		},
		"too long": func(stream rpc.DRPCWeights_ExchangeStream, p *rpc.ChunkPiece) error {
			if isChunk(p) {
				p.Data = append(bytes.Clone(p.Data), 0)
			}
			return stream.Send(p)
		},
		"stalled": func(stream rpc.DRPCWeights_ExchangeStream, p *rpc.ChunkPiece) error {
			if isChunk(p) {
				return halt(stream)
			}
			return stream.Send(p)
		},
		"stalled in mid-chunk": func(stream rpc.DRPCWeights_ExchangeStream, p *rpc.ChunkPiece) error {
			if isChunk(p) {
				_ = stream.Send(&rpc.ChunkPiece{Id: p.Id, Data: p.Data[:len(p.Data)/2]})
				return halt(stream)
			}
			return stream.Send(p)
		},
		"broken off in mid-chunk": func(stream rpc.DRPCWeights_ExchangeStream, p *rpc.ChunkPiece) error {
			if isChunk(p) {
				_ = stream.Send(&rpc.ChunkPiece{Id: p.Id, Data: p.Data[:len(p.Data)/2]})
				_ = stream.Close()
				return context.Canceled
			}
			return stream.Send(p)
		},
	}
	for name, piece := range cases {
		t.Run(name, func(t *testing.T) {
			origin := newFakeOrigin(t)
			data := weightsOf(1, testChunks)
			ref := origin.publish(t, "v1", data)
			nodes := startNodes(t, 6, map[int]nodeOptions{1: withFaultyPieces(piece), 4: withFaultyPieces(piece)})
			want(nodes, nodes, ref)
			requireStaged(t, nodes, "v1", data)
		})
	}
}

func TestPeerReportsChunksItDoesNotHold(t *testing.T) {
	origin := newFakeOrigin(t)
	data := weightsOf(1, testChunks)
	ref := origin.publish(t, "v1", data)
	falseReports := nodeOptions{
		// A scratch folder of one byte keeps it from storing any chunk.
		config: func(c *Config) { c.MaxBytes = 1 },
		serve: func(inner rpc.DRPCWeightsServer) rpc.DRPCWeightsServer {
			return &faultyServer{DRPCWeightsServer: inner, have: func(u *rpc.HaveUpdate) {
				u.Reset_ = true
				u.Bitmap = bytes.Repeat([]byte{0xff}, testChunks/8)
				u.SeenBitmap = u.Bitmap
			}}
		},
	}
	nodes := startNodes(t, 4, map[int]nodeOptions{2: falseReports})
	want(nodes, nodes, ref)
	requireStaged(t, []*node{nodes[0], nodes[1], nodes[3]}, "v1", data)
	require.False(t, nodes[2].progressOf("v1").Staged)
	require.Contains(t, nodes[2].progressOf("v1").Err, store.ErrFull.Error())
}

func TestPeerKilledDuringTransfer(t *testing.T) {
	origin := newFakeOrigin(t)
	data := weightsOf(1, testChunks)
	ref := origin.publish(t, "v1", data)
	var nodes []*node
	var kill sync.Once
	killed := make(chan struct{})
	opts := withFaultyPieces(func(stream rpc.DRPCWeights_ExchangeStream, p *rpc.ChunkPiece) error {
		if isChunk(p) {
			_ = stream.Send(&rpc.ChunkPiece{Id: p.Id, Data: p.Data[:10]})
			kill.Do(func() {
				go func() {
					nodes[0].kill()
					close(killed)
				}()
			})
			return errors.New("killed")
		}
		return stream.Send(p)
	})
	nodes = startNodes(t, 6, map[int]nodeOptions{0: opts})
	want(nodes, nodes, ref)
	requireStaged(t, nodes[1:], "v1", data)
	kill.Do(func() { close(killed) })
	<-killed
}
