// Package rendezvous is the hash of rendezvous hashing (highest random weight):
// for one key, the member with the highest weight is chosen, and a member that
// joins or leaves changes the choice of its own keys only.
package rendezvous

// Hash is FNV-1a with a final mix, since its low bits alone are too regular.
func Hash(s string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := range len(s) {
		h ^= uint64(s[i])
		h *= prime
	}
	return mix(h)
}

// Weight is the weight of the pair of two hashes.
func Weight(a, b uint64) uint64 { return mix(a ^ mix(b+0x9e3779b97f4a7c15)) }

// mix is the finaliser of SplitMix64.
func mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}
