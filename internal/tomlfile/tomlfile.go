// Package tomlfile decodes TOML strictly. It collects all unknown keys and
// wrong types with file, line and key in one pass, so that an operator sees
// every problem of a settings or inventory file at once.
//
// A Document is not safe for concurrent use.
package tomlfile

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"sort"
	"strings"

	"github.com/BurntSushi/toml"
)

// Document is one parsed file and the problems found in it so far.
type Document struct {
	file     string
	values   map[string]any
	lines    map[string]int
	present  map[string]bool
	reported map[string]bool
	problems Problems
}

// Parse parses data; file is its name in problems. Err returns a syntax error,
// in which case the document is empty.
func Parse(file string, data []byte) *Document {
	d := &Document{
		file:     file,
		values:   map[string]any{},
		lines:    indexLines(string(data)),
		present:  map[string]bool{},
		reported: map[string]bool{},
	}
	_, err := toml.Decode(string(data), &d.values)
	if err == nil {
		return d
	}
	d.values = map[string]any{}
	problem := Problem{File: file, Message: err.Error()}
	var syntax toml.ParseError
	if errors.As(err, &syntax) {
		problem.Line = syntax.Position.Line
		problem.Message = syntax.Message
	}
	d.problems = append(d.problems, problem)
	return d
}

// Decode stores the document in the struct that target points to. Keys are
// matched to fields by their toml tags. A value that can't be stored is reported,
// and its field keeps its previous value.
func (d *Document) Decode(target any) {
	d.decodeTable("", d.values, reflect.ValueOf(target).Elem())
}

// Has reports whether the file sets the key. It is valid after Decode.
func (d *Document) Has(key string) bool { return d.present[key] }

// Line returns the line of the key or of its closest parent that has one, or 0.
func (d *Document) Line(key string) int {
	for key != "" {
		if line, ok := d.lines[key]; ok {
			return line
		}
		key = parentKey(key)
	}
	return 0
}

// Report adds a problem with the key. Only the first problem of a key is kept,
// since later ones are often its consequence: a wrong type leaves the field empty.
func (d *Document) Report(key, format string, args ...any) {
	if d.reported[key] {
		return
	}
	d.reported[key] = true
	d.problems = append(d.problems, Problem{
		File:    d.file,
		Line:    d.Line(key),
		Key:     key,
		Message: fmt.Sprintf(format, args...),
	})
}

// Problems returns the problems found so far, sorted by line.
func (d *Document) Problems() Problems {
	sorted := slices.Clone(d.problems)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Line < sorted[j].Line })
	return sorted
}

// Err returns the problems as an error, or nil when there are none.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	return d.Problems()
}

func parentKey(key string) string {
	cut := strings.LastIndexAny(key, ".[")
	if cut < 0 {
		return ""
	}
	return key[:cut]
}

func joinKey(table, name string) string {
	if table == "" {
		return name
	}
	return table + "." + name
}
