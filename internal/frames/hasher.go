package frames

import (
	"sync"

	"lukechampine.com/blake3"
)

// hashers reuses the hashers of answers that have ended: one has 3 KB, most of
// what an answer would otherwise allocate.
var hashers = sync.Pool{New: func() any { return blake3.New(digestSize, nil) }}

func getHasher() *blake3.Hasher {
	h := hashers.Get().(*blake3.Hasher)
	h.Reset()
	return h
}
