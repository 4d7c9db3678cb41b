package staging

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"lynxgate.dev/lynxgate/internal/rpc"
)

// FuzzDecodeDigests checks that an answer of a peer about digests is taken over, and passed on as it was received.
func FuzzDecodeDigests(f *testing.F) {
	known := digestsOf("a", "b", "c")
	a := digestAnswer{digests: digestsOf("a", "x", "c"), confirmed: []bool{true, true, false}, candidates: []candidate{{2, digestsOf("y")[0]}}, askedOrigin: true}
	for _, resp := range []*rpc.DigestsResponse{
		{}, encodeDigests(a, nil), encodeDigests(a, digestSum(a.digests)), {Same: true, Confirmed: []byte{0xff, 0xff}},
		{Digests: [][]byte{{1}}}, {Same: true, Candidates: []*rpc.DigestCandidate{{Piece: 1 << 31, Digest: make([]byte, 32)}}},
		{Candidates: []*rpc.DigestCandidate{{Digest: []byte{1}}}},
	} {
		data, err := proto.Marshal(resp)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var resp rpc.DigestsResponse
		if proto.Unmarshal(data, &resp) != nil {
			return
		}
		answer, err := decodeDigests(&resp, known)
		if err != nil {
			return
		}
		again, err := decodeDigests(encodeDigests(answer, nil), nil)
		require.NoError(t, err)
		require.Equal(t, answer.digests, again.digests)
		require.Equal(t, answer.confirmed, again.confirmed)
		require.Equal(t, answer.candidates, again.candidates)
		require.Equal(t, answer.askedOrigin, again.askedOrigin)

		set := newPieceSet(slices.Clone(known))
		for piece, text := range []string{"a", "b", "c"} {
			require.True(t, set.put(piece, []byte(text), false))
		}
		set.adopt(answer)
		for piece, d := range set.allDigests() {
			data, confirmed := set.getConfirmed(piece)
			require.True(t, data == nil || d == known[piece], "a piece is kept under another digest")
			require.True(t, !confirmed || piece < len(answer.confirmed) && answer.confirmed[piece])
		}
	})
}
