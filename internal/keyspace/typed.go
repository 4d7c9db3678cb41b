package keyspace

import "encoding/json"

// Lookup decodes the record under key. It returns false when there is none,
// or one that does not decode: records are checked before they are accepted,
// so that is one of a newer release.
func Lookup[T any](v *View, key string) (T, bool) {
	var record T
	entry := v.Get(key)
	if entry == nil {
		return record, false
	}
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return record, false
	}
	return record, true
}

// List decodes the records under prefix, in the order of their keys, leaving
// out those that do not decode.
func List[T any](v *View, prefix string) []T {
	entries := v.Prefix(prefix)
	records := make([]T, 0, len(entries))
	for _, entry := range entries {
		var record T
		if err := json.Unmarshal(entry.Value, &record); err == nil {
			records = append(records, record)
		}
	}
	return records
}
