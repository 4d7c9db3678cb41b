package fleetcontrol

import (
	"sync"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/ledger"
)

// agentConfigs makes what agents get of a configuration: its services. Whole documents to all agents
// would be a fifth of what control servers send.
type agentConfigs struct {
	decode func(document []byte) (*fleet.Config, error)

	mu sync.Mutex
	// version is the newest document that was read, deflated are its services; services are
	// the same without a version.
	version  uint64
	deflated []byte
	services string
	// same are the versions that were read here and have these services.
	same map[uint64]bool
}

// lacking returns the services of a committed document, deflated; nil if an agent that holds
// the services of another version has the same ones.
func (a *agentConfigs) lacking(held, version uint64, document []byte) ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if version > a.version {
		if err := a.read(version, document); err != nil {
			return nil, err
		}
	}
	if a.same[held] {
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
	config.Version = 0 // the same services are told by the same bytes
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
