package headlimit

import (
	"bytes"
	"errors"
	"strings"
)

// ErrSplicedHead means that a head holds the status line of another response: its first lines belong to a response that was cut, the
// rest and the body to the other one.
var ErrSplicedHead = errors.New("head of the response holds the status line of another")

// Fields are names of fields, in any case, that a response has once at most and whose values never hold free text: an id, a number,
// a signature. They are 64 at most.
type Fields []string

// httpFields are those of HTTP that a response has once at most (RFC 9110).
var httpFields = Fields{
	"Content-Type", "Connection", "Keep-Alive", "Date", "Server", "Content-Encoding", "Content-Location", "Content-Range", "ETag",
	"Last-Modified", "Expires", "Age", "Location", "Retry-After",
}

// grammarFields are those of httpFields, beside the framing, whose grammar leaves no room for a status line.
var grammarFields = Fields{"Content-Type", "Connection", "Keep-Alive", "Date", "Content-Range", "Last-Modified", "Age"}

// framingFields tell where the body ends. A response has one of them.
var framingFields = Fields{"Content-Length", "Transfer-Encoding"}

// index returns the position of a name among the fields, -1 if it is not one of them.
func (f Fields) index(name []byte) int {
	for i, own := range f {
		if len(own) == len(name) && strings.EqualFold(own, string(name)) {
			return i
		}
	}
	return -1
}

func (f Fields) has(name []byte) bool { return f.index(name) >= 0 }

// in returns which of the fields stand in lines, a bit for each.
func (f Fields) in(lines []byte) (found uint64) {
	for line := range bytes.Lines(lines) {
		name, _, ok := bytes.Cut(line, []byte{':'})
		if !ok {
			continue
		}
		if i := f.index(name); i >= 0 {
			found |= 1 << i
		}
	}
	return found
}

// versionPrefix begins each status line.
var versionPrefix = []byte("HTTP/")

// maxOwnTexts bounds the work for one head: one with more status lines in its fields counts as spliced.
const maxOwnTexts = 8

// spliced reports whether a head, up to and with its empty line, holds the status line of another response. own are the fields that
// the sender adds to HTTP's.
//
// A response that was cut takes the next status line as the rest of a line, so that text of the form of a status line is the evidence
// looked for. It decides by itself where no response has it: in the reason, in a field with a grammar of its own, in a folded line,
// behind a part of a token or a control character, and in a quoted string that does not end.
//
// Elsewhere, in a field that may hold free text, the fields around it decide. The text is that field's own if the length or coding of
// the body stands before it, none of own and no second length behind it, and nothing that a response has once on both sides. A quoted
// string that ends needs the last of these only. The status of an interim response, which has no such fields, is never a field's own
// unless it is quoted. A status line as the whole value of a field before the length can't be told from that of another response, and
// counts as one.
func spliced(head []byte, own Fields) bool {
	texts := 0
	for from := len(versionPrefix); from < len(head); {
		at := bytes.Index(head[from:], versionPrefix)
		if at < 0 {
			return false
		}
		at += from
		from = at + len(versionPrefix)
		if !isStatusLine(head[at:]) {
			continue
		}
		if texts++; texts > maxOwnTexts || !isOwnText(head, at, own) {
			return true
		}
	}
	return false
}

// isStatusLine reports whether text begins with a status line as servers in trouble write it, of which http.ReadResponse accepts most:
// "HTTP/1.1", spaces, "200" or a sign and two digits, and a space or the end of the line.
func isStatusLine(text []byte) bool {
	const versionLen, statusLen = len("HTTP/1.1"), 3
	if len(text) < versionLen || !bytes.HasPrefix(text, versionPrefix) || !isDigit(text[5]) || text[6] != '.' || !isDigit(text[7]) {
		return false
	}
	rest := bytes.TrimLeft(text[versionLen:], " ")
	if len(rest) == len(text)-versionLen || len(rest) <= statusLen {
		return false
	}
	number := rest[:statusLen]
	if number[0] == '+' || number[0] == '-' {
		number = number[1:]
	}
	for _, b := range number {
		if !isDigit(b) {
			return false
		}
	}
	return bytes.IndexByte([]byte(" \r\n"), rest[statusLen]) >= 0
}

// isOwnText reports whether the text of a status line at a position belongs to the line that it stands in.
func isOwnText(head []byte, at int, own Fields) bool {
	start := bytes.LastIndexByte(head[:at], '\n') + 1
	name, before, isField := bytes.Cut(head[start:at], []byte{':'})
	if start == 0 || !isField || isFolded(name) {
		return false
	}
	if framingFields.has(name) || grammarFields.has(name) || own.has(name) {
		return false
	}
	if last := head[at-1]; isTokenByte(last) || isControl(last) {
		return false
	}
	end := lineEnd(head, at)
	around := readNeighbours(head[:start], head[end:], own)
	if bytes.Count(before, []byte{'"'})%2 != 0 {
		return bytes.IndexByte(head[at:end], '"') >= 0 && !around.twice
	}
	return !isInterimLine(head[at:]) && around.framedBefore && !around.ownBehind && !around.twice
}

// neighbours is what the fields before and behind a line tell.
type neighbours struct {
	// framedBefore: the length or coding of the body stands before the line.
	framedBefore bool
	// ownBehind: a length, a coding or a field of the sender's own stands behind it.
	ownBehind bool
	// twice: a field that a response has once stands on both sides.
	twice bool
}

func readNeighbours(before, behind []byte, own Fields) neighbours {
	framedBefore, framedBehind := framingFields.in(before) != 0, framingFields.in(behind) != 0
	ownBehind := own.in(behind)
	return neighbours{
		framedBefore: framedBefore,
		ownBehind:    framedBehind || ownBehind != 0,
		twice:        framedBefore && framedBehind || own.in(before)&ownBehind != 0 || httpFields.in(before)&httpFields.in(behind) != 0,
	}
}

// lineEnd returns the position behind the line feed that ends the line at a position.
func lineEnd(head []byte, at int) int {
	if end := bytes.IndexByte(head[at:], '\n'); end >= 0 {
		return at + end + 1
	}
	return len(head)
}

// isFolded reports whether a line continues the one before it (RFC 9112, 5.2).
func isFolded(line []byte) bool { return len(line) > 0 && (line[0] == ' ' || line[0] == '\t') }

// isInterimLine reports whether a status line is that of an interim response. Those have no fields that could tell.
func isInterimLine(statusLine []byte) bool {
	if len(statusLine) < len("HTTP/1.1") {
		return false
	}
	return bytes.HasPrefix(bytes.TrimLeft(statusLine[len("HTTP/1.1"):], " "), []byte{'1'})
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

func isControl(b byte) bool { return b < ' ' && b != '\t' || b >= 0x7f }

// isTokenByte reports whether b may stand in a token (RFC 9110, 5.6.2).
func isTokenByte(b byte) bool {
	return isDigit(b) || 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
