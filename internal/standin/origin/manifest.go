package origin

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"

	"lukechampine.com/blake3"
)

// Manifest describes the weights of one model version. Digests are hex BLAKE3.
type Manifest struct {
	Model     string   `json:"model"`
	Version   string   `json:"version"`
	Size      int64    `json:"size"`
	ChunkSize int64    `json:"chunk_size"`
	Digest    string   `json:"digest"`
	Chunks    []string `json:"chunks"`
}

// weights is the weights file of one model version with its manifest.
type weights struct {
	info     VersionInfo
	manifest []byte
	content  io.ReaderAt
}

// newWeights reads the content once and makes its manifest.
func newWeights(model, version string, content io.ReaderAt, size, chunkSize int64) (*weights, error) {
	manifest := Manifest{Model: model, Version: version, Size: size, ChunkSize: chunkSize}
	whole := blake3.New(32, nil)
	chunk := make([]byte, min(chunkSize, size))
	for offset := int64(0); offset < size; offset += chunkSize {
		part := chunk[:min(chunkSize, size-offset)]
		if _, err := content.ReadAt(part, offset); err != nil && err != io.EOF {
			return nil, fmt.Errorf("read weights of %s@%s: %w", model, version, err)
		}
		sum := blake3.Sum256(part)
		manifest.Chunks = append(manifest.Chunks, hex.EncodeToString(sum[:]))
		_, _ = whole.Write(part)
	}
	manifest.Digest = hex.EncodeToString(whole.Sum(nil))
	encoded, err := json.Marshal(manifest)
	if err != nil {
		return nil, fmt.Errorf("encode manifest of %s@%s: %w", model, version, err)
	}
	sum := blake3.Sum256(encoded)
	info := VersionInfo{
		Model: model, Version: version, Size: size,
		Manifest: hex.EncodeToString(sum[:]), Digest: manifest.Digest,
	}
	return &weights{info: info, manifest: encoded, content: content}, nil
}
