package quarantine

import (
	"encoding/hex"
	"fmt"

	"lukechampine.com/blake3"
)

// DigestSize is the length of a Digest in bytes. A caller that looks for two requests with the
// same digest needs 2^64 attempts; one that looks for another organisation's digest needs 2^128.
const DigestSize = 16

// Digest identifies a candidate cause: the content of a request (organisation, method, host, target and body, but not ids and
// deadlines, which differ between attempts) or a part of its prompt.
type Digest [DigestSize]byte

// String returns the digest in hexadecimal, as in logs.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest parses the result of Digest.String.
func ParseDigest(text string) (Digest, error) {
	raw, err := hex.DecodeString(text)
	if err != nil {
		return Digest{}, fmt.Errorf("digest %q: %w", text, err)
	}
	if len(raw) != DigestSize {
		return Digest{}, fmt.Errorf("digest %q has %d bytes, want %d", text, len(raw), DigestSize)
	}
	return Digest(raw), nil
}

// DigestOf returns the digest of a request. organisation is empty for routes that are open to
// anyone; target is path and query as the caller sent them.
func DigestOf(organisation, method, host, target string, body []byte) Digest {
	head := appendFields(make([]byte, 0, 256), organisation, method, host, target)
	h := blake3.New(DigestSize, nil)
	// Writes to a hash never fail.
	_, _ = h.Write(head)
	_, _ = h.Write(body)
	var d Digest
	h.Sum(d[:0])
	return d
}
