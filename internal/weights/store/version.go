package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"

	"lukechampine.com/blake3"

	"lynxgate.dev/lynxgate/internal/durable"
	"lynxgate.dev/lynxgate/internal/weights/manifest"
)

// hashBlock is how much is hashed at a time, in bytes: the hash's library is
// several times as fast on large blocks (0.7 GB/s at 32 KiB, 2.7 GB/s at 1 MiB).
const hashBlock = 1 << 20

// Version is one open model version. Its methods may be called from several
// goroutines.
type Version struct {
	store    *Store
	id       manifest.Digest
	manifest *manifest.Manifest
	dir      string

	mu     sync.RWMutex
	file   *os.File
	held   []bool
	count  int
	staged bool
	closed bool
}

// openFiles prepares the version's folder and opens its weights file.
func openFiles(s *Store, id manifest.Digest, m *manifest.Manifest, encoded []byte) (*Version, error) {
	v := &Version{store: s, id: id, manifest: m, dir: s.path(id), held: make([]bool, m.Len())}
	if err := os.MkdirAll(v.dir, dirMode); err != nil {
		return nil, err
	}
	if err := durable.ReplaceFile(filepath.Join(v.dir, manifestName), encoded, fileMode); err != nil {
		return nil, err
	}
	// A whole file of an earlier process is worth no more than its chunks
	// until it has been checked, so it loses its name meanwhile.
	err := os.Rename(v.path(wholeName), v.path(partialName))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	v.file, err = os.OpenFile(v.path(partialName), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	if err := v.file.Truncate(m.Size); err != nil {
		v.file.Close()
		return nil, err
	}
	return v, nil
}

func (v *Version) path(name string) string { return filepath.Join(v.dir, name) }

// ID returns the digest of the version's manifest.
func (v *Version) ID() manifest.Digest { return v.id }

// Manifest returns the version's manifest.
func (v *Version) Manifest() *manifest.Manifest { return v.manifest }

// Path returns where the whole file stands once it is staged.
func (v *Version) Path() string { return v.path(wholeName) }

// Staged says whether the whole file is in place.
func (v *Version) Staged() bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.staged
}

// Has says whether chunk i has been verified.
func (v *Version) Has(i int) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return !v.closed && v.held[i]
}

// Held returns the indexes of the verified chunks.
func (v *Version) Held() []int {
	v.mu.RLock()
	defer v.mu.RUnlock()
	held := make([]int, 0, v.count)
	for i, h := range v.held {
		if h {
			held = append(held, i)
		}
	}
	return held
}

// Count returns how many chunks have been verified.
func (v *Version) Count() int {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.count
}

// verify checks every chunk that the file holds, and stages a whole file.
func (v *Version) verify() error {
	buf := make([]byte, v.manifest.ChunkSize)
	for i := range v.manifest.Chunks {
		chunk := buf[:v.manifest.ChunkLen(i)]
		if _, err := v.file.ReadAt(chunk, v.manifest.Offset(i)); err != nil {
			return classify(fmt.Errorf("verify chunk %d: %w", i, err))
		}
		if manifest.Sum(chunk) == v.manifest.Chunks[i] {
			v.mark(i)
		}
	}
	if v.Count() < v.manifest.Len() {
		return nil
	}
	return v.Stage()
}

func (v *Version) mark(i int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.held[i] {
		v.held[i] = true
		v.count++
	}
}

// WriteChunk verifies data and keeps it as chunk i. ErrChunkDigest means that
// data was refused and nothing changed.
func (v *Version) WriteChunk(i int, data []byte) error {
	if len(data) != v.manifest.ChunkLen(i) || manifest.Sum(data) != v.manifest.Chunks[i] {
		return fmt.Errorf("chunk %d: %w", i, ErrChunkDigest)
	}
	v.mu.RLock()
	file, closed, held := v.file, v.closed, v.held[i]
	v.mu.RUnlock()
	if closed {
		return os.ErrClosed
	}
	if held {
		return nil
	}
	if _, err := file.WriteAt(data, v.manifest.Offset(i)); err != nil {
		return classify(fmt.Errorf("write chunk %d: %w", i, err))
	}
	v.mark(i)
	return nil
}

// ReadChunkAt reads part of chunk i, beginning at offset within the chunk.
func (v *Version) ReadChunkAt(i int, p []byte, offset int) error {
	v.mu.RLock()
	file, ok := v.file, !v.closed && v.held[i]
	v.mu.RUnlock()
	if !ok {
		return fmt.Errorf("chunk %d: %w", i, ErrIncomplete)
	}
	if _, err := file.ReadAt(p, v.manifest.Offset(i)+int64(offset)); err != nil {
		return classify(fmt.Errorf("read chunk %d: %w", i, err))
	}
	return nil
}

// Stage checks the digest of the whole, syncs the file and gives it its final
// name. It is safe to call again after any failure.
func (v *Version) Stage() error {
	if v.Staged() {
		return nil
	}
	if v.Count() < v.manifest.Len() {
		return ErrIncomplete
	}
	if err := v.checkWhole(); err != nil {
		return err
	}
	if err := v.file.Sync(); err != nil {
		return classify(fmt.Errorf("sync weights: %w", err))
	}
	if !v.same(partialName) {
		return ErrWiped
	}
	if err := os.Rename(v.path(partialName), v.path(wholeName)); err != nil {
		return classify(fmt.Errorf("stage weights: %w", err))
	}
	if err := durable.SyncDir(v.dir); err != nil {
		return classify(err)
	}
	v.mu.Lock()
	v.staged = true
	v.mu.Unlock()
	return nil
}

func (v *Version) checkWhole() error {
	hasher := blake3.New(len(v.manifest.Digest), nil)
	whole := io.NewSectionReader(v.file, 0, v.manifest.Size)
	if _, err := io.CopyBuffer(hasher, whole, make([]byte, hashBlock)); err != nil {
		return classify(fmt.Errorf("read weights: %w", err))
	}
	var sum manifest.Digest
	hasher.Sum(sum[:0])
	if sum == v.manifest.Digest {
		return nil
	}
	return v.explainMismatch()
}

// explainMismatch tells a damaged file, whose bad chunks are given up, from a
// manifest that contradicts itself.
func (v *Version) explainMismatch() error {
	buf := make([]byte, v.manifest.ChunkSize)
	damaged := 0
	for i := range v.manifest.Chunks {
		chunk := buf[:v.manifest.ChunkLen(i)]
		_, err := v.file.ReadAt(chunk, v.manifest.Offset(i))
		if err == nil && manifest.Sum(chunk) == v.manifest.Chunks[i] {
			continue
		}
		damaged++
		v.mu.Lock()
		v.held[i] = false
		v.count--
		v.mu.Unlock()
	}
	if damaged > 0 {
		return fmt.Errorf("%w: %d chunks damaged", ErrWiped, damaged)
	}
	return ErrWholeDigest
}

// Intact says whether the file is still the one this store opened and at its
// place. It does not read the content.
func (v *Version) Intact() bool {
	if v.Staged() {
		return v.same(wholeName)
	}
	return v.same(partialName)
}

func (v *Version) same(name string) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if v.closed {
		return false
	}
	open, err := v.file.Stat()
	if err != nil {
		return false
	}
	there, err := os.Stat(v.path(name))
	return err == nil && os.SameFile(open, there) && there.Size() == v.manifest.Size
}

// Close closes the version; its files stay for a later open.
func (v *Version) Close() {
	v.mu.Lock()
	already := v.closed
	v.closed = true
	v.mu.Unlock()
	if already {
		return
	}
	v.file.Close()
	v.store.closed(v)
}

// Forget closes the version and deletes what is left of it.
func (v *Version) Forget() {
	v.Close()
	v.store.forget(v)
}
