// Package manifest describes one model version's weights as a list of
// content-addressed chunks.
//
// The digest of the manifest file is part of the accepted configuration, so
// neither the origin nor any peer has to be trusted: the manifest is checked
// against it, and every chunk and the whole file against the manifest. The
// package is pure and keeps no state.
package manifest

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"lukechampine.com/blake3"
)

// Limits on what Parse accepts.
const (
	// MaxChunkSize bounds one chunk in bytes, since chunks are held in memory
	// while they are checked.
	MaxChunkSize = 16 << 20
	// MaxChunks bounds the number of chunks.
	MaxChunks = 1 << 20
	// MaxEncodedSize bounds the manifest file in bytes.
	MaxEncodedSize = 80 << 20

	maxNameLength = 128
)

// Errors of parsing.
var (
	// ErrInvalid is wrapped by every error of Parse.
	ErrInvalid = errors.New("invalid manifest")
	// ErrDigest means that the manifest file isn't the one that the configuration names.
	ErrDigest = errors.New("manifest digest differs from the configured one")
)

// Digest is a BLAKE3-256 digest; in JSON it is hex.
type Digest [32]byte

// Sum returns the digest of data.
func Sum(data []byte) Digest { return blake3.Sum256(data) }

// String returns the digest in hex.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText encodes the digest in hex.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText decodes a digest from hex.
func (d *Digest) UnmarshalText(text []byte) error {
	parsed, err := ParseDigest(string(text))
	if err != nil {
		return err
	}
	*d = parsed
	return nil
}

// ParseDigest decodes a hex digest.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	raw, err := hex.DecodeString(text)
	if err != nil {
		return d, fmt.Errorf("digest %q: %w", text, err)
	}
	if len(raw) != len(d) {
		return d, fmt.Errorf("digest %q: want %d bytes, got %d", text, len(d), len(raw))
	}
	copy(d[:], raw)
	return d, nil
}

// Manifest lists the chunks of one model version. All chunks but the last are
// ChunkSize bytes long.
type Manifest struct {
	Model     string   `json:"model"`
	Version   string   `json:"version"`
	Size      int64    `json:"size"`
	ChunkSize int64    `json:"chunk_size"`
	Digest    Digest   `json:"digest"`
	Chunks    []Digest `json:"chunks"`
}

// Build reads weights to EOF and returns their manifest.
func Build(model, version string, weights io.Reader, chunkSize int64) (*Manifest, error) {
	if chunkSize <= 0 || chunkSize > MaxChunkSize {
		return nil, fmt.Errorf("chunk size %d: must be in 1..%d", chunkSize, MaxChunkSize)
	}
	m := &Manifest{Model: model, Version: version, ChunkSize: chunkSize}
	whole := blake3.New(len(m.Digest), nil)
	buf := make([]byte, chunkSize)
	for {
		n, err := io.ReadFull(weights, buf)
		if n > 0 {
			whole.Write(buf[:n])
			m.Chunks = append(m.Chunks, Sum(buf[:n]))
			m.Size += int64(n)
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			break
		}
		if err != nil {
			return nil, fmt.Errorf("read weights: %w", err)
		}
	}
	whole.Sum(m.Digest[:0])
	return m, m.check()
}

// Encode returns the manifest file. Its bytes, and so its digest, depend on the
// manifest alone.
func (m *Manifest) Encode() ([]byte, error) {
	data, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode manifest: %w", err)
	}
	return data, nil
}

// ParseVerified parses a manifest file whose digest must be want.
func ParseVerified(data []byte, want Digest) (*Manifest, error) {
	if Sum(data) != want {
		return nil, ErrDigest
	}
	return Parse(data)
}

// Parse parses a manifest file strictly: it refuses unknown fields, trailing data
// and a number of chunks that doesn't match the size.
func Parse(data []byte) (*Manifest, error) {
	if len(data) > MaxEncodedSize {
		return nil, fmt.Errorf("%w: %d bytes", ErrInvalid, len(data))
	}
	m := &Manifest{}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("%w: data after the end", ErrInvalid)
	}
	return m, m.check()
}

func (m *Manifest) check() error {
	if !validName(m.Model) || !validName(m.Version) {
		return fmt.Errorf("%w: model %q version %q", ErrInvalid, m.Model, m.Version)
	}
	if m.Size <= 0 {
		return fmt.Errorf("%w: size %d", ErrInvalid, m.Size)
	}
	if m.ChunkSize <= 0 || m.ChunkSize > MaxChunkSize {
		return fmt.Errorf("%w: chunk size %d", ErrInvalid, m.ChunkSize)
	}
	chunks := (m.Size-1)/m.ChunkSize + 1
	if chunks > MaxChunks || chunks != int64(len(m.Chunks)) {
		return fmt.Errorf("%w: %d chunks listed, size needs %d", ErrInvalid, len(m.Chunks), chunks)
	}
	return nil
}

func validName(name string) bool {
	return name != "" && len(name) <= maxNameLength && name != "." && name != ".." &&
		!strings.ContainsAny(name, "/\\\x00")
}

// Len returns the number of chunks.
func (m *Manifest) Len() int { return len(m.Chunks) }

// Offset returns the offset of chunk i in the weights file.
func (m *Manifest) Offset(i int) int64 { return int64(i) * m.ChunkSize }

// ChunkLen returns the length of chunk i in bytes.
func (m *Manifest) ChunkLen(i int) int {
	return int(min(m.ChunkSize, m.Size-m.Offset(i)))
}
