package state

import (
	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/keyspace"
)

// validate finds what is wrong with the declarations as a whole that the
// changes would make.
func (m *Machine) validate(changes []inventory.Change) []string {
	return inventory.ValidateChange(DeclaredRecords(m.view), changes)
}

// DeclaredRecords returns the declared keys of a view with their values.
func DeclaredRecords(view *keyspace.View) map[string][]byte {
	records := make(map[string][]byte)
	for _, prefix := range inventory.Declared {
		for _, e := range view.Prefix(prefix) {
			records[e.Key] = e.Value
		}
	}
	return records
}
