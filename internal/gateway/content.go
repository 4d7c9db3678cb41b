package gateway

import (
	"slices"

	"lynxgate.dev/lynxgate/internal/quarantine"
)

// digest identifies the content of the request, independent of its request id. It is computed on first
// use, since most requests never need it.
func (c *call) digest() quarantine.Digest {
	c.digestOnce.Do(func() {
		c.content = quarantine.DigestOf(c.organisation(), c.r.Method, c.r.Host, c.r.RequestURI, c.body)
	})
	return c.content
}

// organisation returns the name of the caller's organisation, empty on routes that are open to anyone.
func (c *call) organisation() string {
	if c.org == nil {
		return ""
	}
	return c.org.Name
}

// partCandidates returns the candidate causes for the shared parts of the prompt: for each part that of all organisations, then that
// of the caller's.
func (c *call) partCandidates() []quarantine.Candidate {
	c.partsOnce.Do(func() {
		for _, part := range c.sharedParts() {
			both := quarantine.PartCandidates(c.organisation(), c.model, part)
			c.parts = append(c.parts, both[:]...)
		}
	})
	return c.parts
}

// candidates returns all candidate causes of a crash under the request: those for the parts of its prompt, then its content.
func (c *call) candidates() []quarantine.Candidate {
	return append(slices.Clip(c.partCandidates()), quarantine.Candidate{Digest: c.digest()})
}

// holdsTurnFor reports whether the call is the only one that may dispatch requests with the i-th of its candidates: it has the
// turn of that one, or of one that all requests with this candidate have, too.
func (c *call) holdsTurnFor(candidates []quarantine.Candidate, i int) bool {
	if !c.hasTurn {
		return false
	}
	for j, candidate := range candidates {
		if candidate.Digest != c.turn {
			continue
		}
		isContent := i == len(candidates)-1
		ofSamePart := candidate.Origin != 0 && i == j+1
		return i == j || isContent || ofSamePart
	}
	return false
}
