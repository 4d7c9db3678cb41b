package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
)

// Markers around a table of the page; what lies between is written anew.
const (
	beginMark = "<!-- begin %s: written by make bench-slopes -->"
	endMark   = "<!-- end %s -->"
)

// section is one generated part of the page.
type section struct {
	name  string
	write func(*results) string
}

// sections of the page. Each must have its markers.
var sections = []section{
	{"run", runText},
	{"verdict", verdictTable},
	{"roles", rolesTable},
	{"idle", idleTable},
	{"accounting", accountingTable},
	{"change", changeTable},
	{"restart", restartTable},
	{"keys", keysTable},
	{"requests", requestsTable},
	{"failures", failuresTable},
}

// rewritePage writes the tables of the page anew.
func rewritePage(path string, r *results) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	page := string(text)
	for _, s := range sections {
		if page, err = replaceSection(page, s.name, s.write(r)); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	return os.WriteFile(path, []byte(page), 0o644)
}

var errNoMarkers = errors.New("markers missing or out of order")

// replaceSection puts body between the markers of a section.
func replaceSection(page, name, body string) (string, error) {
	begin, end := fmt.Sprintf(beginMark, name), fmt.Sprintf(endMark, name)
	head, rest, ok := strings.Cut(page, begin)
	if !ok {
		return "", fmt.Errorf("section %s: %w", name, errNoMarkers)
	}
	_, tail, ok := strings.Cut(rest, end)
	if !ok {
		return "", fmt.Errorf("section %s: %w", name, errNoMarkers)
	}
	return head + begin + "\n" + strings.TrimSpace(body) + "\n" + end + tail, nil
}

// table builds a Markdown table.
type table struct{ rows [][]string }

func newTable(header ...string) *table {
	rule := make([]string, len(header))
	for i := range rule {
		rule[i] = "---"
	}
	return &table{rows: [][]string{header, rule}}
}

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

// String returns the Markdown.
func (t *table) String() string {
	var b strings.Builder
	for _, row := range t.rows {
		b.WriteString("| " + strings.Join(row, " | ") + " |\n")
	}
	return b.String()
}

// amount prints a value in its unit, short and with three digits.
func amount(value float64, unit string) string {
	base, per, rate := strings.Cut(unit, "/")
	suffix := ""
	if rate {
		suffix = "/" + per
	}
	switch base {
	case "cores":
		return digits(100*value) + "% of a core" + suffix
	case "core seconds":
		return digits(1000*value) + " ms" + suffix
	case "bytes":
		return size(value) + suffix
	}
	return digits(value) + suffix
}

// size prints a number of bytes.
func size(bytes float64) string {
	abs := bytes
	if abs < 0 {
		abs = -abs
	}
	switch {
	case abs >= 1<<20:
		return digits(bytes/(1<<20)) + " MB"
	case abs >= 1<<10:
		return digits(bytes/(1<<10)) + " KB"
	}
	return digits(bytes) + " B"
}

// digits prints three significant digits without an exponent.
func digits(x float64) string {
	abs := x
	if abs < 0 {
		abs = -abs
	}
	switch {
	case abs >= 100:
		return fmt.Sprintf("%.0f", x)
	case abs >= 10:
		return fmt.Sprintf("%.1f", x)
	case abs >= 0.1:
		return fmt.Sprintf("%.2f", x)
	case abs == 0:
		return "0"
	}
	return fmt.Sprintf("%.2g", x)
}
