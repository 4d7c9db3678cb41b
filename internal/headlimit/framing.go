package headlimit

import (
	"bufio"
	"bytes"
	"net/http"
	"strconv"
)

// framing finds the end of a body in the bytes of a connection as net/http does. Its zero value is a body that has ended.
type framing struct {
	kind bodyKind
	// left is how many bytes of the body or of its current chunk follow.
	left int64
	// line is what was read of the current line of a chunked body.
	line []byte
}

// bodyKind is what the next bytes of a message are.
type bodyKind int

const (
	bodyEnded bodyKind = iota
	// bodyBytes are bytes of a body with a length.
	bodyBytes
	// bodyUnframed goes on until the connection ends, as does a body whose end is not known.
	bodyUnframed
	// chunkSize, chunkBytes, chunkEnd and chunkTrailer are the parts of a chunked body.
	chunkSize
	chunkBytes
	chunkEnd
	chunkTrailer
)

// maxChunkLine bounds a line of a chunked body, in bytes. net/http refuses longer ones.
const maxChunkLine = 4 << 10

// framingOf returns the framing of the body behind a whole head. toHead tells that the request was one for the head only.
func framingOf(head []byte, toHead bool) framing {
	req := &http.Request{Method: http.MethodGet}
	if toHead {
		req.Method = http.MethodHead
	}
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), req)
	switch {
	case err != nil:
		return framing{kind: bodyUnframed}
	case resp.Body == http.NoBody:
		return framing{}
	case resp.ContentLength > 0:
		return framing{kind: bodyBytes, left: resp.ContentLength}
	case len(resp.TransferEncoding) > 0:
		return framing{kind: chunkSize}
	}
	return framing{kind: bodyUnframed}
}

// skip returns what of p lies behind the body.
func (f *framing) skip(p []byte) []byte {
	for len(p) > 0 && f.kind != bodyEnded {
		switch f.kind {
		case bodyUnframed:
			return nil
		case bodyBytes, chunkBytes:
			n := min(f.left, int64(len(p)))
			f.left -= n
			p = p[n:]
			if f.left == 0 {
				f.endBytes()
			}
		default:
			p = f.skipLine(p)
		}
	}
	return p
}

func (f *framing) endBytes() {
	if f.kind == chunkBytes {
		f.kind = chunkEnd
		return
	}
	f.kind = bodyEnded
}

// skipLine reads a line of a chunked body, or a part of it.
func (f *framing) skipLine(p []byte) []byte {
	end := bytes.IndexByte(p, '\n')
	if end < 0 {
		end = len(p) - 1
	}
	f.line = append(f.line, p[:end+1]...)
	switch {
	case f.line[len(f.line)-1] == '\n':
		f.endLine(bytes.TrimRight(f.line, "\r\n"))
		f.line = f.line[:0]
	case len(f.line) > maxChunkLine:
		f.kind = bodyUnframed
	}
	return p[end+1:]
}

func (f *framing) endLine(line []byte) {
	switch f.kind {
	case chunkSize:
		digits, _, _ := bytes.Cut(line, []byte{';'})
		size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 63)
		switch {
		case err != nil:
			f.kind = bodyUnframed // net/http refuses it
		case size == 0:
			f.kind = chunkTrailer
		default:
			f.kind, f.left = chunkBytes, int64(size)
		}
	case chunkEnd:
		f.kind = chunkSize
	case chunkTrailer:
		if len(line) == 0 {
			f.kind = bodyEnded
		}
	}
}
