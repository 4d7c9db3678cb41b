// Package headers selects the header fields of a request or an answer that a
// proxy forwards, and converts them to messages of package rpc.
package headers

import (
	"net/http"

	"lynxgate.dev/lynxgate/internal/rpc"
)

// hopByHop contains the canonical names of the fields that concern a single
// connection (RFC 9110, 7.6.1), and Content-Length, since each hop frames the
// body itself.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true,
}

// EndToEnd returns the fields to forward: all but the hop-by-hop fields and those
// in withheld, which has canonical names. The order of the fields is not fixed.
func EndToEnd(h http.Header, withheld map[string]bool) []*rpc.Header {
	var out []*rpc.Header
	for name, values := range h {
		if hopByHop[name] || withheld[name] {
			continue
		}
		for _, value := range values {
			out = append(out, &rpc.Header{Name: name, Value: value})
		}
	}
	return out
}
