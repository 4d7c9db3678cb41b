package store

import (
	"bytes"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lynxgate.dev/lynxgate/internal/weights/manifest"

	_ "lynxgate.dev/lynxgate/internal/testseed" // the same schedules every run
)

const chunkSize = 64

// sample is a version with its content.
type sample struct {
	id      manifest.Digest
	encoded []byte
	data    []byte
	chunks  int
}

func newSample(t require.TestingT, version string, data []byte) sample {
	m, err := manifest.Build("m", version, bytes.NewReader(data), chunkSize)
	require.NoError(t, err)
	encoded, err := m.Encode()
	require.NoError(t, err)
	return sample{id: manifest.Sum(encoded), encoded: encoded, data: data, chunks: m.Len()}
}

func content(seed uint64, length int) []byte {
	rng := rand.New(rand.NewPCG(seed, 0))
	data := make([]byte, length)
	for i := range data {
		data[i] = byte(rng.Uint32())
	}
	return data
}

func (s sample) chunk(i int) []byte {
	return s.data[i*chunkSize : min(len(s.data), (i+1)*chunkSize)]
}

func open(t require.TestingT, dir string, maxBytes int64, s sample) (*Store, *Version) {
	files, err := Open(dir, maxBytes)
	require.NoError(t, err)
	v, err := files.OpenVersion(s.id, s.encoded)
	require.NoError(t, err)
	return files, v
}

// After a crash at any step, exactly the chunks that were written are found, and the
// version is staged if and only if none is missing.
func TestRestartAtEveryStep(t *testing.T) {
	s := newSample(t, "v1", content(1, 5*chunkSize+7))
	dir := t.TempDir()
	for written := 0; written <= s.chunks; written++ {
		_, v := open(t, dir, 0, s)
		require.Equal(t, written, v.Count())
		require.Equal(t, written == s.chunks, v.Staged())
		if written < s.chunks {
			require.ErrorIs(t, v.Stage(), ErrIncomplete)
			require.NoError(t, v.WriteChunk(written, s.chunk(written)))
		}
		v.file.Close() // a crash: the version is not closed
	}
	got, err := os.ReadFile(filepath.Join(dir, s.id.String(), wholeName))
	require.NoError(t, err)
	require.Equal(t, s.data, got)
}

func TestWriteChunkRefusesWrongBytes(t *testing.T) {
	s := newSample(t, "v1", content(1, 3*chunkSize))
	_, v := open(t, t.TempDir(), 0, s)
	corrupted := bytes.Clone(s.chunk(1))
	corrupted[3] ^= 1
	require.ErrorIs(t, v.WriteChunk(1, corrupted), ErrChunkDigest)
	require.ErrorIs(t, v.WriteChunk(1, s.chunk(0)), ErrChunkDigest)
	require.ErrorIs(t, v.WriteChunk(1, s.chunk(1)[1:]), ErrChunkDigest)
	require.False(t, v.Has(1))
	require.Error(t, v.ReadChunkAt(1, make([]byte, 1), 0))
}

func TestInconsistentManifestIsNotStaged(t *testing.T) {
	data := content(1, 3*chunkSize)
	m, err := manifest.Build("m", "v1", bytes.NewReader(data), chunkSize)
	require.NoError(t, err)
	m.Digest[0] ^= 1
	encoded, err := m.Encode()
	require.NoError(t, err)
	s := sample{id: manifest.Sum(encoded), encoded: encoded, data: data, chunks: m.Len()}
	_, v := open(t, t.TempDir(), 0, s)
	for i := range s.chunks {
		require.NoError(t, v.WriteChunk(i, s.chunk(i)))
	}
	require.ErrorIs(t, v.Stage(), ErrWholeDigest)
	require.NoFileExists(t, v.Path())
}

func TestReopenFindsDamagedChunk(t *testing.T) {
	s := newSample(t, "v1", content(1, 4*chunkSize))
	dir := t.TempDir()
	_, v := open(t, dir, 0, s)
	for i := range s.chunks {
		require.NoError(t, v.WriteChunk(i, s.chunk(i)))
	}
	require.NoError(t, v.Stage())
	v.Close()
	f, err := os.OpenFile(v.Path(), os.O_WRONLY, 0)
	require.NoError(t, err)
	_, err = f.WriteAt([]byte{s.data[70] ^ 1}, 70)
	require.NoError(t, err)
	require.NoError(t, f.Close())
	_, v = open(t, dir, 0, s)
	require.False(t, v.Staged())
	require.Equal(t, []int{0, 2, 3}, v.Held())
}

func TestSharedChunksAreCopied(t *testing.T) {
	old := content(1, 6*chunkSize)
	renewed := append(content(2, 2*chunkSize), old[chunkSize:4*chunkSize]...) // 3 shared, moved
	first, second := newSample(t, "v1", old), newSample(t, "v2", renewed)
	files, v1 := open(t, t.TempDir(), 0, first)
	for i := range first.chunks {
		require.NoError(t, v1.WriteChunk(i, first.chunk(i)))
	}
	v2, err := files.OpenVersion(second.id, second.encoded)
	require.NoError(t, err)
	require.Equal(t, []int{2, 3, 4}, v2.Held())
	v1.Close()
	v2.Close()
	again, err := files.OpenVersion(second.id, second.encoded)
	require.NoError(t, err)
	require.Equal(t, 3, again.Count())
}

func TestFolderSizeLimit(t *testing.T) {
	a, b := newSample(t, "a", content(1, 4*chunkSize)), newSample(t, "b", content(2, 4*chunkSize))
	shared := newSample(t, "c", append(content(1, 2*chunkSize), content(3, 2*chunkSize)...))
	files, va := open(t, t.TempDir(), 8*chunkSize, a)
	vb, err := files.OpenVersion(b.id, b.encoded)
	require.NoError(t, err)
	for i := range 4 {
		require.NoError(t, va.WriteChunk(i, a.chunk(i)))
	}
	_, err = files.OpenVersion(shared.id, shared.encoded)
	require.ErrorIs(t, err, ErrFull, "open versions must not be deleted")
	va.Close()
	vb.Close()
	vc, err := files.OpenVersion(shared.id, shared.encoded)
	require.NoError(t, err)
	require.Equal(t, 2, vc.Count(), "the version that shares chunks must be deleted last")
	_, kept := files.Manifest(a.id)
	require.True(t, kept)
	require.LessOrEqual(t, files.UsedBytes(), int64(8*chunkSize))
}

func TestWipedFolder(t *testing.T) {
	s := newSample(t, "v1", content(1, 2*chunkSize))
	files, v := open(t, t.TempDir(), 0, s)
	for i := range s.chunks {
		require.NoError(t, v.WriteChunk(i, s.chunk(i)))
	}
	require.True(t, v.Intact())
	require.NoError(t, os.RemoveAll(files.dir))
	require.False(t, v.Intact())
	require.ErrorIs(t, v.Stage(), ErrWiped)
	v.Forget()
	v, err := files.OpenVersion(s.id, s.encoded)
	require.NoError(t, err)
	require.Zero(t, v.Count())
}

// A file at the path of a staged version has exactly the content of the manifest,
// whatever writes, damage and restarts came before.
func TestStagedOnlyWhenExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "store")
		require.NoError(t, err)
		defer os.RemoveAll(dir)
		s := newSample(t, "v1", content(1, 4*chunkSize+9))
		_, v := open(t, dir, 0, s)
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				i := rapid.IntRange(0, s.chunks-1).Draw(t, "i")
				data := bytes.Clone(s.chunk(i))
				if rapid.Bool().Draw(t, "spoil") {
					data[0] ^= 1
				}
				_ = v.WriteChunk(i, data)
			},
			"stage": func(*rapid.T) { _ = v.Stage() },
			"damage": func(t *rapid.T) {
				at := rapid.Int64Range(0, int64(len(s.data)-1)).Draw(t, "at")
				if v.Staged() {
					return // an engine may read the file; the next open finds such damage
				}
				_, err := v.file.WriteAt([]byte{s.data[at] ^ 1}, at)
				require.NoError(t, err)
			},
			"restart": func(t *rapid.T) {
				v.Close()
				_, v = open(t, dir, 0, s)
			},
			"": func(t *rapid.T) {
				got, err := os.ReadFile(v.Path())
				if v.Staged() {
					require.NoError(t, err)
				}
				if err == nil {
					require.Equal(t, s.data, got)
				}
			},
		})
	})
}
