package staging

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "lynxgate.dev/lynxgate/internal/testseed"
)

// Guards against staged pieces of an older version that are loaded as the newer one, since the only answer named their digests.
func TestStagedPieceIsLoadedOnceASecondAnswerNamesItsDigest(t *testing.T) {
	set := newPieceSet(digestsOf("old", "new"))
	require.True(t, set.put(0, []byte("old"), false))
	require.True(t, set.put(1, []byte("new"), true))
	assert.False(t, set.loadable())
	confirmed, _ := set.compare(digestsOf("old", "new"), false)
	assert.Zero(t, confirmed, "an answer to the same agent")
	assert.False(t, set.loadable())
	confirmed, _ = set.compare(digestsOf("old", "new"), true)
	assert.Equal(t, 1, confirmed)
	assert.True(t, set.loadable())
}

// Guards against a stale answer that is repeated, so that two agents have it: without bytes of the origin neither confirms the other.
func TestAnswersConfirmNothingWithoutBytesOfTheOrigin(t *testing.T) {
	set := newPieceSet(digestsOf("old", "older"))
	require.True(t, set.put(0, []byte("old"), false))
	require.True(t, set.put(1, []byte("older"), false))
	require.True(t, set.dropSample(2))
	assert.Equal(t, []int{0}, set.missing())
	confirmed, _ := set.compare(digestsOf("old", "older"), true)
	assert.Zero(t, confirmed)
	assert.False(t, set.put(0, []byte("new"), true), "the origin's bytes are not those that the answers name")
	set.noteMismatch(0, originPeer, []byte("new"), time.Now())
	confirmed, _ = set.compare(digestsOf("old", "older"), true)
	assert.Zero(t, confirmed)
	fresh := digestsOf("new", "newer")
	assert.Equal(t, []int{0}, set.correct(fresh))
	_, contested := set.compare(fresh, false)
	assert.Equal(t, []int{1}, contested)
	require.True(t, set.put(0, []byte("new"), true))
	assert.False(t, set.put(1, []byte("older"), false))
	require.True(t, set.put(1, []byte("newer"), true))
	assert.True(t, set.loadable())
	assert.False(t, set.dropSample(2))
}

func TestOriginsBytesDecideBetweenAnswersThatDiffer(t *testing.T) {
	replaced := 0
	set := newPieceSet(digestsOf("old"))
	set.onReplaced = func() { replaced++ }
	require.True(t, set.put(0, []byte("old"), false))
	_, contested := set.compare(digestsOf("new"), true)
	assert.Equal(t, []int{0}, contested)
	assert.Equal(t, []int{0}, set.missing())
	assert.Positive(t, replaced, "the pieces at the engine must be verified again")
	assert.False(t, set.put(0, []byte("old"), false), "a staged piece proves nothing")
	assert.False(t, set.put(0, []byte("spoilt"), true))
	assert.True(t, set.put(0, []byte("new"), true))
	assert.True(t, set.loadable())
	_, contested = set.compare(digestsOf("old"), true)
	assert.Empty(t, contested, "the digest is confirmed")
}

func TestConfirmedDigestOfAPeerReplacesOneThatIsNot(t *testing.T) {
	peer := newPieceSet(digestsOf("new", "b"))
	require.True(t, peer.put(0, []byte("new"), true))
	set := newPieceSet(digestsOf("old", "b"))
	require.True(t, set.put(0, []byte("old"), false))
	require.True(t, set.put(1, []byte("b"), false))
	replaced, contested := set.adopt(peer.answer())
	assert.Equal(t, []int{0}, replaced)
	assert.Empty(t, contested, "both have the same digest of the other piece")
	assert.Equal(t, []int{0}, set.missing())
	assert.True(t, set.put(0, []byte("new"), false))
	assert.False(t, set.loadable(), "the digest of the other piece is not confirmed")
}

// Guards against a wrong digest that two answers named, and that is kept though the origin's bytes contradict it.
func TestDigestThatTwoAnswersNamedIsCorrectedByBytes(t *testing.T) {
	now := time.Now()
	set := newPieceSet(digestsOf("spoilt"))
	set.compare(digestsOf("spoilt"), true)
	assert.False(t, set.put(0, []byte("a"), true))
	set.noteMismatch(0, originPeer, []byte("a"), now)
	assert.Equal(t, []int{0}, set.correct(digestsOf("a")))
	assert.True(t, set.put(0, []byte("a"), true))
	assert.True(t, set.loadable())
}

// Guards against a version that stays without a confirmation, and against one that is loaded with pieces of another version, whatever the
// order in which agents hear of each other and of the origin. Of the origin's answers for digests, stale ones name those of the older
// version for some pieces; no two of them the same.
func TestAgentsAgreeOnTheOriginsDigestsThoughAnswersWereStale(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const pieces = 4
		fresh := digestsOf("n0", "n1", "n2", "n3")
		data := func(age string, piece int) []byte { return fmt.Append(nil, age, piece) }
		older := digestsOf("o0", "o1", "o2", "o3")
		stalePieces := rapid.Permutation([]int{0, 1, 2, 3}).Draw(t, "stale pieces")[:rapid.IntRange(0, pieces).Draw(t, "stale")]
		answers := 0
		askOrigin := func() []Digest {
			answers++
			out := append([]Digest(nil), fresh...)
			if answers <= len(stalePieces) {
				out[stalePieces[answers-1]] = older[stalePieces[answers-1]]
			}
			return out
		}
		sets := make([]*pieceSet, rapid.IntRange(2, 4).Draw(t, "agents"))
		first := newPieceSet(askOrigin())
		first.askedOrigin.Store(true)
		for i := range sets {
			sets[i] = newPieceSet(first.allDigests())
			for piece := range pieces {
				sets[i].put(piece, data("o", piece), false)
			}
		}
		sets[0].askedOrigin.Store(true)
		wrong := func(set *pieceSet) bool {
			for piece, d := range set.allDigests() {
				if d != fresh[piece] {
					return true
				}
			}
			return false
		}
		step := func(action, at, from, piece int) {
			set, peer := sets[at%len(sets)], sets[from%len(sets)]
			switch action {
			case 0:
				set.compare(askOrigin(), !set.askedOrigin.Load())
			case 1:
				set.adopt(peer.answer())
			case 2:
				if set.get(piece) == nil {
					set.put(piece, data("n", piece), true)
				}
			case 3:
				if bytes, confirmed := peer.getConfirmed(piece); bytes != nil && set.get(piece) == nil {
					set.put(piece, bytes, confirmed)
				}
			}
			for _, set := range sets {
				if set.loadable() && wrong(set) {
					t.Fatalf("a set is loadable with wrong digests after %d answers", answers)
				}
			}
		}
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			step(rapid.IntRange(0, 3).Draw(t, "action"), rapid.IntRange(0, 3).Draw(t, "at"), rapid.IntRange(0, 3).Draw(t, "from"), rapid.IntRange(0, pieces-1).Draw(t, "piece"))
		}
		for round := range 3 * len(sets) {
			for at := range sets {
				for piece := range pieces {
					step(2, at, 0, piece)
					step(3, at, round, piece)
				}
				step(1, at, round, 0)
				step(0, at, 0, 0)
			}
		}
		for _, set := range sets {
			for piece := range pieces {
				if set.get(piece) == nil {
					set.put(piece, data("n", piece), true)
				}
			}
			require.True(t, set.loadable())
			require.False(t, wrong(set))
		}
	})
}
