package staging

import (
	"crypto/sha256"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func digestsOf(pieces ...string) (out []Digest) {
	for _, p := range pieces {
		out = append(out, sha256.Sum256([]byte(p)))
	}
	return out
}

// Guards against a version that no engine ever loads, since one digest was received wrong.
func TestWrongDigestIsCorrected(t *testing.T) {
	now := time.Now()
	set := newPieceSet(digestsOf("spoilt", "b"))
	assert.True(t, set.put(1, []byte("b"), true))
	assert.False(t, set.put(0, []byte("a"), true))
	set.noteMismatch(0, originPeer, []byte("a"), now)
	assert.False(t, set.inDoubt(), "the piece may be spoilt")
	_, due := set.takeRecheck(now)
	assert.False(t, due)
	set.noteMismatch(0, originPeer, []byte("a"), now)
	assert.True(t, set.inDoubt())
	r, due := set.takeRecheck(now)
	assert.True(t, due)
	assert.Equal(t, recheck{origin: true}, r)
	assert.Empty(t, set.correct(digestsOf("spoilt", "b")), "the same digests again")
	assert.Empty(t, set.correct(digestsOf("other", "b")), "digests that the bytes don't match either")
	assert.Empty(t, set.correct(digestsOf("a")), "digests of another number of pieces")
	assert.Equal(t, []int{0}, set.correct(digestsOf("a", "spoilt too")))
	assert.False(t, set.inDoubt())
	assert.True(t, set.put(0, []byte("a"), true))
	assert.Empty(t, set.missing(), "the piece that matched its digest is kept")
}

// Guards against the same at an agent whose peers have other digests.
func TestPeerThatSendsOtherBytesIsAskedForItsDigests(t *testing.T) {
	now := time.Now()
	set := newPieceSet(digestsOf("spoilt"))
	set.noteMismatch(0, "p", []byte("a"), now)
	set.noteMismatch(0, "p", []byte("a"), now)
	assert.False(t, set.inDoubt(), "its copy may be corrupt")
	r, due := set.takeRecheck(now)
	assert.True(t, due)
	assert.Equal(t, recheck{peers: []string{"p"}}, r)
	replaced, contested := set.adopt(digestAnswer{digests: digestsOf("a"), confirmed: []bool{false}})
	assert.Empty(t, replaced, "the peer may have staged a piece of another version")
	assert.Equal(t, []int{0}, contested)
	replaced, _ = set.adopt(digestAnswer{digests: digestsOf("a"), confirmed: []bool{true}})
	assert.Equal(t, []int{0}, replaced)
	assert.True(t, set.put(0, []byte("a"), false))
}

// Guards against an object that is spoilt for good and is requested without a pause.
func TestRequestsForAPieceThatNeverMatchesAreSpacedOut(t *testing.T) {
	const span = 24 * time.Second
	set := newPieceSet(digestsOf("a"))
	began := time.Now()
	requests, rechecks := 0, 0
	for now := began; now.Sub(began) < span; now = now.Add(10 * time.Millisecond) {
		if set.mayRequest(0, now) {
			requests++
			set.noteMismatch(0, originPeer, []byte("b"), now)
		}
		if _, due := set.takeRecheck(now); due {
			rechecks++
		}
	}
	assert.Greater(t, requests, 4)
	assert.Less(t, requests, 16)
	assert.Greater(t, rechecks, 3)
	assert.Less(t, rechecks, 16)
}
