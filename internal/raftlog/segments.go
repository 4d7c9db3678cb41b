package raftlog

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"

	"lynxgate.dev/lynxgate/internal/consensus"
	"lynxgate.dev/lynxgate/internal/durable"
	"lynxgate.dev/lynxgate/internal/rpc"
)

const segmentPattern = "log-%016d.seg"

func segmentName(number uint64) string { return fmt.Sprintf(segmentPattern, number) }

func (s *Store) segmentNumbers() ([]uint64, error) {
	files, err := os.ReadDir(s.dir)
	if err != nil {
		return nil, fmt.Errorf("list data folder: %w", err)
	}
	var numbers []uint64
	for _, file := range files {
		var number uint64
		if _, err := fmt.Sscanf(file.Name(), segmentPattern, &number); err == nil && file.Name() == segmentName(number) {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers, nil
}

// openLog reads all segments, cuts off a bad tail and returns the entries
// after the snapshot.
func (s *Store) openLog(snapshot consensus.Snapshot) ([]consensus.Entry, int64, error) {
	numbers, err := s.segmentNumbers()
	if err != nil {
		return nil, 0, err
	}
	if len(numbers) == 0 && s.hasState {
		return nil, 0, &CorruptError{File: s.path(segmentName(1)), Reason: "no segment although there is a state"}
	}
	var replayed replay
	var cut int64
	for i, number := range numbers {
		if i > 0 && number != numbers[i-1]+1 {
			return nil, 0, &CorruptError{File: s.path(segmentName(numbers[i-1] + 1)), Reason: "segment is missing"}
		}
		last := i == len(numbers)-1
		n, err := s.openSegment(number, last, &replayed)
		if err != nil {
			return nil, 0, err
		}
		cut += n
	}
	entries, conflict, err := replayed.after(snapshot)
	if err != nil {
		return nil, 0, &CorruptError{File: s.dir, Reason: err.Error()}
	}
	if err := s.openLast(); err != nil {
		return nil, 0, err
	}
	if conflict {
		// The snapshot was installed, its reset record not yet written.
		if err := s.Reset(snapshot.Index); err != nil {
			return nil, 0, err
		}
	}
	return entries, cut, nil
}

// openSegment replays one segment and returns how much of its tail was cut.
func (s *Store) openSegment(number uint64, last bool, replayed *replay) (int64, error) {
	path := s.path(segmentName(number))
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, fmt.Errorf("read segment: %w", err)
	}
	found := scanSegment(data, number)
	seg := segment{number: number, size: found.good}
	for _, record := range found.records {
		if err := replayed.add(record); err != nil {
			return 0, &CorruptError{File: path, Reason: err.Error()}
		}
		seg.note(record)
	}
	s.segments = append(s.segments, seg)
	bad := int64(len(data)) - found.good
	switch {
	case bad == 0:
		return 0, nil
	case found.laterFrame >= 0:
		return 0, &CorruptError{File: path, Offset: found.good, Reason: fmt.Sprintf("bad frame before a good one at %d", found.laterFrame)}
	case !last:
		return 0, &CorruptError{File: path, Offset: found.good, Reason: "bad frame before the last segment"}
	}
	if !interrupted(data, number, found.good) {
		if err := s.reincarnate(); err != nil {
			return 0, err
		}
	}
	return bad, s.cutTail(path, found.good)
}

// cutTail makes the cut durable before anything is written after it.
func (s *Store) cutTail(path string, size int64) error {
	f, err := os.OpenFile(path, os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open segment: %w", err)
	}
	defer f.Close()
	if err := f.Truncate(size); err != nil {
		return fmt.Errorf("cut off tail: %w", err)
	}
	if err := f.Sync(); err != nil {
		return fmt.Errorf("sync segment: %w", err)
	}
	return nil
}

func (seg *segment) note(record *rpc.RaftRecord) {
	for _, e := range record.GetEntries() {
		seg.lastIndex = max(seg.lastIndex, e.GetIndex())
	}
}

// openLast opens the last segment for writing, the first one if there is none.
func (s *Store) openLast() error {
	if len(s.segments) == 0 {
		return s.beginSegment(1)
	}
	last := s.segments[len(s.segments)-1]
	f, err := os.OpenFile(s.path(segmentName(last.number)), os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open segment: %w", err)
	}
	s.file = f
	return nil
}

// beginSegment makes an empty segment the last one. A file of this number can
// only be left over from a try that failed; nothing durable is in it.
func (s *Store) beginSegment(number uint64) error {
	f, err := os.OpenFile(s.path(segmentName(number)), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("create segment: %w", err)
	}
	if err := durable.SyncDir(s.dir); err != nil {
		return errors.Join(err, f.Close())
	}
	if s.file != nil {
		if err := s.file.Close(); err != nil {
			return errors.Join(fmt.Errorf("close segment: %w", err), f.Close())
		}
	}
	s.file = f
	s.segments = append(s.segments, segment{number: number})
	return nil
}

// Append makes entries durable with one sync. They replace all earlier ones
// from their first index on. After an error nothing of it counts as written, and
// the only call allowed is the same one again: it writes to the same place.
func (s *Store) Append(entries []consensus.Entry) error {
	return s.write(&rpc.RaftRecord{Entries: EntriesToProto(entries)})
}

// Reset drops all entries: a snapshot that ends at index took their place.
func (s *Store) Reset(index uint64) error {
	return s.write(&rpc.RaftRecord{ResetIndex: index})
}

func (s *Store) write(record *rpc.RaftRecord) error {
	last := &s.segments[len(s.segments)-1]
	if last.size >= s.opts.SegmentBytes {
		if err := s.beginSegment(last.number + 1); err != nil {
			return err
		}
		last = &s.segments[len(s.segments)-1]
	}
	var err error
	s.buf, err = encodeFrame(s.buf[:0], last.number, last.size, record)
	if err != nil {
		return fmt.Errorf("encode entries: %w", err)
	}
	if _, err := s.file.WriteAt(s.buf, last.size); err != nil {
		return fmt.Errorf("write log: %w", err)
	}
	if err := s.file.Sync(); err != nil {
		return fmt.Errorf("sync log: %w", err)
	}
	last.size += int64(len(s.buf))
	last.note(record)
	return nil
}

// Compact removes the segments that hold only entries up to index. The
// snapshot that covers them must be durable.
func (s *Store) Compact(index uint64) error {
	for len(s.segments) > 1 && s.segments[0].lastIndex <= index {
		if err := os.Remove(s.path(segmentName(s.segments[0].number))); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return fmt.Errorf("remove segment: %w", err)
		}
		// One by one: after a crash no segment may be missing in between.
		if err := durable.SyncDir(s.dir); err != nil {
			return err
		}
		s.segments = s.segments[1:]
	}
	return nil
}
