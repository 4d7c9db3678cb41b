// Package relay passes requests of entries on to the engine beside an agent. The agent keeps the bound on the engine's
// weights by its own clock: a deadline counts from when its reader has it, and the close of a connection from when it arrives, so that
// an entry can't keep the bound over a path of unknown delay.
//
// State: the open connections of entries, each with one to the engine. Messages: rpc.RelayRequest from entries, each with its length
// before it; the engine's bytes back.
package relay

import (
	"bytes"
	"fmt"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"lynxgate.dev/lynxgate/internal/rpc"
)

// maxFrame bounds a request with its length, in bytes. Bodies that entries accept are smaller.
const maxFrame = 8 << 20

// Encode returns a request as it is written to the connection to an agent.
func Encode(r *rpc.RelayRequest) ([]byte, error) {
	var b bytes.Buffer
	b.Grow(len(r.Head) + len(r.Body) + 128)
	if _, err := protodelim.MarshalTo(&b, r); err != nil {
		return nil, fmt.Errorf("encode a request to be relayed: %w", err)
	}
	return b.Bytes(), nil
}

// frame is a request of an entry and when its first byte was read, a time of package clock. Times that the request states count
// from then.
type frame struct {
	*rpc.RelayRequest
	arrival time.Time
	// hold is that of the body. unheld tells that there was no memory for it.
	hold   *hold
	unheld bool
}
