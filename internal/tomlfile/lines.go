package tomlfile

import (
	"fmt"
	"regexp"
	"strings"
)

var (
	headerPattern = regexp.MustCompile(`^\s*(\[\[?)\s*([A-Za-z0-9_.\-" ]+?)\s*\]\]?`)
	keyPattern    = regexp.MustCompile(`^\s*([A-Za-z0-9_.\-"]+)\s*=`)
)

// indexLines maps keys to their lines. It scans the source because the TOML
// library has no line numbers of keys in lists of tables. It does not find keys
// in inline tables; Document.Line then returns the line of the parent key.
func indexLines(source string) map[string]int {
	index := lineIndex{lines: map[string]int{}, counts: map[string]int{}}
	for i, line := range strings.Split(source, "\n") {
		index.scan(i+1, line)
	}
	return index.lines
}

// lineIndex is the state of a scan over the lines of a file.
type lineIndex struct {
	lines map[string]int
	// counts is the number of tables seen so far, by list of tables.
	counts map[string]int
	table  string
	// inString is the closing delimiter while a multi-line string is skipped.
	inString string
}

func (x *lineIndex) scan(number int, line string) {
	if x.inString != "" {
		if strings.Contains(line, x.inString) {
			x.inString = ""
		}
		return
	}
	if header := headerPattern.FindStringSubmatch(line); header != nil {
		x.openTable(number, header[2], header[1] == "[[")
		return
	}
	key := keyPattern.FindStringSubmatch(line)
	if key == nil {
		return
	}
	x.lines[joinKey(x.table, unquote(key[1]))] = number
	x.openString(line)
}

func (x *lineIndex) openTable(number int, name string, list bool) {
	parts := strings.Split(unquote(name), ".")
	path := ""
	for i, part := range parts {
		path = joinKey(path, strings.TrimSpace(part))
		if i == len(parts)-1 && list {
			x.counts[path]++
			x.markFirst(path, number)
		}
		if count := x.counts[path]; count > 0 {
			path = fmt.Sprintf("%s[%d]", path, count-1)
		}
	}
	x.table = path
	x.lines[path] = number
}

// markFirst sets the line of a path that has none yet.
func (x *lineIndex) markFirst(path string, number int) {
	if _, ok := x.lines[path]; !ok {
		x.lines[path] = number
	}
}

// openString detects the start of a multi-line string that does not end on the
// same line.
func (x *lineIndex) openString(line string) {
	for _, delimiter := range []string{`"""`, `'''`} {
		if strings.Count(line, delimiter) == 1 {
			x.inString = delimiter
		}
	}
}

func unquote(key string) string { return strings.ReplaceAll(key, `"`, "") }
