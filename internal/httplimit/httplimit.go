// Package httplimit measures the header size of HTTP requests, for the limits of
// the callers' and the operators' ports. It keeps no state.
package httplimit

import "net/http"

// HeaderSlack is added to a server's header limit to get the MaxHeaderBytes of
// net/http, in bytes, so that the handler can refuse an oversized header with a
// JSON body. net/http itself refuses longer headers.
const HeaderSlack = 16 << 10

// HeaderBytes returns the size of the request line and the header fields, without
// separators.
func HeaderBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}
