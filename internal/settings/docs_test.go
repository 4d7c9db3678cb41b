package settings

import (
	"bytes"
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/tomlfile"
)

var update = flag.Bool("update", false, "write the tables of docs/CONFIGURATION.md anew")

const (
	docsFile      = "../../docs/CONFIGURATION.md"
	inventoryFile = "../inventory/inventory.go"
)

// TestConfigurationPage checks that the tables of docs/CONFIGURATION.md match
// the doc comments, types and defaults in the code. Run it with -update to
// rewrite them.
func TestConfigurationPage(t *testing.T) {
	page, err := os.ReadFile(docsFile)
	require.NoError(t, err)
	want := page
	want = replaceSection(t, want, "settings", settingsTables(t))
	want = replaceSection(t, want, "inventory", inventoryTables(t))
	if *update {
		require.NoError(t, os.WriteFile(docsFile, want, 0o644))
		return
	}
	require.Equal(t, string(want), string(page), "run: go test ./internal/settings -run TestConfigurationPage -update")
}

func replaceSection(t *testing.T, page []byte, name, text string) []byte {
	begin := []byte("<!-- begin " + name + " -->\n")
	end := []byte("<!-- end " + name + " -->")
	from, to := bytes.Index(page, begin), bytes.Index(page, end)
	require.True(t, from >= 0 && to > from, "section %s is marked", name)
	return bytes.Join([][]byte{page[:from+len(begin)], []byte(text), page[to:]}, nil)
}

func settingsTables(t *testing.T) string {
	docs := fieldDocs(t, "settings.go")
	required := requiredKeys(t)
	defaults := withDefaults()
	var b strings.Builder
	tables := []struct {
		title, prefix string
		value         any
	}{
		{"Every daemon", "", *defaults},
		{"`[control]`", "control.", *defaults.Control},
		{"`[[control.peer]]`", "control.peer.", Peer{}},
		{"`[[control.operator]]`", "control.operator.", Operator{}},
		{"`[entry]`", "entry.", *defaults.Entry},
		{"`[agent]`", "agent.", *defaults.Agent},
	}
	for _, table := range tables {
		writeTable(t, &b, table.title, reflect.ValueOf(table.value), docs, func(key string) bool {
			return required[table.prefix+key]
		})
	}
	return b.String()
}

func inventoryTables(t *testing.T) string {
	docs := fieldDocs(t, inventoryFile)
	var b strings.Builder
	for _, table := range []struct {
		title string
		value any
	}{
		{"`[[zone]]`", inventory.Zone{}},
		{"`[[vm]]`", inventory.VM{}},
		{"`[[service]]`", inventory.Service{}},
		{"`[[service.path]]`", inventory.PathRule{}},
		{"`[[organisation]]`", inventory.Organisation{}},
		{"`[[model]]`", inventory.ModelVersion{}},
		{"`[[rule]]`", inventory.Rule{}},
	} {
		writeTable(t, &b, table.title, reflect.ValueOf(table.value), docs, func(string) bool { return false })
	}
	return b.String()
}

// writeTable writes the table of one struct. It skips fields that are TOML
// tables, which have tables of their own.
func writeTable(t *testing.T, b *strings.Builder, title string, value reflect.Value, docs map[string]string, required func(string) bool) {
	fmt.Fprintf(b, "\n### %s\n\n| Key | Type | Unit | Default | Meaning |\n|---|---|---|---|---|\n", title)
	for i := range value.NumField() {
		field := value.Type().Field(i)
		key := field.Tag.Get("toml")
		if key == "" || isTable(field.Type) {
			continue
		}
		fallback := defaultText(value.Field(i))
		if required(key) {
			fallback = "required"
		}
		meaning := forUsers(docs[value.Type().Name()+"."+field.Name], field.Name, value.Type())
		require.NotEmpty(t, meaning, "%s.%s has a doc comment", value.Type().Name(), field.Name)
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s |\n", key, typeText(field.Type), unitOf(key, field.Type), fallback, meaning)
	}
}

// forUsers converts a doc comment to a sentence of the page: it drops the Go name
// at the start and replaces the names of other fields by their keys.
func forUsers(doc, name string, structType reflect.Type) string {
	verb := regexp.MustCompile(`^` + name + ` (?:(?:is|are) |(lists|bounds|holds|closes|overrides|decides))`)
	doc = verb.ReplaceAllString(doc, "$1")
	for i := range structType.NumField() {
		field := structType.Field(i)
		if key := field.Tag.Get("toml"); key != "" && key != strings.ToLower(field.Name) {
			doc = regexp.MustCompile(`\b`+field.Name+`\b`).ReplaceAllString(doc, "`"+key+"`")
		}
	}
	if doc == "" {
		return doc
	}
	return strings.ToUpper(doc[:1]) + doc[1:]
}

func isTable(fieldType reflect.Type) bool {
	switch fieldType.Kind() {
	case reflect.Pointer, reflect.Slice:
		return fieldType.Elem().Kind() == reflect.Struct
	default:
		return false
	}
}

func typeText(fieldType reflect.Type) string {
	if fieldType == reflect.TypeFor[time.Duration]() {
		return "duration"
	}
	switch fieldType.Kind() {
	case reflect.Pointer:
		return typeText(fieldType.Elem())
	case reflect.Slice:
		return "list of " + typeText(fieldType.Elem()) + "s"
	case reflect.Int, reflect.Int64:
		return "integer"
	case reflect.Float64:
		return "number"
	case reflect.Bool:
		return "boolean"
	default:
		return "string"
	}
}

// unitOf returns the unit that the suffix of the key gives. Durations have
// their unit in the value.
func unitOf(key string, fieldType reflect.Type) string {
	switch {
	case fieldType == reflect.TypeFor[time.Duration]():
		return "in the value"
	case strings.HasSuffix(key, "bytes_per_second"):
		return "bytes/s"
	case strings.HasSuffix(key, "requests_per_second"):
		return "requests/s"
	case strings.HasSuffix(key, "tokens_per_second"):
		return "tokens/s"
	case strings.HasSuffix(key, "_bytes"):
		return "bytes"
	case strings.HasSuffix(key, "_ticks"):
		return "ticks"
	case strings.HasSuffix(key, "_entries"):
		return "log entries"
	default:
		return ""
	}
}

func defaultText(value reflect.Value) string {
	if kind := value.Kind(); value.IsZero() && (kind == reflect.String || kind == reflect.Pointer || kind == reflect.Slice) {
		return ""
	}
	if duration, ok := value.Interface().(time.Duration); ok {
		text := regexp.MustCompile(`([hm])0s$`).ReplaceAllString(duration.String(), "$1")
		return "`\"" + strings.TrimSuffix(text, "h0m") + hourSuffix(text) + "\"`"
	}
	if value.Kind() == reflect.String {
		return fmt.Sprintf("`%q`", value.String())
	}
	return fmt.Sprintf("`%v`", value.Interface())
}

// hourSuffix returns the unit that trimming "h0m" has removed.
func hourSuffix(text string) string {
	if strings.HasSuffix(text, "h0m") {
		return "h"
	}
	return ""
}

// requiredKeys returns the keys that are reported as missing in empty tables.
func requiredKeys(t *testing.T) map[string]bool {
	_, err := Parse("f", []byte("roles = [\"control\", \"entry\"]\n[entry]\n[agent]\n[control]\n[[control.peer]]\n[[control.operator]]\n"))
	var problems tomlfile.Problems
	require.ErrorAs(t, err, &problems)
	required := map[string]bool{"roles": true, "control.operator.key_hash": true}
	index := regexp.MustCompile(`\[\d+\]`)
	for _, problem := range problems {
		if strings.HasPrefix(problem.Message, "is missing") {
			required[index.ReplaceAllString(problem.Key, "")] = true
		}
	}
	return required
}

// fieldDocs returns doc comments by "Type.Field", each on one line.
func fieldDocs(t *testing.T, file string) map[string]string {
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ParseComments)
	require.NoError(t, err)
	docs := map[string]string{}
	ast.Inspect(parsed, func(node ast.Node) bool {
		spec, ok := node.(*ast.TypeSpec)
		if !ok {
			return true
		}
		structType, ok := spec.Type.(*ast.StructType)
		if !ok {
			return true
		}
		for _, field := range structType.Fields.List {
			text := strings.Join(strings.Fields(field.Doc.Text()), " ")
			for _, name := range field.Names {
				docs[spec.Name.Name+"."+name.Name] = text
			}
		}
		return true
	})
	return docs
}
