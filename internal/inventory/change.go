package inventory

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// ValidateChange checks the changes, and the inventory that results from applying
// them to the current records. It returns the problems, nil if there are none. It
// depends on its arguments only, so that all control servers get the same result.
// Derived keys in current are ignored; changes of derived keys are refused.
func ValidateChange(current map[string][]byte, changes []Change) []string {
	if len(changes) == 0 {
		return []string{"the request holds no changes"}
	}
	if problems := checkChanges(changes); len(problems) > 0 {
		return problems
	}
	inv, err := FromRecords(ApplyChanges(current, changes))
	if err != nil {
		return []string{err.Error()}
	}
	return append(changedManifests(current, changes), faultTexts(inv.Validate())...)
}

// changedManifests reports changes that would replace the weights of a declared
// model version. Requests are pinned to a version, so its weights never change.
func changedManifests(current map[string][]byte, changes []Change) []string {
	var problems []string
	for _, change := range changes {
		before, inForce := current[change.Key]
		if !inForce || change.Value == nil || !strings.HasPrefix(change.Key, PrefixModel) {
			continue
		}
		if manifestOf(before) != manifestOf(change.Value) {
			problems = append(problems, change.Key+": manifest: a version's weights can't be changed; declare another version")
		}
	}
	return problems
}

func manifestOf(value []byte) string {
	var model ModelVersion
	if json.Unmarshal(value, &model) != nil {
		return ""
	}
	return model.Manifest
}

// checkChanges checks each change by itself.
func checkChanges(changes []Change) []string {
	var problems []string
	seen := map[string]bool{}
	for _, change := range changes {
		if seen[change.Key] {
			problems = append(problems, change.Key+": is changed twice in one request")
		}
		seen[change.Key] = true
		if !IsDeclared(change.Key) {
			problems = append(problems, fmt.Sprintf("%s: not a declared key; allowed prefixes: %s",
				change.Key, strings.Join(Declared, ", ")))
			continue
		}
		if change.Value == nil {
			continue
		}
		var one Inventory
		if err := one.add(change.Key, change.Value); err != nil {
			problems = append(problems, err.Error())
		}
	}
	return problems
}

func faultTexts(faults []Fault) []string {
	var texts []string
	for _, fault := range faults {
		texts = append(texts, fault.String())
	}
	return texts
}

// ApplyChanges returns a copy of records with the changes applied.
func ApplyChanges(records map[string][]byte, changes []Change) map[string][]byte {
	after := maps.Clone(records)
	if after == nil {
		after = map[string][]byte{}
	}
	for _, change := range changes {
		if change.Value == nil {
			delete(after, change.Key)
			continue
		}
		after[change.Key] = change.Value
	}
	return after
}

// Diff returns the changes that turn the declared records of before into
// those of after, sorted by key. Records that differ in JSON layout only count
// as equal.
func Diff(before, after map[string][]byte) []Change {
	var changes []Change
	for key, value := range after {
		if IsDeclared(key) && !sameJSON(before[key], value) {
			changes = append(changes, Change{Key: key, Value: value})
		}
	}
	for key := range before {
		if _, kept := after[key]; IsDeclared(key) && !kept {
			changes = append(changes, Change{Key: key})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Key, b.Key) })
	return changes
}

// Describe returns one change as readable text, given the record in force
// before it (nil when there is none): "+ key {...}", "- key" or
// "~ key: field old -> new, ...".
func Describe(before []byte, change Change) string {
	if change.Value == nil {
		return "- " + change.Key
	}
	if before == nil {
		return "+ " + change.Key + " " + string(change.Value)
	}
	return "~ " + change.Key + ": " + strings.Join(changedFields(before, change.Value), ", ")
}

func changedFields(before, after []byte) []string {
	was, is := fieldsOf(before), fieldsOf(after)
	names := maps.Clone(was)
	maps.Copy(names, is)
	var texts []string
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if sameJSON(was[name], is[name]) {
			continue
		}
		texts = append(texts, fmt.Sprintf("%s %s -> %s", name, orUnset(was[name]), orUnset(is[name])))
	}
	return texts
}

func fieldsOf(value []byte) map[string]json.RawMessage {
	var fields map[string]json.RawMessage
	if json.Unmarshal(value, &fields) != nil {
		return nil
	}
	return fields
}

func orUnset(value json.RawMessage) string {
	if value == nil {
		return "unset"
	}
	return string(value)
}

// sameJSON reports whether two JSON texts have the same content.
func sameJSON(a, b []byte) bool {
	if a == nil || b == nil {
		return a == nil && b == nil
	}
	return bytes.Equal(canonicalJSON(a), canonicalJSON(b))
}

func canonicalJSON(value []byte) []byte {
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.UseNumber()
	var parsed any
	if decoder.Decode(&parsed) != nil {
		return value
	}
	canonical, err := json.Marshal(parsed)
	if err != nil {
		return value
	}
	return canonical
}
