package replay

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/BurntSushi/toml"
)

// LoadKeys reads a file that maps organisations to their API keys: JSON if
// its name ends in .json, otherwise TOML.
func LoadKeys(path string) (map[string]string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read API keys: %w", err)
	}
	keys := make(map[string]string)
	decode := toml.Unmarshal
	if filepath.Ext(path) == ".json" {
		decode = json.Unmarshal
	}
	if err := decode(data, &keys); err != nil {
		return nil, fmt.Errorf("read API keys from %s: %w", path, err)
	}
	return keys, nil
}
