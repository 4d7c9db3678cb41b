package keyspace

import "encoding/json"

// Lookup decodes the record at key. It returns false if there is none or if it
// does not decode. Records are validated before they are accepted, so one that
// does not decode was written by a newer release.
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

// List decodes the records under prefix, sorted by key, and skips those that do
// not decode.
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
