// Package httplimit measures HTTP requests for the limits of the callers' and
// the operators' ports. It keeps no state.
package httplimit

import "net/http"

// HeaderSlack is how much over its header limit a server lets net/http read,
// in bytes, so that the handler can refuse in JSON; net/http refuses what is
// longer still by itself.
const HeaderSlack = 16 << 10

// HeaderBytes is the size of the request line and the header fields.
func HeaderBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}
