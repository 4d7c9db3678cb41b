package swarm

import "math/bits"

const wordBits = 64

// Bits is a set of chunk indexes.
type Bits []uint64

// NewBits returns an empty set for n chunks.
func NewBits(n int) Bits { return make(Bits, (n+wordBits-1)/wordBits) }

// Set adds i.
func (b Bits) Set(i int) { b[i/wordBits] |= 1 << (i % wordBits) }

// Clear removes i.
func (b Bits) Clear(i int) { b[i/wordBits] &^= 1 << (i % wordBits) }

// Has reports whether i is in the set.
func (b Bits) Has(i int) bool { return b[i/wordBits]&(1<<(i%wordBits)) != 0 }

// Count returns the number of members.
func (b Bits) Count() int {
	count := 0
	for _, w := range b {
		count += bits.OnesCount64(w)
	}
	return count
}

// Bytes encodes the set, least significant bit first.
func (b Bits) Bytes(n int) []byte {
	out := make([]byte, (n+7)/8)
	for i := range out {
		out[i] = byte(b[i/8] >> (8 * (i % 8)))
	}
	return out
}

// ParseBits decodes a set for n chunks; bits beyond n are ignored.
func ParseBits(data []byte, n int) Bits {
	b := NewBits(n)
	for i := 0; i < n && i/8 < len(data); i++ {
		if data[i/8]&(1<<(i%8)) != 0 {
			b.Set(i)
		}
	}
	return b
}

// each calls f for every member of the set in order.
func (b Bits) each(f func(i int)) {
	for w, word := range b {
		for word != 0 {
			f(w*wordBits + bits.TrailingZeros64(word))
			word &= word - 1
		}
	}
}
