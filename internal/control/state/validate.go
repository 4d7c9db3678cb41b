package state

import (
	"encoding/json"
	"fmt"

	"lynxgate.dev/lynxgate/internal/inventory"
)

// validate finds what is wrong with the key space that the changes would make.
func (m *Machine) validate(changes []inventory.Change) []string {
	var problems []string
	for _, c := range changes {
		if c.Value != nil && !json.Valid(c.Value) {
			problems = append(problems, fmt.Sprintf("%s: value is not JSON", c.Key))
		}
	}
	return problems
}
