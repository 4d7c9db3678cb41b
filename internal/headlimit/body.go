package headlimit

import (
	"bytes"
	"net/http"
)

// IndexHead returns where the head of a response begins in text, -1 if there is none: at a status line that a field of HTTP or of own
// follows before the next empty line. It is meant for text in whose lines such fields can't stand, as in the events of a stream.
func IndexHead(text []byte, own Fields) int {
	for from := 0; ; {
		begin, end := nextHead(text, from)
		if begin < 0 {
			return -1
		}
		if hasFields(text[begin:end], own) {
			return begin
		}
		from = end
	}
}

// HeadBegins reports whether a head of a response begins in body, which a length ends, and ends in the bytes that follow it: the body
// was cut, and the next response was read as its rest. Text of a whole head within the body may be the body's own.
func HeadBegins(body, following []byte, own Fields) bool {
	if len(following) == 0 || isStatusLine(following) {
		return false
	}
	tail := body[max(0, len(body)-MaxBytes):]
	joined := append(bytes.Clone(tail), following[:min(len(following), MaxBytes)]...)
	for from := 0; ; {
		begin, end := nextHead(joined, from)
		if begin < 0 || begin >= len(tail) {
			return false
		}
		if end > len(tail) {
			return hasFields(joined[begin:end], own)
		}
		from = end
	}
}

// HoldsStatusLine reports whether the text of a status line stands in the value of a field.
func HoldsStatusLine(fields http.Header) bool {
	for _, values := range fields {
		for _, value := range values {
			if begin, _ := nextHead([]byte(value+"\n\n"), 0); begin >= 0 {
				return true
			}
		}
	}
	return false
}

// nextHead returns where the next status line at from or behind it begins, and where the empty line behind it ends. begin is -1 if there
// is none of them.
func nextHead(text []byte, from int) (begin, end int) {
	for from < len(text) {
		at := bytes.Index(text[from:], versionPrefix)
		if at < 0 {
			break
		}
		at += from
		if isStatusLine(text[at:]) {
			length := headEnd(text[at:], 0)
			if length < 0 {
				break
			}
			return at, at + length
		}
		from = at + len(versionPrefix)
	}
	return -1, -1
}

// hasFields reports whether a field of HTTP or of own follows a status line.
func hasFields(head []byte, own Fields) bool {
	fields := head[lineEnd(head, 0):]
	return framingFields.in(fields)|httpFields.in(fields)|own.in(fields) != 0
}
