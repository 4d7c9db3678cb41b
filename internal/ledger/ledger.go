// Package ledger is the replicated state of a fleet: the operators' newest
// configuration document and the newest version of each model's weights. State:
// one immutable State, replaced with each change. Messages: FleetCommand from
// the log. The highest version wins; a lower or equal one changes nothing, so
// that commands are idempotent and may come in any order.
package ledger

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"lynxgate.dev/lynxgate/internal/quarantine"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// State is what is committed as of one log entry. It is immutable.
type State struct {
	// ConfigVersion is 0 and Config is nil while there is no document. Config is
	// deflated, see Deflate.
	ConfigVersion uint64
	Config        []byte
	Versions      map[string]Version
	// Held is work that is to be held back, the newest last.
	Held []quarantine.Digest
}

// maxHeld bounds the work that the log remembers, 16 bytes each: as much as a control server
// knows of. The oldest is dropped first.
const maxHeld = 4096

// Version is a version of a model's weights, and when it was applied here.
type Version struct {
	Number    uint64
	AppliedAt time.Time
	// Previous is the version named before, nil if it is not known.
	Previous *Version
}

// keptVersions bounds the chain of previous versions: those named within the
// bound on old weights matter, and a bound is some seconds.
const keptVersions = 8

// Next returns the version that follows v, named at this time.
func (v Version) Next(number uint64, at time.Time) Version {
	next := Version{Number: number, AppliedAt: at}
	if v.Number > 0 {
		previous := v.cut(keptVersions)
		next.Previous = &previous
	}
	return next
}

// cut returns v with at most n versions before it.
func (v Version) cut(n int) Version {
	if v.Previous != nil {
		if n <= 1 {
			v.Previous = nil
			return v
		}
		previous := v.Previous.cut(n - 1)
		v.Previous = &previous
	}
	return v
}

// Floor returns the newest version that was named at least bound ago: requests
// may no longer begin on an older one. It is 0 if there is none.
func (v Version) Floor(now time.Time, bound time.Duration) uint64 {
	for named := &v; named != nil; named = named.Previous {
		if named.Number > 0 && now.Sub(named.AppliedAt) >= bound {
			return named.Number
		}
	}
	return 0
}

// NamedAfter returns when the first version after this one was named; zero if
// there is none.
func (v Version) NamedAfter(held uint64) time.Time {
	var at time.Time
	for named := &v; named != nil && named.Number > held; named = named.Previous {
		at = named.AppliedAt
	}
	return at
}

// History returns the versions known, the oldest first.
func (v Version) History() []Version {
	var out []Version
	for named := &v; named != nil; named = named.Previous {
		if named.Number > 0 {
			out = append(out, *named)
		}
	}
	slices.Reverse(out)
	return out
}

// Ledger is the state machine; it implements replica.FSM.
type Ledger struct {
	state atomic.Pointer[State]
	now   func() time.Time

	mu      sync.Mutex
	changed chan struct{}
}

// New returns an empty ledger. now is the clock.
func New(now func() time.Time) *Ledger {
	l := &Ledger{now: now, changed: make(chan struct{})}
	l.state.Store(&State{})
	return l
}

// State returns the newest state.
func (l *Ledger) State() *State { return l.state.Load() }

// Changed returns a channel that is closed at the next change.
func (l *Ledger) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func (l *Ledger) publish(s *State) {
	l.state.Store(s)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
}

// Apply executes one committed command. Its result is nil: there is none that
// the versions do not tell.
func (l *Ledger) Apply(index uint64, data []byte) any {
	var c rpc.FleetCommand
	if err := proto.Unmarshal(data, &c); err != nil {
		panic(fmt.Sprintf("ledger: decode command of entry %d: %v", index, err))
	}
	next := *l.State()
	if !next.apply(&c, l.now()) {
		return nil
	}
	l.publish(&next)
	return nil
}

func (s *State) apply(c *rpc.FleetCommand, now time.Time) (changed bool) {
	if c.ConfigVersion > s.ConfigVersion {
		s.ConfigVersion, s.Config = c.ConfigVersion, c.Config
		changed = true
	}
	if c.Model != "" && c.Version > s.Versions[c.Model].Number {
		versions := make(map[string]Version, len(s.Versions)+1)
		for model, v := range s.Versions {
			versions[model] = v
		}
		versions[c.Model] = s.Versions[c.Model].Next(c.Version, now)
		s.Versions = versions
		changed = true
	}
	for _, raw := range c.Held {
		changed = s.hold(raw) || changed
	}
	return s.lift(c.Lifted) || changed
}

// lift removes work that is no longer held.
func (s *State) lift(raw []byte) bool {
	if len(raw) != quarantine.DigestSize || !slices.Contains(s.Held, quarantine.Digest(raw)) {
		return false
	}
	s.Held = slices.DeleteFunc(slices.Clone(s.Held), func(d quarantine.Digest) bool { return d == quarantine.Digest(raw) })
	return true
}

// hold adds work that is to be held back. What is no digest changes nothing.
func (s *State) hold(raw []byte) bool {
	if len(raw) != quarantine.DigestSize || slices.Contains(s.Held, quarantine.Digest(raw)) {
		return false
	}
	held := append(slices.Clone(s.Held), quarantine.Digest(raw))
	s.Held = held[max(0, len(held)-maxHeld):]
	return true
}

// Snapshot implements replica.FSM.
func (l *Ledger) Snapshot() ([]byte, error) {
	s := l.State()
	out := &rpc.FleetState{ConfigVersion: s.ConfigVersion, Config: s.Config}
	for model, v := range s.Versions {
		out.Versions = append(out.Versions, &rpc.ModelVersion{Model: model, Version: v.Number})
	}
	for _, d := range s.Held {
		out.Held = append(out.Held, d[:])
	}
	data, err := proto.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("encode ledger: %w", err)
	}
	return data, nil
}

// Restore implements replica.FSM.
func (l *Ledger) Restore(snapshot []byte) error {
	var in rpc.FleetState
	if err := proto.Unmarshal(snapshot, &in); err != nil {
		return fmt.Errorf("decode ledger: %w", err)
	}
	next := &State{ConfigVersion: in.ConfigVersion, Config: in.Config, Versions: map[string]Version{}}
	for _, v := range in.Versions {
		next.Versions[v.Model] = Version{Number: v.Version, AppliedAt: l.now()}
	}
	for _, raw := range in.Held {
		next.hold(raw)
	}
	l.publish(next)
	return nil
}
