// Package tomlfile reads TOML strictly: unknown keys and wrong types are
// collected with file, line and key, all of them in one pass, so that a
// reader of settings or inventory can report every fault at once.
//
// A Document is used by one goroutine and keeps no state beyond its file.
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

// Parse parses data. A syntax error ends up in Err, after which the document
// is empty.
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

// Decode stores the document into the struct that target points to. Fields
// are matched by their toml tags; what can't be stored is reported and the
// field keeps the value it had.
func (d *Document) Decode(target any) {
	d.decodeTable("", d.values, reflect.ValueOf(target).Elem())
}

// Has reports whether the file sets the key.
func (d *Document) Has(key string) bool { return d.present[key] }

// Line returns the line of the key, or of the closest table around it; 0
// when there is none.
func (d *Document) Line(key string) int {
	for key != "" {
		if line, ok := d.lines[key]; ok {
			return line
		}
		key = parentKey(key)
	}
	return 0
}

// Report adds a problem with the key. Only the first problem of a key is
// kept: what follows from it (a wrong type leaves the field empty) adds
// nothing.
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

// Problems returns what was found so far, in order of lines.
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
