package raftlog

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"lynxgate.dev/lynxgate/internal/consensus"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// DefaultSegmentBytes is the default of Options.SegmentBytes.
const DefaultSegmentBytes = 4 << 20

// Names of the files in the data folder.
const (
	identityFile = "identity"
	stateFile    = "state"
	snapshotFile = "snapshot"
)

// Options are the settings of a Store.
type Options struct {
	// SegmentBytes is the segment size from which on a new segment is created.
	SegmentBytes int64
}

// Store is the durable state of one server. SaveSnapshot may run concurrently
// with the other methods, which must not run concurrently with each other.
type Store struct {
	dir  string
	id   consensus.ServerID
	opts Options

	segments []segment // oldest first; the last one is open in file
	file     *os.File
	buf      []byte

	snapshotMu    sync.Mutex
	snapshotIndex uint64

	hasState     bool
	reincarnated bool
}

// segment is one file of the log. lastIndex is the highest index of an entry in it.
type segment struct {
	number    uint64
	size      int64
	lastIndex uint64
}

// Recovered is the state that Open read from the data folder.
type Recovered struct {
	ID    consensus.ServerID
	State consensus.Restored
	// CutBytes is the length of the invalid tail that was truncated.
	CutBytes int64
	// Reincarnated is true if the truncated tail may have been acknowledged. The
	// server then has a new incarnation and must join the cluster again.
	Reincarnated bool
}

// Open opens or creates the data folder of the server with this name.
func Open(dir, name string, opts Options) (*Store, Recovered, error) {
	if opts.SegmentBytes <= 0 {
		opts.SegmentBytes = DefaultSegmentBytes
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, Recovered{}, fmt.Errorf("create data folder: %w", err)
	}
	s := &Store{dir: dir, opts: opts}
	if err := s.openIdentity(name); err != nil {
		return nil, Recovered{}, err
	}
	recovered, err := s.recover()
	if err != nil {
		return nil, Recovered{}, err
	}
	return s, recovered, nil
}

// openIdentity reads the identity or, in an empty folder, creates one.
func (s *Store) openIdentity(name string) error {
	var identity rpc.RaftIdentity
	found, err := readFile(s.path(identityFile), &identity)
	if err != nil {
		return err
	}
	if !found {
		return s.createIdentity(name)
	}
	s.id = ServerIDFromProto(identity.GetId())
	if s.id.Name != name {
		return &ForeignError{Dir: s.dir, Owner: s.id.Name, Name: name}
	}
	return nil
}

func (s *Store) createIdentity(name string) error {
	for _, file := range []string{stateFile, snapshotFile} {
		if _, err := os.Stat(s.path(file)); err == nil {
			return &CorruptError{File: s.path(identityFile), Reason: "missing although there is a file " + file}
		}
	}
	if numbers, err := s.segmentNumbers(); err != nil {
		return err
	} else if len(numbers) > 0 {
		return &CorruptError{File: s.path(identityFile), Reason: "missing although there is a log"}
	}
	s.id.Name = name
	return s.newIncarnation()
}

// newIncarnation writes an identity with a random incarnation durably.
func (s *Store) newIncarnation() error {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return fmt.Errorf("generate incarnation: %w", err)
	}
	s.id.Incarnation = binary.LittleEndian.Uint64(random[:]) | 1 // never zero
	return writeFile(s.path(identityFile), &rpc.RaftIdentity{Id: ServerIDToProto(s.id)})
}

// reincarnate gives the server a new incarnation. It is called before a tail
// is truncated that may have been acknowledged.
func (s *Store) reincarnate() error {
	s.reincarnated = true
	return s.newIncarnation()
}

// recover reads all files except the identity.
func (s *Store) recover() (Recovered, error) {
	recovered := Recovered{ID: s.id}
	var state rpc.RaftHardState
	haveState, err := readFile(s.path(stateFile), &state)
	if err != nil {
		return recovered, err
	}
	s.hasState = haveState
	recovered.State.HardState = consensus.HardState{
		CurrentTerm: state.GetTerm(), VotedFor: ServerIDFromProto(state.GetVotedFor()),
	}
	var snapshot rpc.RaftSnapshot
	haveSnapshot, err := readFile(s.path(snapshotFile), &snapshot)
	if err != nil {
		return recovered, err
	}
	if haveSnapshot && !haveState {
		return recovered, &CorruptError{File: s.path(stateFile), Reason: "missing although there is a snapshot"}
	}
	recovered.State.Snapshot = SnapshotFromProto(&snapshot)
	s.snapshotIndex = snapshot.GetIndex()
	recovered.State.Entries, recovered.CutBytes, err = s.openLog(recovered.State.Snapshot)
	if err == nil && len(recovered.State.Entries) > 0 && !haveState {
		err = &CorruptError{File: s.path(stateFile), Reason: "missing although there are entries"}
	}
	recovered.ID, recovered.Reincarnated = s.id, s.reincarnated
	return recovered, err
}

// SaveHardState makes term and vote durable.
func (s *Store) SaveHardState(hard consensus.HardState) error {
	return writeFile(s.path(stateFile), &rpc.RaftHardState{
		Term: hard.CurrentTerm, VotedFor: ServerIDToProto(hard.VotedFor),
	})
}

// SaveSnapshot makes a snapshot durable, unless one at the same or a later index
// is stored already.
func (s *Store) SaveSnapshot(snapshot consensus.Snapshot) error {
	s.snapshotMu.Lock()
	defer s.snapshotMu.Unlock()
	if snapshot.Index <= s.snapshotIndex {
		return nil
	}
	if err := writeFile(s.path(snapshotFile), SnapshotToProto(snapshot)); err != nil {
		return err
	}
	s.snapshotIndex = snapshot.Index
	return nil
}

// Close closes the log file.
func (s *Store) Close() error {
	if s.file == nil {
		return nil
	}
	return s.file.Close()
}

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }
