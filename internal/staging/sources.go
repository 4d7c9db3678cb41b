package staging

import (
	"context"
	"math/rand/v2"
	"time"

	"lynxgate.dev/lynxgate/internal/rpc"
)

// Where a piece is fetched from: peers of the own zone, peers of others, the origin.

func (f *fetcher) fromPeer(ctx context.Context, piece int, now time.Time) {
	free := f.freeHolders(piece, now, true)
	if len(free) == 0 && !f.heldNear(piece) && f.farTurn(piece, now) {
		free = f.freeHolders(piece, now, false)
	}
	if len(free) == 0 {
		return
	}
	peer := free[rand.IntN(len(free))]
	f.inFlight[piece], f.busy[peer] = true, true
	f.downs++
	timeout := peerTimeout
	if f.link.narrow() {
		timeout = pieceTimeout
	}
	go f.run(ctx, fetched{piece: piece, peer: peer, beside: f.downs}, func(ctx context.Context) ([]byte, time.Duration, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return f.ask(ctx, peer, piece, false)
	})
}

// fromFetcher asks the agent of another zone that is to fetch a piece from the
// origin for it, and waits until that one has it: one agent of each zone does.
func (f *fetcher) fromFetcher(ctx context.Context, piece int) {
	f.asked[piece] = true
	first := f.turns().first(piece)
	if first == nil || first.Zone == f.s.cfg.Zone {
		return
	}
	f.inFlight[piece] = true
	f.directs++
	peer := f.s.cfg.PeerAddr(first.Addr)
	go f.run(ctx, fetched{piece: piece, peer: peer, direct: true}, func(ctx context.Context) ([]byte, time.Duration, error) {
		return f.ask(ctx, peer, piece, true)
	})
}

// ask asks a peer for a piece; with wait, until the peer holds it. It returns how long
// the peer kept the request before it sent the piece.
func (f *fetcher) ask(ctx context.Context, peer string, piece int, wait bool) ([]byte, time.Duration, error) {
	resp, err := rpc.NewDRPCPiecesClient(f.s.pool.Get(ctx, peer)).Piece(ctx, &rpc.PieceRequest{
		Model: f.g.model, Version: f.g.version, Piece: uint32(piece), Wait: wait,
	})
	if err != nil {
		return nil, 0, err
	}
	if len(resp.Data) == 0 {
		return nil, 0, errPeerBusy
	}
	return resp.Data, time.Duration(resp.WaitedMs) * time.Millisecond, nil
}

// freeHolders are the peers, of the own zone or of others, that hold a piece and
// may be asked now.
func (f *fetcher) freeHolders(piece int, now time.Time, near bool) []string {
	var free []string
	for peer, held := range f.holders {
		if held[piece] && f.nearPeers[peer] == near && !f.busy[peer] && now.After(f.badUntil[peer]) {
			free = append(free, peer)
		}
	}
	return free
}

func (f *fetcher) heldNear(piece int) bool {
	for peer, held := range f.holders {
		if held[piece] && f.nearPeers[peer] {
			return true
		}
	}
	return false
}

// farTurn tells whether it is for this agent to fetch a piece from another zone:
// one agent of each zone does, the others wait for it.
func (f *fetcher) farTurn(piece int, now time.Time) bool {
	return now.Sub(f.heldSince[piece]) >= time.Duration(f.turnNear(piece))*farPatience
}

// originsTurn tells whether it is for this agent to fetch a piece from the origin.
func (f *fetcher) originsTurn(piece, holders int, now time.Time) bool {
	if f.inFlight[piece] || f.origins >= maxFromOrigin || f.link.narrow() && f.downs > 0 || now.Before(f.badUntil[atOrigin]) || !f.s.reported.Load() {
		return false
	}
	waited := now.Sub(f.began)
	if f.g.named.Number == 0 || f.g.age() > freshVersion {
		waited -= peerHead
	}
	if holders > 0 {
		waited -= originPatience // peers that hold it are given a chance first
	}
	turn := f.turn(piece)
	if !f.scheduled(piece, turn, now) {
		return false
	}
	if turn == 0 {
		return waited >= 0
	}
	patience := idlePatience
	if f.large() {
		patience = idlePatienceLarge
	}
	if !f.idleSince.IsZero() && now.Sub(f.idleSince) >= time.Duration(turn)*patience {
		return true
	}
	return waited >= f.g.originTime()+time.Duration(turn)*latePatience
}

func (f *fetcher) fromOrigin(ctx context.Context, piece int) {
	f.inFlight[piece] = true
	f.origins++
	go f.run(ctx, fetched{piece: piece, peer: atOrigin}, func(ctx context.Context) ([]byte, time.Duration, error) {
		data, err := f.s.cfg.Origin.Piece(ctx, f.g.origin.Addr, f.g.model, f.g.version, piece)
		return data, 0, err
	})
}
