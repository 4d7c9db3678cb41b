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

// hashBlock is how much is hashed per call, in bytes: the hash library is several
// times as fast on large blocks (0.7 GB/s at 32 KiB, 2.7 GB/s at 1 MiB).
const hashBlock = 1 << 20

// Version is one open model version. Its methods are safe for concurrent use.
type Version struct {
	store    *Store
	id       manifest.Digest
	manifest *manifest.Manifest
	dir      string

	mu       sync.RWMutex
	file     *os.File
	verified []bool
	count    int
	staged   bool
	closed   bool
}

// openFiles prepares the version's folder and opens its weights file.
func openFiles(s *Store, id manifest.Digest, m *manifest.Manifest, encoded []byte) (*Version, error) {
	v := &Version{store: s, id: id, manifest: m, dir: s.path(id), verified: make([]bool, m.Len())}
	if err := os.MkdirAll(v.dir, dirMode); err != nil {
		return nil, err
	}
	if err := durable.ReplaceFile(filepath.Join(v.dir, manifestName), encoded, fileMode); err != nil {
		return nil, err
	}
	// The whole file of an earlier process is treated as partial until this process
	// has checked it.
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

// Path returns the path of the whole file once it is staged.
func (v *Version) Path() string { return v.path(wholeName) }

// Staged reports whether the whole file is in place.
func (v *Version) Staged() bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.staged
}

// Has reports whether chunk i has been verified.
func (v *Version) Has(i int) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return !v.closed && v.verified[i]
}

// Held returns the indexes of the verified chunks.
func (v *Version) Held() []int {
	v.mu.RLock()
	defer v.mu.RUnlock()
	held := make([]int, 0, v.count)
	for i, h := range v.verified {
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

// verify checks every chunk on the disk and stages the file if none is missing.
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
	if !v.verified[i] {
		v.verified[i] = true
		v.count++
	}
}

// WriteChunk verifies data and writes it as chunk i. With ErrChunkDigest the data
// was refused and nothing changed.
func (v *Version) WriteChunk(i int, data []byte) error {
	if len(data) != v.manifest.ChunkLen(i) || manifest.Sum(data) != v.manifest.Chunks[i] {
		return fmt.Errorf("chunk %d: %w", i, ErrChunkDigest)
	}
	v.mu.RLock()
	file, closed, held := v.file, v.closed, v.verified[i]
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
	file, ok := v.file, !v.closed && v.verified[i]
	v.mu.RUnlock()
	if !ok {
		return fmt.Errorf("chunk %d: %w", i, ErrIncomplete)
	}
	if _, err := file.ReadAt(p, v.manifest.Offset(i)+int64(offset)); err != nil {
		return classify(fmt.Errorf("read chunk %d: %w", i, err))
	}
	return nil
}

// Stage checks the digest of the whole, syncs the file and renames it to its final
// name. It may be called again after any failure.
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
	if !v.sameFile(partialName) {
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

// explainMismatch distinguishes a damaged file, whose bad chunks it marks as
// missing, from an inconsistent manifest.
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
		v.verified[i] = false
		v.count--
		v.mu.Unlock()
	}
	if damaged > 0 {
		return fmt.Errorf("%w: %d chunks damaged", ErrWiped, damaged)
	}
	return ErrWholeDigest
}

// Intact reports whether the file that this store opened is still at its path and
// has its full size. It does not read the content.
func (v *Version) Intact() bool {
	if v.Staged() {
		return v.sameFile(wholeName)
	}
	return v.sameFile(partialName)
}

func (v *Version) sameFile(name string) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if v.closed {
		return false
	}
	open, err := v.file.Stat()
	if err != nil {
		return false
	}
	onDisk, err := os.Stat(v.path(name))
	return err == nil && os.SameFile(open, onDisk) && onDisk.Size() == v.manifest.Size
}

// Close closes the version and keeps its files.
func (v *Version) Close() {
	v.mu.Lock()
	wasClosed := v.closed
	v.closed = true
	v.mu.Unlock()
	if wasClosed {
		return
	}
	v.file.Close()
	v.store.closed(v)
}

// Forget closes the version and deletes what is left of its folder.
func (v *Version) Forget() {
	v.Close()
	v.store.forget(v)
}
