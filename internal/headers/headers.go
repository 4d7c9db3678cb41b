// Package headers chooses the header fields of a request or an answer that go
// through a proxy, for messages of package rpc.
package headers

import (
	"net/http"

	"lynxgate.dev/lynxgate/internal/rpc"
)

// ofOneConnection are the fields, by canonical name, that are meant for one
// connection (RFC 9110, 7.6.1), and Content-Length: bodies are framed anew.
var ofOneConnection = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true,
}

// Passed returns the fields to pass on: all but those of one connection and those
// withheld, which are canonical names. Their order is not fixed.
func Passed(h http.Header, withheld map[string]bool) []*rpc.Header {
	var out []*rpc.Header
	for name, values := range h {
		if ofOneConnection[name] || withheld[name] {
			continue
		}
		for _, value := range values {
			out = append(out, &rpc.Header{Name: name, Value: value})
		}
	}
	return out
}
