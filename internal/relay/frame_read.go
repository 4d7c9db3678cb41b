package relay

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// maxFrameHead bounds a request without its body, in bytes. The header fields that entries accept of callers are at most 64 KiB.
const maxFrameHead = 256 << 10

// bodyField is the number of RelayRequest.body.
const bodyField protowire.Number = 10

var (
	errFrameTooLong = errors.New("request to be relayed is too long")
	errNoFrame      = errors.New("no request to be relayed")
)

// frameReader reads one request field by field, so that a body is held only once, and only if there is memory for it.
type frameReader struct {
	br *bufio.Reader
	// left is how many bytes of the request were not read.
	left uint64
	held *heldBytes
	// fields are those but the body, as encoded.
	fields []byte
	frame  frame
}

// readFrame reads the next request. Its error wraps io.EOF if the entry has closed the connection between two requests. Without memory
// for the body, frame.unheld is set, and the body is left out.
func readFrame(br *bufio.Reader, held *heldBytes) (frame, error) {
	if _, err := br.Peek(1); err != nil {
		return frame{}, fmt.Errorf("read a request to be relayed: %w", err)
	}
	r := frameReader{br: br, held: held, frame: frame{RelayRequest: &rpc.RelayRequest{}, arrival: clock.Now()}}
	if err := r.read(); err != nil {
		r.frame.hold.release()
		return frame{}, fmt.Errorf("decode a request to be relayed: %w", unexpectedEOF(err))
	}
	return r.frame, nil
}

func (r *frameReader) read() error {
	var err error
	if r.left, err = binary.ReadUvarint(r.br); err != nil {
		return err
	}
	if r.left > maxFrame {
		return errFrameTooLong
	}
	for r.left > 0 {
		if err := r.readField(); err != nil {
			return err
		}
	}
	body := r.frame.Body
	if err := proto.Unmarshal(r.fields, r.frame.RelayRequest); err != nil {
		return err
	}
	r.frame.Body = body
	return nil
}

func (r *frameReader) readField() error {
	tag, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	number, kind := protowire.DecodeTag(tag)
	switch kind {
	case protowire.VarintType:
		value, err := binary.ReadUvarint(r)
		if err != nil {
			return err
		}
		r.fields = protowire.AppendVarint(protowire.AppendTag(r.fields, number, kind), value)
	case protowire.BytesType:
		n, err := binary.ReadUvarint(r)
		if err != nil {
			return err
		}
		if n > r.left {
			return io.ErrUnexpectedEOF
		}
		if number == bodyField {
			return r.readBody(int(n))
		}
		if n > maxFrameHead {
			return errFrameTooLong
		}
		value := make([]byte, n)
		if _, err := io.ReadFull(r, value); err != nil {
			return err
		}
		r.fields = protowire.AppendBytes(protowire.AppendTag(r.fields, number, kind), value)
	default:
		return errNoFrame // the message has no field of another kind
	}
	if len(r.fields) > maxFrameHead {
		return errFrameTooLong
	}
	return nil
}

func (r *frameReader) readBody(n int) error {
	if r.frame.hold != nil || r.frame.unheld {
		return errNoFrame
	}
	var ok bool
	if r.frame.hold, ok = r.held.reserve(int64(n)); !ok {
		r.frame.unheld = true
		discarded, err := r.br.Discard(n)
		r.left -= uint64(discarded)
		return err
	}
	r.frame.Body = make([]byte, n)
	_, err := io.ReadFull(r, r.frame.Body)
	return err
}

// Read reads from the request.
func (r *frameReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	n, err := r.br.Read(p[:min(uint64(len(p)), r.left)])
	r.left -= uint64(n)
	return n, err
}

// ReadByte reads from the request.
func (r *frameReader) ReadByte() (byte, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	r.left--
	return r.br.ReadByte()
}

// unexpectedEOF returns the error for an end in the middle of a request.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
