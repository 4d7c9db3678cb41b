package quarantine

import (
	"encoding/binary"
	"strings"

	"lukechampine.com/blake3"
)

// Candidate is a possible cause of a crash: something about a request that other requests may share. Each request has several.
type Candidate struct {
	Digest Digest
	// Origin identifies the organisation of the request if candidates of several organisations have this digest, else 0.
	Origin uint64
	// Part is the id of the part of the prompt, empty for the whole content of a request.
	Part string
}

// PartCandidates returns the candidates for a part of the prompt of an organisation's request to a model. The first one is the part
// whoever sends it. It counts only once servers have crashed under requests of two organisations, so that none can have the
// parts of others quarantined. The second one is the part in the requests of this organisation.
func PartCandidates(organisation, model, part string) [2]Candidate {
	label := strings.ToValidUTF8(part[:min(len(part), maxLabel)], "?")
	return [2]Candidate{
		{Digest: partDigest("", "", model, part), Origin: originOf(organisation), Part: label},
		{Digest: partDigest("organisation", organisation, model, part), Part: label},
	}
}

// maxLabel bounds the ids of parts that are kept for operators, in bytes. Callers choose them; a label that is no UTF-8 could
// not be sent to other daemons.
const maxLabel = 64

// partDomain is hashed where DigestOf has the length of an organisation's name, which is shorter.
const partDomain = 1 << 40

// partDigest returns the digest of a part of a prompt, within a scope and its name.
func partDigest(scope, name, model, part string) Digest {
	head := binary.AppendUvarint(make([]byte, 0, 128), partDomain)
	head = appendFields(head, scope, name, model, part)
	sum := blake3.Sum256(head)
	return Digest(sum[:DigestSize])
}

// originOf returns a non-zero number for an organisation.
func originOf(organisation string) uint64 {
	sum := blake3.Sum256([]byte(organisation))
	return max(binary.LittleEndian.Uint64(sum[:]), 1)
}

// appendFields appends strings, each after its length.
func appendFields(head []byte, fields ...string) []byte {
	for _, field := range fields {
		head = binary.AppendUvarint(head, uint64(len(field)))
		head = append(head, field...)
	}
	return head
}
