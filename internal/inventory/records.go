package inventory

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Keys of declared records in the key space.
func (z Zone) Key() string         { return PrefixZone + z.Name }
func (v VM) Key() string           { return PrefixVM + v.Name }
func (s Service) Key() string      { return PrefixService + s.Name }
func (o Organisation) Key() string { return PrefixOrganisation + o.Name }
func (m ModelVersion) Key() string { return PrefixModel + m.Ref() }
func (r Rule) Key() string         { return PrefixRule + r.Name }

// IsDeclared reports whether operators write the key.
func IsDeclared(key string) bool {
	return slices.ContainsFunc(Declared, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
}

// Records returns the inventory as key space records, JSON by key. If two records
// have the same key, the later one is returned; Validate reports the duplicate.
func (inv Inventory) Records() map[string][]byte {
	records := make(map[string][]byte)
	putRecords(records, inv.Zones)
	putRecords(records, inv.VMs)
	putRecords(records, inv.Services)
	putRecords(records, inv.Organisations)
	putRecords(records, inv.Models)
	putRecords(records, inv.Rules)
	return records
}

// FromRecords decodes records into an inventory, each list sorted by key. Derived
// keys are ignored.
func FromRecords(records map[string][]byte) (Inventory, error) {
	var inv Inventory
	for _, key := range slices.Sorted(maps.Keys(records)) {
		if !IsDeclared(key) {
			continue
		}
		if err := inv.add(key, records[key]); err != nil {
			return Inventory{}, err
		}
	}
	return inv, nil
}

// add decodes one record into the list its key belongs to.
func (inv *Inventory) add(key string, value []byte) error {
	switch {
	case strings.HasPrefix(key, PrefixZone):
		return appendRecord(&inv.Zones, key, value)
	case strings.HasPrefix(key, PrefixVM):
		return appendRecord(&inv.VMs, key, value)
	case strings.HasPrefix(key, PrefixService):
		return appendRecord(&inv.Services, key, value)
	case strings.HasPrefix(key, PrefixOrganisation):
		return appendRecord(&inv.Organisations, key, value)
	case strings.HasPrefix(key, PrefixModel):
		return appendRecord(&inv.Models, key, value)
	case strings.HasPrefix(key, PrefixRule):
		return appendRecord(&inv.Rules, key, value)
	default:
		return fmt.Errorf("%s: not a declared key; allowed prefixes: %s", key, strings.Join(Declared, ", "))
	}
}

// keyed is a declared record.
type keyed interface{ Key() string }

func putRecords[T keyed](records map[string][]byte, list []T) {
	for _, record := range list {
		value, err := json.Marshal(record)
		if err != nil {
			panic(fmt.Sprintf("inventory: marshal %s: %v", record.Key(), err))
		}
		records[record.Key()] = value
	}
}

func appendRecord[T keyed](list *[]T, key string, value []byte) error {
	var record T
	if err := decodeStrict(value, &record); err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	if record.Key() != key {
		return fmt.Errorf("%s: the record is named %s; key and name must agree", key, record.Key())
	}
	*list = append(*list, record)
	return nil
}

// decodeStrict decodes a single JSON value and rejects unknown fields.
func decodeStrict(value []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return fmt.Errorf("bad JSON: %w", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return fmt.Errorf("bad JSON: more than one value")
	}
	return nil
}
