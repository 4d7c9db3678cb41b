package staging

import (
	"context"
	"math/rand/v2"
	"time"

	"lynxgate.dev/lynxgate/internal/rpc"
)

// Sources of a piece: peers of this agent's zone, peers of other zones, the origin.

func (f *fetcher) fromPeer(ctx context.Context, piece int, now time.Time) {
	free := f.freeHolders(piece, now, true)
	if len(free) == 0 && !f.heldInZone(piece) && f.crossZoneDue(piece, now) {
		free = f.freeHolders(piece, now, false)
	}
	if len(free) == 0 {
		return
	}
	peer := free[rand.IntN(len(free))]
	f.inFlight[piece], f.busy[peer] = true, true
	f.downloads++
	timeout := peerTimeout
	if f.link.narrow() {
		timeout = pieceTimeout
	}
	go f.run(ctx, fetchResult{piece: piece, peer: peer, concurrent: f.downloads}, func(ctx context.Context) (received, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return f.requestPiece(ctx, peer, piece, false)
	})
}

// fromFirstAgent requests a piece from the agent that is first to fetch it from the origin, if
// that agent is in another zone, and waits until it has the piece. One agent of each zone
// does this.
func (f *fetcher) fromFirstAgent(ctx context.Context, piece int) {
	f.askedDirectly[piece] = true
	first := f.fleetRanks().first(piece)
	if first == nil || first.Zone == f.s.cfg.Zone {
		return
	}
	f.inFlight[piece] = true
	f.directRequests++
	peer := f.s.cfg.PeerAddr(first.Addr)
	go f.run(ctx, fetchResult{piece: piece, peer: peer, direct: true}, func(ctx context.Context) (received, error) {
		return f.requestPiece(ctx, peer, piece, true)
	})
}

// requestPiece requests a piece from a peer. With wait the peer waits until it has the piece.
func (f *fetcher) requestPiece(ctx context.Context, peer string, piece int, wait bool) (received, error) {
	resp, err := rpc.NewDRPCPiecesClient(f.s.pool.Get(ctx, peer)).Piece(ctx, &rpc.PieceRequest{
		Model: f.g.model, Version: f.g.version, Piece: uint32(piece), Wait: wait,
	})
	if err != nil {
		return received{}, err
	}
	if len(resp.Data) == 0 {
		return received{}, errPeerBusy
	}
	return received{data: resp.Data, confirmed: resp.Confirmed, waited: time.Duration(resp.WaitedMs) * time.Millisecond}, nil
}

// freeHolders returns the peers of this agent's zone, or of others, that have a piece and
// may be asked now.
func (f *fetcher) freeHolders(piece int, now time.Time, sameZone bool) []string {
	var free []string
	for peer, held := range f.holders {
		if held[piece] && f.zonePeers[peer] == sameZone && !f.busy[peer] && now.After(f.backoffUntil[peer]) {
			free = append(free, peer)
		}
	}
	return free
}

func (f *fetcher) heldInZone(piece int) bool {
	for peer, held := range f.holders {
		if held[piece] && f.zonePeers[peer] {
			return true
		}
	}
	return false
}

// crossZoneDue reports whether this agent may fetch a piece from another zone now: one agent
// of each zone does, and the others wait for it.
func (f *fetcher) crossZoneDue(piece int, now time.Time) bool {
	return now.Sub(f.announcedAt[piece]) >= time.Duration(f.zoneRank(piece))*crossZoneDelay
}

// originDue reports whether this agent may fetch a piece from the origin now.
func (f *fetcher) originDue(piece, holders int, now time.Time) bool {
	if f.inFlight[piece] || f.originFetches >= maxFromOrigin || f.link.narrow() && f.downloads > 0 || now.Before(f.backoffUntil[originPeer]) || !f.s.reported.Load() {
		return false
	}
	waited := now.Sub(f.began)
	if f.g.named.Number == 0 || f.g.age() > freshVersionAge {
		waited -= peerHeadStart
	}
	if holders > 0 {
		waited -= announcedDelay // peers that have it are preferred
	}
	rank := f.rank(piece)
	if !f.scheduled(piece, rank, now) {
		return false
	}
	if rank == 0 {
		return waited >= 0
	}
	delay := idleFailoverDelay
	if f.large() {
		delay = idleFailoverDelayLarge
	}
	if !f.idleSince.IsZero() && now.Sub(f.idleSince) >= time.Duration(rank)*delay {
		return true
	}
	return waited >= f.g.originTime()+time.Duration(rank)*lateFailoverDelay
}

func (f *fetcher) fromOrigin(ctx context.Context, piece int) {
	f.inFlight[piece] = true
	f.originFetches++
	go f.run(ctx, fetchResult{piece: piece, peer: originPeer}, func(ctx context.Context) (received, error) {
		data, err := f.s.cfg.Origin.Piece(ctx, f.g.origin.Addr, f.g.model, f.g.version, piece)
		return received{data: data}, err
	})
}
