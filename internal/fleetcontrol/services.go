package fleetcontrol

import (
	"sync"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/ledger"
)

// agentConfigs extracts the services of configurations, the part that agents receive. Whole
// documents to all agents would be a fifth of the bytes that control servers send.
type agentConfigs struct {
	decode func(document []byte) (*fleet.Config, error)

	mu sync.Mutex
	// version is that of the newest document decoded, deflated its services, compressed, with
	// the version; services are the same uncompressed without the version.
	version  uint64
	deflated []byte
	services string
	// same are the decoded versions that have these services.
	same map[uint64]bool
}

// newServices returns the compressed services of a committed document, nil if the version
// that an agent has is known to have the same ones.
func (a *agentConfigs) newServices(known, version uint64, document []byte) ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if version > a.version {
		if err := a.read(version, document); err != nil {
			return nil, err
		}
	}
	if a.same[known] {
		return nil, nil
	}
	return a.deflated, nil
}

func (a *agentConfigs) read(version uint64, document []byte) error {
	inflated, err := ledger.Inflate(document)
	if err != nil {
		return err
	}
	config, err := a.decode(inflated)
	if err != nil {
		return err
	}
	config.Version = 0 // without it, equal services have equal encodings
	services, err := fleet.EncodeServices(config)
	if err != nil {
		return err
	}
	config.Version = version
	encoded, err := fleet.EncodeServices(config)
	if err != nil {
		return err
	}
	if string(services) != a.services {
		a.services, a.same = string(services), map[uint64]bool{}
	}
	a.version, a.deflated = version, ledger.Deflate(encoded)
	a.same[version] = true
	return nil
}
