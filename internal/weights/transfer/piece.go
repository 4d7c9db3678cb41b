package transfer

import (
	"errors"
	"sync"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"lynxgate.dev/lynxgate/internal/rpc"
)

// pieceEncoding is the protobuf encoding, but decodes a ChunkPiece without
// allocation: it reuses the data buffer of the target piece.
type pieceEncoding struct{}

var errPiece = errors.New("malformed chunk piece")

// Marshal implements drpc.Encoding.
func (pieceEncoding) Marshal(msg drpc.Message) ([]byte, error) {
	return proto.Marshal(msg.(proto.Message))
}

// Unmarshal implements drpc.Encoding.
func (pieceEncoding) Unmarshal(buf []byte, msg drpc.Message) error {
	piece := msg.(*rpc.ChunkPiece)
	data := piece.Data[:0]
	piece.Reset()
	piece.Data = data
	for len(buf) > 0 {
		number, kind, n := protowire.ConsumeTag(buf)
		if n < 0 {
			return errPiece
		}
		buf = buf[n:]
		if n = pieceField(piece, number, kind, buf); n < 0 {
			return errPiece
		}
		buf = buf[n:]
	}
	return nil
}

// pieceField reads one field and returns its length, negative if malformed.
func pieceField(piece *rpc.ChunkPiece, number protowire.Number, kind protowire.Type, buf []byte) int {
	switch kind {
	case protowire.BytesType:
		value, n := protowire.ConsumeBytes(buf)
		if n >= 0 && number == 2 {
			piece.Data = append(piece.Data, value...)
		}
		return n
	case protowire.VarintType:
		value, n := protowire.ConsumeVarint(buf)
		if n >= 0 {
			setPieceNumber(piece, number, value)
		}
		return n
	default:
		return protowire.ConsumeFieldValue(number, kind, buf)
	}
}

func setPieceNumber(piece *rpc.ChunkPiece, number protowire.Number, value uint64) {
	switch number {
	case 1:
		piece.Id = value
	case 3:
		piece.Last = value != 0
	case 4:
		piece.NotHeld = value != 0
	case 5:
		piece.BusyRetryMs = int64(value)
	case 6:
		piece.Queue = uint32(value)
	}
}

// buffers is a pool of chunk or piece buffers.
type buffers struct {
	pool sync.Pool
}

// get returns a buffer of the given length.
func (b *buffers) get(length int) []byte {
	if p, ok := b.pool.Get().(*[]byte); ok && cap(*p) >= length {
		return (*p)[:length]
	}
	return make([]byte, length)
}

// put returns a buffer to the pool. The caller must not use it any more.
func (b *buffers) put(p []byte) { b.pool.Put(&p) }
