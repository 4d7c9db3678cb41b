// Package ledger is the replicated state of a fleet: the operators' newest
// configuration document, the newest version of each model's weights, the
// evacuated zones and the quarantined request contents. State: one immutable
// State, replaced with each change. Messages: FleetCommand from the log; from other
// daemons, when versions were named. Of documents and versions the highest version
// wins; a lower or equal one changes nothing, so these commands are idempotent and
// may be applied in any order.
package ledger

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
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
	// compressed, see Deflate.
	ConfigVersion uint64
	Config        []byte
	// Versions holds the newest version of the weights by model.
	Versions map[string]Version
	// Evacuations holds the last order about each zone that has had one.
	Evacuations map[string]Evacuation
	// Quarantined lists the quarantined request contents, the newest last. QuarantineIndex is the
	// newest log entry that has quarantined or released one, 0 if none has.
	Quarantined     []Quarantined
	QuarantineIndex uint64
}

// Quarantined is a quarantined request content with the log entry that has quarantined it.
type Quarantined struct {
	Digest quarantine.Digest
	Index  uint64
}

// maxQuarantined bounds the quarantined contents in the state, 16 bytes each; it is also the number
// that a control server keeps in memory. The oldest is dropped first.
const maxQuarantined = 4096

// Ledger is the state machine; it implements replica.FSM.
type Ledger struct {
	state atomic.Pointer[State]
	now   func() time.Time
	// id identifies this process in the times of namings.
	id uint64

	// changing serializes changes of the state.
	changing sync.Mutex
	// heard holds the namings that others have reported, by model; versions that are not applied here
	// yet are among them.
	heard map[string]Version
	// replaying: the entries that are applied may have been committed before this process started.
	replaying bool

	mu      sync.Mutex
	changed chan struct{}
}

// New returns an empty ledger. now is the clock.
func New(now func() time.Time) *Ledger {
	l := &Ledger{now: now, id: rand.Uint64N(math.MaxUint64) + 1, heard: map[string]Version{}, changed: make(chan struct{})}
	l.state.Store(&State{})
	return l
}

// State returns the current state.
func (l *Ledger) State() *State { return l.state.Load() }

// Changed returns a channel that is closed at the next change. Get the channel before
// reading the state, and keep it until it is closed: a loop that gets a new one for each of
// its events misses the changes between them.
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

// CheckCommand returns an error if a command can't be decoded, and so must not be committed.
func CheckCommand(data []byte) error {
	if err := proto.Unmarshal(data, &rpc.FleetCommand{}); err != nil {
		return fmt.Errorf("decode command: %w", err)
	}
	return nil
}

// Dating is what a control server knows of the time of a naming that it applies.
type Dating struct {
	// NotBefore is a time at which the naming was not acknowledged yet, zero if none is known.
	NotBefore time.Time
	// Decided: this control server committed it at NotBefore as the leader.
	Decided bool
}

// Apply executes one command that counts as committed now, see ApplyDated.
func (l *Ledger) Apply(index uint64, data []byte) any {
	return l.ApplyDated(index, data, func(string, uint64) Dating { return Dating{NotBefore: l.now()} })
}

// ApplyDated executes one committed command; date dates the naming of a version of a model in it. The result is nil, as State shows all
// effects; a command that can't be decoded has none, and its result is an error: it would stop each control server again at each replay of
// the log.
func (l *Ledger) ApplyDated(index uint64, data []byte, date func(model string, number uint64) Dating) any {
	var c rpc.FleetCommand
	if err := proto.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("decode command of entry %d: %w", index, err)
	}
	l.changing.Lock()
	defer l.changing.Unlock()
	next := *l.State()
	now := l.now()
	if !next.apply(index, &c, l.naming(c.Model, c.Version, date), now) {
		return nil
	}
	next.mergeNamings(c.Model, l.heard[c.Model])
	l.publish(&next)
	return nil
}

// naming returns a version that is named by an entry applied now. The time of this control server does not change once it
// is told.
func (l *Ledger) naming(model string, number uint64, date func(string, uint64) Dating) Version {
	if at, ok := l.ownTime(model, number); ok {
		return AppliedBy(l.id, number, at)
	}
	dating := date(model, number)
	switch {
	case l.replaying || dating.NotBefore.IsZero():
		return UnknownNaming(number, l.now())
	case dating.Decided:
		return DecidedBy(l.id, number, dating.NotBefore)
	}
	return AppliedBy(l.id, number, dating.NotBefore)
}

// Acknowledged records that the naming of a version is committed, which counts as applied if it is not applied yet: if the
// leader fails now, the entry is applied here only after the next election.
func (l *Ledger) Acknowledged(model string, number uint64) {
	l.changing.Lock()
	defer l.changing.Unlock()
	if _, ok := l.ownTime(model, number); !ok {
		l.mergeNaming(model, AppliedBy(l.id, number, l.now()))
	}
}

// ownTime returns the time at which a version counts as applied here, false if it does not yet. The caller holds changing.
func (l *Ledger) ownTime(model string, number uint64) (time.Time, bool) {
	for _, newest := range []Version{l.State().Versions[model], l.heard[model]} {
		v, _ := newest.Find(number)
		if at, ok := v.appliedBy(l.id); ok {
			return at, true
		}
	}
	return time.Time{}, false
}

// BeginReplay is called before the log of an earlier process is applied: the times of namings in it
// are not known. After EndReplay, entries count as committed when they are applied.
func (l *Ledger) BeginReplay() { l.setReplaying(true) }

// EndReplay is called when all entries are applied that were committed before a moment after the
// start.
func (l *Ledger) EndReplay() { l.setReplaying(false) }

// Replaying reports whether the log of an earlier process is still applied.
func (l *Ledger) Replaying() bool {
	l.changing.Lock()
	defer l.changing.Unlock()
	return l.replaying
}

func (l *Ledger) setReplaying(replaying bool) {
	l.changing.Lock()
	defer l.changing.Unlock()
	l.replaying = replaying
}

func (s *State) apply(index uint64, c *rpc.FleetCommand, named Version, now time.Time) (changed bool) {
	if c.ConfigVersion > s.ConfigVersion {
		s.ConfigVersion, s.Config = c.ConfigVersion, c.Config
		changed = true
	}
	if c.Model != "" && c.Version > s.Versions[c.Model].Number {
		merged, _ := s.Versions[c.Model].Merge(named)
		s.setVersion(c.Model, merged)
		changed = true
	}
	for _, raw := range c.Held {
		changed = s.addQuarantined(index, raw) || changed
	}
	changed = s.order(index, c.Evacuation, now) || changed
	return s.release(index, c.Lifted) || changed
}

func (s *State) setVersion(model string, v Version) {
	versions := make(map[string]Version, len(s.Versions)+1)
	maps.Copy(versions, s.Versions)
	versions[model] = v
	s.Versions = versions
}

// mergeNamings merges namings of versions up to the committed one, and reports whether that has changed more than
// Version.Merge tells. The others come into the state with their log entries.
func (s *State) mergeNamings(model string, chain Version) (changed bool) {
	merged := s.Versions[model]
	for _, named := range chain.History() {
		if named.Number > merged.Number {
			break
		}
		var differs bool
		merged, differs = merged.Merge(named)
		changed = changed || differs
	}
	if merged.Number > 0 {
		s.setVersion(model, merged)
	}
	return changed
}

// MergeNaming merges what a follower or another control server knows about a naming: the time, and that
// the version came before the newest one. It does not make a version the newest one.
func (l *Ledger) MergeNaming(model string, named Version) {
	l.changing.Lock()
	defer l.changing.Unlock()
	if _, own := named.appliedBy(l.id); own {
		return // an estimate by others
	}
	l.mergeNaming(model, named)
}

// mergeNaming publishes changes; refinements of times are sent with the next repetition of the naming. The caller holds changing.
func (l *Ledger) mergeNaming(model string, named Version) {
	l.heard[model], _ = l.heard[model].Merge(named)
	next := *l.State()
	if next.mergeNamings(model, l.heard[model]) {
		l.publish(&next)
		return
	}
	l.state.Store(&next)
}

// release lifts the quarantine of a content, given by its digest.
func (s *State) release(index uint64, raw []byte) bool {
	if len(raw) != quarantine.DigestSize {
		return false
	}
	s.QuarantineIndex = index
	s.Quarantined = slices.DeleteFunc(slices.Clone(s.Quarantined), isQuarantined(raw))
	return true
}

func isQuarantined(raw []byte) func(Quarantined) bool {
	return func(q Quarantined) bool { return q.Digest == quarantine.Digest(raw) }
}

// addQuarantined adds the digest of a quarantined content. It ignores data that is not a digest.
func (s *State) addQuarantined(index uint64, raw []byte) bool {
	if len(raw) != quarantine.DigestSize || slices.ContainsFunc(s.Quarantined, isQuarantined(raw)) {
		return false
	}
	s.QuarantineIndex = index
	quarantined := append(slices.Clone(s.Quarantined), Quarantined{Digest: quarantine.Digest(raw), Index: index})
	s.Quarantined = quarantined[max(0, len(quarantined)-maxQuarantined):]
	return true
}

// Snapshot implements replica.FSM.
func (l *Ledger) Snapshot() ([]byte, error) {
	s := l.State()
	out := &rpc.FleetState{ConfigVersion: s.ConfigVersion, Config: s.Config, QuarantineIndex: s.QuarantineIndex}
	for model, v := range s.Versions {
		out.Versions = append(out.Versions, &rpc.ModelVersion{Model: model, Version: v.Number})
	}
	out.Evacuations = EvacuationsToProto(s.Evacuations, nil, l.now())
	for _, q := range s.Quarantined {
		out.Held = append(out.Held, q.Digest[:])
		out.HeldIndex = append(out.HeldIndex, q.Index)
	}
	data, err := proto.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("encode ledger: %w", err)
	}
	return data, nil
}

// Restore implements replica.FSM. It keeps the times of namings that are known here; a snapshot has
// no times, as it does not tell how old it is.
func (l *Ledger) Restore(snapshot []byte) error {
	var in rpc.FleetState
	if err := proto.Unmarshal(snapshot, &in); err != nil {
		return fmt.Errorf("decode ledger: %w", err)
	}
	l.changing.Lock()
	defer l.changing.Unlock()
	next := &State{ConfigVersion: in.ConfigVersion, Config: in.Config, Versions: map[string]Version{}}
	known := l.State().Versions
	for _, v := range in.Versions {
		next.Versions[v.Model] = UnknownNaming(v.Version, l.now())
		next.mergeNamings(v.Model, known[v.Model])
		next.mergeNamings(v.Model, l.heard[v.Model])
	}
	next.Evacuations, _ = MergeEvacuations(nil, in.Evacuations, l.now())
	next.restoreQuarantined(&in)
	l.publish(next)
	return nil
}

// firstIndex is that of a quarantined content in a snapshot of an earlier version, which has none.
const firstIndex = 1

func (s *State) restoreQuarantined(in *rpc.FleetState) {
	for i, raw := range in.Held {
		index := uint64(firstIndex)
		if i < len(in.HeldIndex) {
			index = in.HeldIndex[i]
		}
		s.addQuarantined(index, raw)
	}
	s.QuarantineIndex = max(s.QuarantineIndex, in.QuarantineIndex)
}
