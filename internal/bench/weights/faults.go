package main

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"lynxgate.dev/lynxgate/internal/rpc"
)

// faultyServer stands before a Manager and spoils what it sends: it flips a
// byte in some chunks, and stalls for good after a while.
type faultyServer struct {
	rpc.DRPCWeightsServer
	cfg   agentConfig
	began atomic.Pointer[time.Time]

	mu  sync.Mutex
	rng *rand.Rand
}

func newFaultyServer(inner rpc.DRPCWeightsServer, cfg agentConfig) *faultyServer {
	return &faultyServer{DRPCWeightsServer: inner, cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 7))}
}

func (f *faultyServer) begin() {
	now := time.Now()
	f.began.Store(&now)
}

func (f *faultyServer) stalled() bool {
	began := f.began.Load()
	return f.cfg.StallAfterMS > 0 && began != nil &&
		time.Since(*began) > time.Duration(f.cfg.StallAfterMS)*time.Millisecond
}

func (f *faultyServer) corrupts() bool {
	if f.cfg.CorruptShare == 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64() < f.cfg.CorruptShare
}

// Exchange implements rpc.DRPCWeightsServer.
func (f *faultyServer) Exchange(stream rpc.DRPCWeights_ExchangeStream) error {
	return f.DRPCWeightsServer.Exchange(&faultyStream{DRPCWeights_ExchangeStream: stream, faults: f})
}

type faultyStream struct {
	rpc.DRPCWeights_ExchangeStream
	faults *faultyServer
}

func (s *faultyStream) Send(piece *rpc.ChunkPiece) error {
	if s.faults.stalled() {
		<-s.Context().Done()
		return context.Canceled
	}
	if piece.GetLast() && len(piece.GetData()) > 0 && s.faults.corrupts() {
		piece.Data = bytes.Clone(piece.GetData())
		piece.Data[0] ^= 0xff
	}
	return s.DRPCWeights_ExchangeStream.Send(piece)
}
