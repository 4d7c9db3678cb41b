package fleet

import (
	"encoding/json"
	"fmt"
)

// Agents receive only the services of a configuration. Services seldom change, and routes and
// organisations are most of a document.

// EncodeServices encodes the services and the version of a configuration for DecodeServices.
func EncodeServices(c *Config) ([]byte, error) {
	data, err := json.Marshal(Config{Version: c.Version, Services: c.Services})
	if err != nil {
		return nil, fmt.Errorf("encode services: %w", err)
	}
	return data, nil
}

// DecodeServices returns a configuration that has only a version and services.
func DecodeServices(data []byte) (*Config, error) {
	c := &Config{}
	if err := json.Unmarshal(data, c); err != nil {
		return nil, fmt.Errorf("decode services: %w", err)
	}
	return c, nil
}
