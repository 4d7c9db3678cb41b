package fleet

import (
	"encoding/json"
	"fmt"
)

// An agent needs the services of a configuration only, which seldom change: routes and
// organisations are most of a document.

// EncodeServices returns the services of a configuration, and its version, in a form that
// DecodeServices reads.
func EncodeServices(c *Config) ([]byte, error) {
	data, err := json.Marshal(Config{Version: c.Version, Services: c.Services})
	if err != nil {
		return nil, fmt.Errorf("encode services: %w", err)
	}
	return data, nil
}

// DecodeServices returns a configuration that holds services only.
func DecodeServices(data []byte) (*Config, error) {
	c := &Config{}
	if err := json.Unmarshal(data, c); err != nil {
		return nil, fmt.Errorf("decode services: %w", err)
	}
	return c, nil
}
