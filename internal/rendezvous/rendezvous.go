// Package rendezvous provides the hash and the weight for rendezvous hashing
// (highest random weight): a key is assigned to the member with the highest
// weight, so a member that joins or leaves moves only its own keys.
package rendezvous

// Hash returns the FNV-1a hash of s, mixed once more since the low bits of FNV-1a
// alone are too regular.
func Hash(s string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := range len(s) {
		h ^= uint64(s[i])
		h *= prime
	}
	return mix(h)
}

// Weight returns the weight of a key and a member, given their hashes. It is not
// symmetric, so the order of the two must be the same for all members.
func Weight(a, b uint64) uint64 { return mix(a ^ mix(b+0x9e3779b97f4a7c15)) }

// mix is the finaliser of SplitMix64.
func mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}
