package origin

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"

	"lukechampine.com/blake3"
)

// weightsFile is the name of the weights file in the folder of a version.
const weightsFile = "weights"

// Generated asks for made-up weights: the same settings give the same bytes
// in every process.
type Generated struct {
	Model    string
	Versions []string
	// Size of each version in bytes.
	Size int64
	Seed uint64
	// SharedFraction is the fraction of chunks, 0 to 1, that all versions
	// have in common.
	SharedFraction float64
}

// generate makes the weights of one version chunk by chunk.
func (g Generated) generate(version string, chunkSize int64) []byte {
	content := make([]byte, g.Size)
	for i := int64(0); i*chunkSize < g.Size; i++ {
		part := content[i*chunkSize : min((i+1)*chunkSize, g.Size)]
		g.fill(part, version, uint64(i))
	}
	return content
}

// fill writes the bytes of chunk i. Whether the chunk is shared by all
// versions depends on the seed and the index alone.
func (g Generated) fill(part []byte, version string, i uint64) {
	pick := rand.New(rand.NewPCG(g.Seed, i))
	if pick.Float64() < g.SharedFraction {
		version = ""
	}
	name := fmt.Appendf(nil, "%s\x00%s\x00", g.Model, version)
	name = binary.BigEndian.AppendUint64(name, g.Seed)
	name = binary.BigEndian.AppendUint64(name, i)
	source := rand.NewChaCha8(blake3.Sum256(name))
	_, _ = source.Read(part)
}

// loadGenerated makes all versions of the settings.
func loadGenerated(g Generated, chunkSize int64) ([]*weights, error) {
	var all []*weights
	for _, version := range g.Versions {
		content := bytes.NewReader(g.generate(version, chunkSize))
		w, err := newWeights(g.Model, version, content, g.Size, chunkSize)
		if err != nil {
			return nil, err
		}
		all = append(all, w)
	}
	return all, nil
}

// loadFolder opens every dir/{model}/{version}/weights. The files stay open
// for the life of the process.
func loadFolder(dir string, chunkSize int64) ([]*weights, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*", "*", weightsFile))
	if err != nil {
		return nil, fmt.Errorf("list weights in %s: %w", dir, err)
	}
	var all []*weights
	for _, path := range paths {
		w, err := loadFile(path, chunkSize)
		if err != nil {
			return nil, err
		}
		all = append(all, w)
	}
	return all, nil
}

// loadFile opens the weights of one version.
func loadFile(path string, chunkSize int64) (*weights, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open weights: %w", err)
	}
	info, err := file.Stat()
	if err != nil {
		return nil, fmt.Errorf("size of weights: %w", err)
	}
	versionDir := filepath.Dir(path)
	model := filepath.Base(filepath.Dir(versionDir))
	return newWeights(model, filepath.Base(versionDir), file, info.Size(), chunkSize)
}
