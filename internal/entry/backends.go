package entry

import (
	"math/rand/v2"
	"sync"

	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// backends is what the entry knows of backend servers.
type backends struct {
	mu      sync.Mutex
	members map[string]inventory.Member
	states  map[string]*rpc.AgentState
}

type choice struct {
	vm, addr       string
	model, version string
}

func newBackends() *backends {
	return &backends{members: map[string]inventory.Member{}, states: map[string]*rpc.AgentState{}}
}

// pick chooses at random among live servers of the service.
func (b *backends) pick(service inventory.Service, version string, exclude map[string]bool) (choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []choice
	for vm, m := range b.members {
		state := b.states[vm]
		if m.Service != service.Name || state == nil || state.Leaving || exclude[vm] {
			continue
		}
		for _, live := range state.Live {
			if version == "" || live.Version == version {
				all = append(all, choice{vm: vm, addr: m.Addr, model: live.Model, version: live.Version})
			}
		}
	}
	if len(all) == 0 {
		return choice{}, false
	}
	return all[rand.IntN(len(all))], true
}

func (b *backends) setMember(m inventory.Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members[m.VM] = m
}

func (b *backends) remove(vm string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.members, vm)
	delete(b.states, vm)
}

func (b *backends) setState(state *rpc.AgentState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.states[state.Vm] = state
}

func (b *backends) lost(vm string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.states, vm)
}
