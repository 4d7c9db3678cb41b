package state

import (
	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/keyspace"
)

// validate returns the problems of the declared records as the changes would
// leave them.
func (m *Machine) validate(changes []inventory.Change) []string {
	return inventory.ValidateChange(DeclaredRecords(m.view), changes)
}

// DeclaredRecords returns the values of a view's declared keys, by key.
func DeclaredRecords(view *keyspace.View) map[string][]byte {
	records := make(map[string][]byte)
	for _, prefix := range inventory.Declared {
		for _, e := range view.Prefix(prefix) {
			records[e.Key] = e.Value
		}
	}
	return records
}
