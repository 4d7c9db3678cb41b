package raftlog

import (
	"encoding/binary"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"lynxgate.dev/lynxgate/internal/rpc"
)

// A frame is a header and a payload (an encoded rpc.RaftRecord):
//
//	magic 4 bytes, payload length 4 bytes, CRC-32C 4 bytes (little endian)
//
// The checksum covers segment number, offset, length and payload, so that a
// frame found in another place is never taken for a good one.
const (
	frameMagic      = 0x6c786731 // "lxg1"
	frameHeaderSize = 12
	maxPayload      = 1 << 30
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

func frameChecksum(segment uint64, offset int64, payload []byte) uint32 {
	var place [20]byte
	binary.LittleEndian.PutUint64(place[0:], segment)
	binary.LittleEndian.PutUint64(place[8:], uint64(offset))
	binary.LittleEndian.PutUint32(place[16:], uint32(len(payload)))
	return crc32.Update(crc32.Checksum(place[:], crcTable), crcTable, payload)
}

// encodeFrame appends the frame of a record at this place to buf.
func encodeFrame(buf []byte, segment uint64, offset int64, record *rpc.RaftRecord) ([]byte, error) {
	start := len(buf)
	buf = append(buf, make([]byte, frameHeaderSize)...)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, record)
	if err != nil {
		return nil, err
	}
	payload := buf[start+frameHeaderSize:]
	binary.LittleEndian.PutUint32(buf[start:], frameMagic)
	binary.LittleEndian.PutUint32(buf[start+4:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(buf[start+8:], frameChecksum(segment, offset, payload))
	return buf, nil
}

// decodeFrame reads the frame at offset. It returns the record and the size
// of the frame; false if there is no good frame.
func decodeFrame(data []byte, segment uint64, offset int64) (*rpc.RaftRecord, int, bool) {
	rest := data[offset:]
	if len(rest) < frameHeaderSize || binary.LittleEndian.Uint32(rest) != frameMagic {
		return nil, 0, false
	}
	size := binary.LittleEndian.Uint32(rest[4:])
	if size > maxPayload || int(size) > len(rest)-frameHeaderSize {
		return nil, 0, false
	}
	payload := rest[frameHeaderSize : frameHeaderSize+int(size)]
	if binary.LittleEndian.Uint32(rest[8:]) != frameChecksum(segment, offset, payload) {
		return nil, 0, false
	}
	record := &rpc.RaftRecord{}
	if err := proto.Unmarshal(payload, record); err != nil {
		return nil, 0, false
	}
	return record, frameHeaderSize + int(size), true
}

// scan is the outcome of reading one segment.
type scan struct {
	records []*rpc.RaftRecord
	// good is the length of the readable part.
	good int64
	// laterFrame is the offset of a good frame after a bad one, or -1.
	laterFrame int64
}

// scanSegment reads frames up to the first bad one, and looks for a good one
// after that.
func scanSegment(data []byte, segment uint64) scan {
	s := scan{laterFrame: -1}
	for s.good < int64(len(data)) {
		record, size, ok := decodeFrame(data, segment, s.good)
		if !ok {
			break
		}
		s.records = append(s.records, record)
		s.good += int64(size)
	}
	for offset := s.good + 1; offset+frameHeaderSize <= int64(len(data)); offset++ {
		if _, _, ok := decodeFrame(data, segment, offset); ok {
			s.laterFrame = offset
			break
		}
	}
	return s
}
