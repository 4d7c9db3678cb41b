package headlimit

import (
	"bytes"
	"errors"
	"net/http"
)

// ErrInvalidStatus means that a head states no status of a response: its status line is not one, or its status has no meaning for a
// client that asks for no change of protocol. The request may have run.
var ErrInvalidStatus = errors.New("head states no status of a response")

// Bounds of final statuses. RFC 9110, 15, has those outside 100 to 599 invalid.
const (
	minFinal = http.StatusOK
	maxFinal = 599
)

// IsFinal reports whether a status is that of the final response to a request.
func IsFinal(status int) bool { return minFinal <= status && status <= maxFinal }

// IsInterim reports whether a status is that of an interim response, behind which the final one follows. 101 is none: nobody asks for
// another protocol. Others under 200 are not known to HTTP.
func IsInterim(status int) bool {
	switch status {
	case http.StatusContinue, http.StatusProcessing, http.StatusEarlyHints:
		return true
	}
	return false
}

// statusOf returns the status that a head's status line states, 0 if it states none that is final or interim.
//
// The line is "HTTP/1.", a digit, one space, three digits, and a space with any reason behind it (RFC 9112, 4). As in net/http, the space
// may be missing where there is no reason, which many servers leave out, and the line may end with a bare line feed (RFC 9112, 2.2).
// http.ReadResponse takes more: other versions, signs, and more spaces or tabs.
func statusOf(head []byte) int {
	line, _, _ := bytes.Cut(head, []byte{'\n'})
	line = bytes.TrimSuffix(line, []byte{'\r'})
	const version, digits = len("HTTP/1.1"), 3
	const status = version + len(" ")
	if len(line) < status+digits || !bytes.HasPrefix(line, []byte("HTTP/1.")) || !isDigit(line[version-1]) || line[version] != ' ' {
		return 0
	}
	if len(line) > status+digits && line[status+digits] != ' ' {
		return 0
	}
	stated := 0
	for _, b := range line[status : status+digits] {
		if !isDigit(b) {
			return 0
		}
		stated = stated*10 + int(b-'0')
	}
	if !IsFinal(stated) && !IsInterim(stated) {
		return 0
	}
	return stated
}

// refusesStatus reports whether text begins with a whole line of HTTP's that states no status.
func refusesStatus(text []byte) bool {
	return bytes.HasPrefix(text, versionPrefix) && bytes.IndexByte(text, '\n') >= 0 && statusOf(text) == 0
}
