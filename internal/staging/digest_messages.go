package staging

import (
	"bytes"
	"fmt"
	"slices"

	"lynxgate.dev/lynxgate/internal/rpc"
)

// encodeDigests returns the message for what this agent knows of digests. Digests whose hash the caller has stated are left out.
func encodeDigests(a digestAnswer, known []byte) *rpc.DigestsResponse {
	resp := &rpc.DigestsResponse{Same: bytes.Equal(known, digestSum(a.digests)), Confirmed: make([]byte, (len(a.confirmed)+7)/8), AskedOrigin: a.askedOrigin}
	for piece, confirmed := range a.confirmed {
		if confirmed {
			resp.Confirmed[piece/8] |= 1 << (piece % 8)
		}
	}
	if !resp.Same {
		for i := range a.digests {
			resp.Digests = append(resp.Digests, a.digests[i][:])
		}
	}
	for _, c := range a.candidates {
		resp.Candidates = append(resp.Candidates, &rpc.DigestCandidate{Piece: uint32(c.piece), Digest: c.digest[:]})
	}
	return resp
}

// decodeDigests returns what a peer knows of the digests of a version, of which known are known here.
func decodeDigests(resp *rpc.DigestsResponse, known []Digest) (digestAnswer, error) {
	digests := make([]Digest, len(resp.Digests))
	for i, d := range resp.Digests {
		if err := digests[i].set(d); err != nil {
			return digestAnswer{}, err
		}
	}
	if resp.Same {
		digests = slices.Clone(known)
	}
	a := digestAnswer{digests: digests, confirmed: make([]bool, len(digests)), askedOrigin: resp.AskedOrigin}
	for i := range a.confirmed {
		a.confirmed[i] = i/8 < len(resp.Confirmed) && resp.Confirmed[i/8]>>(i%8)&1 == 1
	}
	for _, c := range resp.Candidates {
		out := candidate{piece: int(c.Piece)}
		if err := out.digest.set(c.Digest); err != nil {
			return digestAnswer{}, err
		}
		if out.piece >= len(digests) {
			return digestAnswer{}, fmt.Errorf("candidate for piece %d of %d", out.piece, len(digests))
		}
		a.candidates = append(a.candidates, out)
	}
	return a, nil
}

// set copies the bytes of a digest.
func (d *Digest) set(data []byte) error {
	if len(data) != len(d) {
		return fmt.Errorf("digest has invalid length %d", len(data))
	}
	copy(d[:], data)
	return nil
}
