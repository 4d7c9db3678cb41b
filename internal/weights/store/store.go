// Package store keeps weights in a scratch folder whose files others may change
// or delete at any time.
//
// State: one folder per model version, named by the digest of its manifest,
// with manifest.json and either weights.partial (chunks at their offsets, any
// of them missing) or weights (whole, synced). Chunks are content-addressed:
// the same chunk in another version's file is copied, not fetched again. A
// version's file is renamed to weights only after the digest of the whole has
// been checked and the file has been synced. Data on the disk is not used before
// this process has checked its digest.
//
// After ErrFull (no space in the folder) and ErrWiped (files changed or deleted)
// the version can be opened again.
package store

import (
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"lynxgate.dev/lynxgate/internal/weights/manifest"
)

// Errors of the store's operations.
var (
	// ErrFull means that the folder's size limit is reached or the disk is full.
	ErrFull = errors.New("scratch folder full")
	// ErrWiped means that something else deleted or changed files of the store;
	// the version must be opened again.
	ErrWiped = errors.New("scratch folder changed from outside")
	// ErrChunkDigest means that data does not match the chunk's digest or length.
	ErrChunkDigest = errors.New("chunk digest differs")
	// ErrWholeDigest means that all chunks match the manifest but the whole file
	// does not: the manifest is inconsistent.
	ErrWholeDigest = errors.New("whole digest differs although all chunks match")
	// ErrIncomplete means that chunks are missing.
	ErrIncomplete = errors.New("chunks missing")
)

const (
	manifestName = "manifest.json"
	partialName  = "weights.partial"
	wholeName    = "weights"
	// Staged files are readable by every user, as the engine may run as another one.
	dirMode  = 0o755
	fileMode = 0o644
)

// Store is a scratch folder.
type Store struct {
	dir      string
	maxBytes int64

	mu sync.Mutex
	// known has the versions whose folders exist, open or not.
	known map[manifest.Digest]*entry
	// chunks has the places at which a chunk's content may be found.
	chunks map[manifest.Digest][]location
}

type entry struct {
	id       manifest.Digest
	manifest *manifest.Manifest
	version  *Version // nil unless open
	lastUsed time.Time
}

type location struct {
	id    manifest.Digest
	index int
}

// Open opens the scratch folder, creating it if missing. maxBytes bounds the
// sum of the sizes of its versions; 0 means no limit. Folders without a
// valid manifest are removed.
func Open(dir string, maxBytes int64) (*Store, error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, fmt.Errorf("open scratch folder: %w", err)
	}
	s := &Store{
		dir:      dir,
		maxBytes: maxBytes,
		known:    map[manifest.Digest]*entry{},
		chunks:   map[manifest.Digest][]location{},
	}
	found, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("open scratch folder: %w", err)
	}
	for _, f := range found {
		s.load(f)
	}
	return s, nil
}

// load registers a version folder that an earlier process left, or removes it if
// its manifest is not valid.
func (s *Store) load(f fs.DirEntry) {
	id, err := manifest.ParseDigest(f.Name())
	if err != nil || !f.IsDir() {
		return // not created by the store
	}
	data, err := os.ReadFile(filepath.Join(s.dir, f.Name(), manifestName))
	if err != nil {
		os.RemoveAll(filepath.Join(s.dir, f.Name()))
		return
	}
	m, err := manifest.ParseVerified(data, id)
	if err != nil {
		os.RemoveAll(filepath.Join(s.dir, f.Name()))
		return
	}
	e := &entry{id: id, manifest: m}
	if info, err := f.Info(); err == nil {
		e.lastUsed = info.ModTime()
	}
	s.add(e)
}

func (s *Store) add(e *entry) {
	s.known[e.id] = e
	for i, d := range e.manifest.Chunks {
		s.chunks[d] = append(s.chunks[d], location{id: e.id, index: i})
	}
}

// remove unregisters a version and deletes its folder.
func (s *Store) remove(e *entry) error {
	delete(s.known, e.id)
	for _, d := range e.manifest.Chunks {
		left := slices.DeleteFunc(s.chunks[d], func(l location) bool { return l.id == e.id })
		if len(left) == 0 {
			delete(s.chunks, d)
		} else {
			s.chunks[d] = left
		}
	}
	if err := os.RemoveAll(s.path(e.id)); err != nil {
		return fmt.Errorf("remove version: %w", err)
	}
	return nil
}

func (s *Store) path(id manifest.Digest) string { return filepath.Join(s.dir, id.String()) }

// Manifest returns the verified manifest of a version whose folder exists.
func (s *Store) Manifest(id manifest.Digest) (*manifest.Manifest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.known[id]
	if !ok {
		return nil, false
	}
	return e.manifest, true
}

// UsedBytes returns the sum of the sizes of all versions in the folder.
func (s *Store) UsedBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used()
}

func (s *Store) used() int64 {
	var sum int64
	for _, e := range s.known {
		sum += e.manifest.Size
	}
	return sum
}

// OpenVersion opens the version with the given manifest file, whose digest is
// id: it checks every chunk on the disk and copies missing chunks from other
// versions' files. If the folder is full, it first deletes versions that are not
// open, those that share the fewest chunks with this one first.
func (s *Store) OpenVersion(id manifest.Digest, encoded []byte) (*Version, error) {
	m, err := manifest.ParseVerified(encoded, id)
	if err != nil {
		return nil, err
	}
	v, err := s.create(id, m, encoded)
	if err != nil {
		return nil, err
	}
	if err := v.verify(); err != nil {
		v.Close()
		return nil, err
	}
	if !v.Staged() {
		s.copyShared(v)
	}
	return v, nil
}

// ReopenVersion is OpenVersion with the manifest file in the version's folder.
func (s *Store) ReopenVersion(id manifest.Digest) (*Version, error) {
	encoded, err := os.ReadFile(filepath.Join(s.path(id), manifestName))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrWiped, err)
	}
	return s.OpenVersion(id, encoded)
}

func (s *Store) create(id manifest.Digest, m *manifest.Manifest, encoded []byte) (*Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.known[id]
	if e == nil {
		if err := s.evictFor(m); err != nil {
			return nil, err
		}
		e = &entry{id: id, manifest: m}
		s.add(e)
	}
	if e.version != nil {
		return nil, fmt.Errorf("version %s is open already", id)
	}
	v, err := openFiles(s, id, m, encoded)
	if err != nil {
		return nil, classify(err)
	}
	e.version = v
	e.lastUsed = time.Now()
	return v, nil
}

// evictFor deletes versions that are not open until m fits.
func (s *Store) evictFor(m *manifest.Manifest) error {
	if s.maxBytes <= 0 {
		return nil
	}
	var idle []*entry
	for _, e := range s.known {
		if e.version == nil {
			idle = append(idle, e)
		}
	}
	slices.SortFunc(idle, func(a, b *entry) int {
		if byShared := cmp.Compare(sharedChunks(a.manifest, m), sharedChunks(b.manifest, m)); byShared != 0 {
			return byShared
		}
		return a.lastUsed.Compare(b.lastUsed)
	})
	for s.used()+m.Size > s.maxBytes {
		if len(idle) == 0 {
			return fmt.Errorf("%w: %d bytes in use, %d more needed, limit %d", ErrFull, s.used(), m.Size, s.maxBytes)
		}
		if err := s.remove(idle[0]); err != nil {
			return err
		}
		idle = idle[1:]
	}
	return nil
}

func sharedChunks(a, b *manifest.Manifest) int {
	digests := make(map[manifest.Digest]bool, len(a.Chunks))
	for _, d := range a.Chunks {
		digests[d] = true
	}
	shared := 0
	for _, d := range b.Chunks {
		if digests[d] {
			shared++
		}
	}
	return shared
}

// copyShared fills v's missing chunks from other versions' files. Content is
// checked when it is written, so a chunk with a damaged source stays missing and
// is fetched.
func (s *Store) copyShared(v *Version) {
	for i, d := range v.manifest.Chunks {
		if v.Has(i) {
			continue
		}
		if data, ok := s.readShared(v.id, d, v.manifest.ChunkLen(i)); ok {
			_ = v.WriteChunk(i, data)
		}
	}
}

func (s *Store) readShared(self, digest manifest.Digest, length int) ([]byte, bool) {
	s.mu.Lock()
	locations := slices.Clone(s.chunks[digest])
	s.mu.Unlock()
	for _, l := range locations {
		if l.id == self {
			continue
		}
		if data, ok := s.readLocation(l, length); ok && manifest.Sum(data) == digest {
			return data, true
		}
	}
	return nil, false
}

func (s *Store) readLocation(l location, length int) ([]byte, bool) {
	s.mu.Lock()
	e := s.known[l.id]
	s.mu.Unlock()
	if e == nil || e.manifest.ChunkLen(l.index) != length {
		return nil, false
	}
	data := make([]byte, length)
	for _, name := range []string{wholeName, partialName} {
		f, err := os.Open(filepath.Join(s.path(l.id), name))
		if err != nil {
			continue
		}
		_, err = f.ReadAt(data, e.manifest.Offset(l.index))
		f.Close()
		if err == nil {
			return data, true
		}
	}
	return nil, false
}

// Lookup finds an open version with this chunk and the chunk's index in it.
func (s *Store) Lookup(digest manifest.Digest) (*Version, int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.chunks[digest] {
		e := s.known[l.id]
		if e != nil && e.version != nil && e.version.Has(l.index) {
			return e.version, l.index, true
		}
	}
	return nil, 0, false
}

// closed records that a version is no longer open.
func (s *Store) closed(v *Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.known[v.id]; e != nil && e.version == v {
		e.version = nil
	}
}

// forget unregisters a closed version and deletes what is left of its folder.
func (s *Store) forget(v *Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.known[v.id]; e != nil && (e.version == nil || e.version == v) {
		_ = s.remove(e)
	}
}

// classify wraps file system errors in the store's errors.
func classify(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, syscall.ENOSPC), errors.Is(err, syscall.EDQUOT), errors.Is(err, syscall.EFBIG):
		return fmt.Errorf("%w: %w", ErrFull, err)
	case errors.Is(err, fs.ErrNotExist), errors.Is(err, syscall.ESTALE):
		return fmt.Errorf("%w: %w", ErrWiped, err)
	default:
		return err
	}
}
