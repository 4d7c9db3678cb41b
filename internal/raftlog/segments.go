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

// openLog reads all segments, truncates an invalid tail and returns the entries
// after the snapshot and the number of bytes truncated.
func (s *Store) openLog(snapshot consensus.Snapshot) ([]consensus.Entry, int64, error) {
	numbers, err := s.segmentNumbers()
	if err != nil {
		return nil, 0, err
	}
	if len(numbers) == 0 && s.hasState {
		return nil, 0, &CorruptError{File: s.path(segmentName(1)), Reason: "no segment exists although there is a state file"}
	}
	var replayed replay
	var truncated int64
	for i, number := range numbers {
		if i > 0 && number != numbers[i-1]+1 {
			return nil, 0, &CorruptError{File: s.path(segmentName(numbers[i-1] + 1)), Reason: "segment is missing"}
		}
		last := i == len(numbers)-1
		n, err := s.openSegment(number, last, &replayed)
		if err != nil {
			return nil, 0, err
		}
		truncated += n
	}
	entries, conflict, err := replayed.after(snapshot)
	if err != nil {
		return nil, 0, &CorruptError{File: s.dir, Reason: err.Error()}
	}
	if err := s.openLast(); err != nil {
		return nil, 0, err
	}
	if conflict {
		// The server crashed between saving the snapshot and writing the reset record.
		if err := s.Reset(snapshot.Index); err != nil {
			return nil, 0, err
		}
	}
	return entries, truncated, nil
}

// openSegment replays one segment and returns the number of bytes truncated
// from its tail.
func (s *Store) openSegment(number uint64, last bool, replayed *replay) (int64, error) {
	path := s.path(segmentName(number))
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, fmt.Errorf("read segment: %w", err)
	}
	result := scanSegment(data, number)
	seg := segment{number: number, size: result.validSize}
	for _, record := range result.records {
		if err := replayed.add(record); err != nil {
			return 0, &CorruptError{File: path, Reason: err.Error()}
		}
		seg.updateLastIndex(record)
	}
	s.segments = append(s.segments, seg)
	invalid := int64(len(data)) - result.validSize
	switch {
	case invalid == 0:
		return 0, nil
	case result.laterFrame >= 0:
		return 0, &CorruptError{File: path, Offset: result.validSize, Reason: fmt.Sprintf("invalid frame before a valid one at %d", result.laterFrame)}
	case !last:
		return 0, &CorruptError{File: path, Offset: result.validSize, Reason: "invalid frame in a segment that is not the last"}
	}
	if !isTornWrite(data, number, result.validSize) {
		if err := s.reincarnate(); err != nil {
			return 0, err
		}
	}
	return invalid, s.truncateTail(path, result.validSize)
}

// truncateTail truncates a segment durably, before anything else is written
// to it.
func (s *Store) truncateTail(path string, size int64) error {
	f, err := os.OpenFile(path, os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open segment: %w", err)
	}
	defer f.Close()
	if err := f.Truncate(size); err != nil {
		return fmt.Errorf("truncate segment: %w", err)
	}
	if err := f.Sync(); err != nil {
		return fmt.Errorf("sync segment: %w", err)
	}
	return nil
}

func (seg *segment) updateLastIndex(record *rpc.RaftRecord) {
	for _, e := range record.GetEntries() {
		seg.lastIndex = max(seg.lastIndex, e.GetIndex())
	}
}

// openLast opens the last segment for writing, and creates the first one if
// there is none.
func (s *Store) openLast() error {
	if len(s.segments) == 0 {
		return s.createSegment(1)
	}
	last := s.segments[len(s.segments)-1]
	f, err := os.OpenFile(s.path(segmentName(last.number)), os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open segment: %w", err)
	}
	s.file = f
	return nil
}

// createSegment appends an empty segment. An existing file of this number is
// left over from an earlier call that failed, and contains no synced entries.
func (s *Store) createSegment(number uint64) error {
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

// Append makes entries durable with one sync. They replace all earlier entries
// from their first index on. After an error none of them counts as written, and
// the caller must repeat the same call, which writes at the same position.
func (s *Store) Append(entries []consensus.Entry) error {
	return s.write(&rpc.RaftRecord{Entries: EntriesToProto(entries)})
}

// Reset discards all entries: a snapshot up to index replaces them.
func (s *Store) Reset(index uint64) error {
	return s.write(&rpc.RaftRecord{ResetIndex: index})
}

func (s *Store) write(record *rpc.RaftRecord) error {
	last := &s.segments[len(s.segments)-1]
	if last.size >= s.opts.SegmentBytes {
		if err := s.createSegment(last.number + 1); err != nil {
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
	last.updateLastIndex(record)
	return nil
}

// Compact removes the segments whose entries all have an index up to index. A
// snapshot that covers them must already be durable.
func (s *Store) Compact(index uint64) error {
	for len(s.segments) > 1 && s.segments[0].lastIndex <= index {
		if err := os.Remove(s.path(segmentName(s.segments[0].number))); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return fmt.Errorf("remove segment: %w", err)
		}
		// Sync after each removal, so that a crash leaves no gap between segments.
		if err := durable.SyncDir(s.dir); err != nil {
			return err
		}
		s.segments = s.segments[1:]
	}
	return nil
}
