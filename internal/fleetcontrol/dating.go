package fleetcontrol

import (
	"sync"
	"time"

	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/ledger"
	"lynxgate.dev/lynxgate/internal/replica"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// stateMachine is the ledger, which dates namings of weights by their commit.
type stateMachine struct {
	*ledger.Ledger
	evidence *evidence
}

// ApplyCommitted implements replica.DatedFSM.
func (m stateMachine) ApplyCommitted(index uint64, data []byte, c replica.Commit) any {
	return m.ApplyDated(index, data, func(model string, number uint64) ledger.Dating {
		if len(c.Deciders) == 0 {
			return ledger.Dating{NotBefore: c.At, Decided: true}
		}
		return ledger.Dating{NotBefore: m.evidence.notBefore(namingID{model, number}, c)}
	})
}

// namingID identifies the naming of a version of weights.
type namingID struct {
	model  string
	number uint64
}

// keptNamings bounds the namings that are kept of one control server.
const keptNamings = 64

// evidence holds until when the other control servers are known not to have heard of a naming. A control server may learn of a commit seconds
// after the leader that has acknowledged it: it stood still, or its path was delayed. The leader had not committed what it does not tell in a
// message that is dated (follow.Stamps), so that the naming was acknowledged later than that.
type evidence struct {
	mu    sync.Mutex
	peers map[string]*peerEvidence // by rpc address
}

type peerEvidence struct {
	// asOf is the time of its last dated message, which tells all namings that it knew then.
	asOf time.Time
	// before holds asOf as it was when each naming was first told.
	before map[namingID]time.Time
}

func newEvidence() *evidence { return &evidence{peers: map[string]*peerEvidence{}} }

// heard records a message of a control server with these namings, dated at. It is called after the namings are merged.
func (e *evidence) heard(source string, told []*rpc.ModelVersion, at follow.Anchor) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[source]
	if p == nil {
		p = &peerEvidence{before: map[namingID]time.Time{}}
		e.peers[source] = p
	}
	for _, m := range told {
		p.tell(namingID{m.Model, m.Version})
	}
	if at.Echoed && at.AsOf.After(p.asOf) {
		p.asOf = at.AsOf
	}
}

func (p *peerEvidence) tell(n namingID) {
	if _, known := p.before[n]; known {
		return
	}
	if len(p.before) >= keptNamings {
		p.dropOldest()
	}
	p.before[n] = p.asOf
}

func (p *peerEvidence) dropOldest() {
	var oldest namingID
	for n, at := range p.before {
		if first := p.before[oldest]; oldest.number == 0 || at.Before(first) {
			oldest = n
		}
	}
	delete(p.before, oldest)
}

// notBefore returns a time at which no server that may have committed a naming had acknowledged it, zero if none is known.
func (e *evidence) notBefore(n namingID, c replica.Commit) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	earliest := c.At
	for _, addr := range c.Deciders {
		p := e.peers[addr]
		if p == nil {
			return time.Time{}
		}
		at, told := p.before[n]
		if !told {
			at = p.asOf
		}
		if at.Before(earliest) {
			earliest = at
		}
	}
	return earliest
}
