package raftlog

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lynxgate.dev/lynxgate/internal/consensus"
	"lynxgate.dev/lynxgate/internal/rpc"

	_ "lynxgate.dev/lynxgate/internal/testseed" // runs the same schedules each time
)

func open(t require.TestingT, dir string) (*Store, Recovered) {
	s, recovered, err := Open(dir, "a", Options{SegmentBytes: 300})
	require.NoError(t, err)
	return s, recovered
}

func entriesFrom(first, term uint64, n int) []consensus.Entry {
	var out []consensus.Entry
	for i := range n {
		index := first + uint64(i)
		out = append(out, consensus.Entry{Index: index, Term: term, Data: []byte(fmt.Sprint("entry ", index, " of term ", term))})
	}
	return out
}

// storeModel is the state that a Store must recover.
type storeModel struct {
	hard     consensus.HardState
	snapshot consensus.Snapshot
	entries  []consensus.Entry
}

func (m *storeModel) last() uint64 { return m.snapshot.Index + uint64(len(m.entries)) }

// Compares the state recovered by a store to a model. The store is reopened at
// any time, also after a torn write at the end of its log.
func TestStoreRecoversSyncedState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "raftlog")
		require.NoError(t, err)
		defer os.RemoveAll(dir)
		s, first := open(t, dir)
		defer func() { require.NoError(t, s.Close()) }()
		m := &storeModel{}
		term := uint64(1)
		number := rapid.IntRange(0, 1000)
		save := func() {
			m.hard = consensus.HardState{CurrentTerm: term, VotedFor: first.ID}
			require.NoError(t, s.SaveHardState(m.hard))
		}
		save()
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				add := entriesFrom(m.last()+1, term, 1+number.Draw(t, "n")%6)
				require.NoError(t, s.Append(add))
				m.entries = append(m.entries, add...)
			},
			"overwrite": func(t *rapid.T) {
				term++
				save()
				keep := number.Draw(t, "keep") % (len(m.entries) + 1)
				add := entriesFrom(m.snapshot.Index+uint64(keep)+1, term, 1+number.Draw(t, "n")%6)
				require.NoError(t, s.Append(add))
				m.entries = append(m.entries[:keep:keep], add...)
			},
			"snapshot": func(t *rapid.T) {
				if len(m.entries) == 0 {
					return
				}
				covered := 1 + number.Draw(t, "covered")%len(m.entries)
				last := m.entries[covered-1]
				m.snapshot = consensus.Snapshot{Index: last.Index, Term: last.Term, Data: []byte("state")}
				m.entries = m.entries[covered:]
				require.NoError(t, s.SaveSnapshot(m.snapshot))
				require.NoError(t, s.Compact(m.snapshot.Index))
			},
			"install": func(t *rapid.T) {
				term++
				save()
				index := m.snapshot.Index + 1 + uint64(number.Draw(t, "ahead")%20)
				m.snapshot = consensus.Snapshot{Index: index, Term: term, Data: []byte("received")}
				m.entries = nil
				require.NoError(t, s.SaveSnapshot(m.snapshot))
				if number.Draw(t, "crash")%3 > 0 {
					require.NoError(t, s.Reset(index))
					return
				}
				require.NoError(t, s.Close()) // a crash before the reset record
				s, _ = open(t, dir)
			},
			"reopen": func(t *rapid.T) {
				require.NoError(t, s.Close())
				path, data := lastSegment(t, dir)
				if torn := number.Draw(t, "torn") % 40; torn > 0 {
					frame, err := encodeFrame(nil, s.segments[len(s.segments)-1].number, int64(len(data)),
						&rpc.RaftRecord{Entries: EntriesToProto(entriesFrom(m.last()+1, term, 3))})
					require.NoError(t, err)
					data = append(data, frame[:min(torn, len(frame)-1)]...)
					require.NoError(t, os.WriteFile(path, data, 0o600))
				}
				s, _ = open(t, dir)
			},
			"": func(t *rapid.T) {},
		})
		require.NoError(t, s.Close())
		var recovered Recovered
		s, recovered = open(t, dir)
		require.Equal(t, first.ID, recovered.ID)
		require.Equal(t, m.hard, recovered.State.HardState)
		require.Equal(t, m.snapshot, recovered.State.Snapshot)
		require.Equal(t, len(m.entries), len(recovered.State.Entries))
		for i := range m.entries {
			require.Equal(t, m.entries[i], recovered.State.Entries[i])
		}
	})
}

func lastSegment(t require.TestingT, dir string) (string, []byte) {
	paths, err := filepath.Glob(filepath.Join(dir, "log-*.seg"))
	require.NoError(t, err)
	path := paths[len(paths)-1]
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	return path, data
}

// newThreeFrameLog returns a data folder with a log of three frames of two entries
// each, and the offset of the last frame.
func newThreeFrameLog(t *testing.T) (dir, path string, data []byte, lastFrame int64) {
	dir = t.TempDir()
	s, _, err := Open(dir, "a", Options{})
	require.NoError(t, err)
	require.NoError(t, s.SaveHardState(consensus.HardState{CurrentTerm: 1}))
	for i := range 3 {
		lastFrame = s.segments[0].size
		require.NoError(t, s.Append(entriesFrom(uint64(1+2*i), 1, 2)))
	}
	require.NoError(t, s.Close())
	path, data = lastSegment(t, dir)
	return dir, path, data, lastFrame
}

func TestTornWriteIsTruncated(t *testing.T) {
	dir, path, data, lastFrame := newThreeFrameLog(t)
	for size := lastFrame; size < int64(len(data)); size++ {
		require.NoError(t, os.WriteFile(path, data[:size], 0o600))
		s, recovered := open(t, dir)
		require.Len(t, recovered.State.Entries, 4)
		require.Equal(t, size-lastFrame, recovered.CutBytes)
		require.False(t, recovered.Reincarnated)
		require.NoError(t, s.Close())
	}
	zeros := append(data[:lastFrame:lastFrame], make([]byte, 2000)...)
	require.NoError(t, os.WriteFile(path, zeros, 0o600))
	s, recovered := open(t, dir)
	defer s.Close()
	require.Len(t, recovered.State.Entries, 4)
	require.False(t, recovered.Reincarnated)
}

// A damaged byte before the last frame causes a CorruptError. In the last frame, Open
// truncates that frame and changes the incarnation.
func TestDamagedByte(t *testing.T) {
	dir, path, data, lastFrame := newThreeFrameLog(t)
	identity, err := os.ReadFile(filepath.Join(dir, identityFile))
	require.NoError(t, err)
	for i := range data {
		damaged := append([]byte(nil), data...)
		damaged[i] ^= 0x10
		require.NoError(t, os.WriteFile(path, damaged, 0o600))
		require.NoError(t, os.WriteFile(filepath.Join(dir, identityFile), identity, 0o600))
		s, recovered, err := Open(dir, "a", Options{})
		if int64(i) < lastFrame {
			var corrupt *CorruptError
			require.ErrorAs(t, err, &corrupt, "byte %d", i)
			continue
		}
		require.NoError(t, err)
		require.Len(t, recovered.State.Entries, 4)
		require.True(t, recovered.Reincarnated, "byte %d", i)
		require.NoError(t, s.Close())
		_, again := open(t, dir)
		require.Equal(t, recovered.ID, again.ID, "the new incarnation is durable")
	}
}

func TestDamagedOrMissingFileIsCorrupt(t *testing.T) {
	for _, file := range []string{identityFile, stateFile, snapshotFile, segmentName(1)} {
		for _, remove := range []bool{false, true} {
			t.Run(fmt.Sprint(file, " removed=", remove), func(t *testing.T) {
				dir := t.TempDir()
				s, _ := open(t, dir)
				require.NoError(t, s.SaveHardState(consensus.HardState{CurrentTerm: 1}))
				require.NoError(t, s.SaveSnapshot(consensus.Snapshot{Index: 1, Term: 1}))
				for i := range 10 {
					require.NoError(t, s.Append(entriesFrom(uint64(2+2*i), 1, 2)))
				}
				require.NoError(t, s.Close())
				path := filepath.Join(dir, file)
				if remove {
					require.NoError(t, os.Remove(path))
				} else {
					data, err := os.ReadFile(path)
					require.NoError(t, err)
					data[len(data)/2] ^= 1
					require.NoError(t, os.WriteFile(path, data, 0o600))
				}
				_, _, err := Open(dir, "a", Options{})
				var corrupt *CorruptError
				require.ErrorAs(t, err, &corrupt)
			})
		}
	}
}

func TestDataFolderOfAnotherServerIsRejected(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, dir)
	require.NoError(t, s.Close())
	_, _, err := Open(dir, "b", Options{})
	var foreign *ForeignError
	require.ErrorAs(t, err, &foreign)
}

func TestNewFoldersHaveDifferentIncarnations(t *testing.T) {
	_, one := open(t, t.TempDir())
	_, two := open(t, t.TempDir())
	require.NotEqual(t, one.ID, two.ID)
	require.NotZero(t, one.ID.Incarnation)
}

// FuzzOpenSegment requires that a segment with any content is opened or rejected
// as corrupt, and that one which was opened recovers the same state again.
func FuzzOpenSegment(f *testing.F) {
	good, err := encodeFrame(nil, 1, 0, &rpc.RaftRecord{Entries: EntriesToProto(entriesFrom(1, 1, 2))})
	require.NoError(f, err)
	two, err := encodeFrame(good, 1, int64(len(good)), &rpc.RaftRecord{Entries: EntriesToProto(entriesFrom(2, 2, 2))})
	require.NoError(f, err)
	gap, err := encodeFrame(nil, 1, 0, &rpc.RaftRecord{Entries: EntriesToProto(entriesFrom(7, 1, 2))})
	require.NoError(f, err)
	reset, err := encodeFrame(nil, 1, 0, &rpc.RaftRecord{ResetIndex: 9})
	require.NoError(f, err)
	for _, seed := range [][]byte{nil, good, two, two[:len(two)-1], gap, reset, make([]byte, 600), []byte("1gxl")} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		dir := t.TempDir()
		s, _ := open(t, dir)
		require.NoError(t, s.SaveHardState(consensus.HardState{CurrentTerm: 1}))
		require.NoError(t, s.Close())
		require.NoError(t, os.WriteFile(filepath.Join(dir, segmentName(1)), data, 0o600))
		s, recovered, err := Open(dir, "a", Options{})
		var corrupt *CorruptError
		if errors.As(err, &corrupt) {
			return
		}
		require.NoError(t, err)
		require.NoError(t, s.Close())
		s, again := open(t, dir)
		require.NoError(t, s.Close())
		require.Equal(t, recovered.State, again.State)
		require.Zero(t, again.CutBytes)
	})
}
