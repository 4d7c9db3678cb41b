package raftlog

import (
	"encoding/binary"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"lynxgate.dev/lynxgate/internal/rpc"
)

// A frame is a header and a payload (an encoded rpc.RaftRecord):
//
//	magic, payload length, CRC-32C of the payload, CRC-32C of the header
//
// each of 4 bytes, little endian. The checksum of the header covers segment
// number and offset as well, so that a frame found in another place is never
// taken for a good one.
const (
	frameMagic      = 0x6c786731 // "lxg1"
	frameHeaderSize = 16
	maxPayload      = 1 << 30
	// sectorSize is the unit in which an interrupted write leaves zeros.
	sectorSize = 512
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// headerChecksum covers the first 12 bytes of a header and its place.
func headerChecksum(segment uint64, offset int64, header []byte) uint32 {
	var place [16]byte
	binary.LittleEndian.PutUint64(place[0:], segment)
	binary.LittleEndian.PutUint64(place[8:], uint64(offset))
	return crc32.Update(crc32.Checksum(place[:], crcTable), crcTable, header[:frameHeaderSize-4])
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
	binary.LittleEndian.PutUint32(buf[start+8:], crc32.Checksum(payload, crcTable))
	binary.LittleEndian.PutUint32(buf[start+12:], headerChecksum(segment, offset, buf[start:]))
	return buf, nil
}

// decodeHeader returns the payload length of the frame at offset; false if
// the header is not good.
func decodeHeader(data []byte, segment uint64, offset int64) (uint32, bool) {
	rest := data[offset:]
	if len(rest) < frameHeaderSize || binary.LittleEndian.Uint32(rest) != frameMagic {
		return 0, false
	}
	size := binary.LittleEndian.Uint32(rest[4:])
	good := binary.LittleEndian.Uint32(rest[12:]) == headerChecksum(segment, offset, rest)
	return size, good && size <= maxPayload
}

// decodeFrame reads the frame at offset. It returns the record and the size
// of the frame; false if there is no good frame.
func decodeFrame(data []byte, segment uint64, offset int64) (*rpc.RaftRecord, int, bool) {
	size, ok := decodeHeader(data, segment, offset)
	rest := data[offset:]
	if !ok || int(size) > len(rest)-frameHeaderSize {
		return nil, 0, false
	}
	payload := rest[frameHeaderSize : frameHeaderSize+int(size)]
	if binary.LittleEndian.Uint32(rest[8:]) != crc32.Checksum(payload, crcTable) {
		return nil, 0, false
	}
	record := &rpc.RaftRecord{}
	if err := proto.Unmarshal(payload, record); err != nil {
		return nil, 0, false
	}
	return record, frameHeaderSize + int(size), true
}

// interrupted tells whether the bad tail from offset on looks like a write
// that did not end: it stops short, or has a sector of nothing but zeros.
func interrupted(data []byte, segment uint64, offset int64) bool {
	rest := data[offset:]
	if len(rest) < frameHeaderSize {
		return true
	}
	if size, ok := decodeHeader(data, segment, offset); ok && int(size) > len(rest)-frameHeaderSize {
		return true
	}
	for from := offset; from < int64(len(data)); from = (from/sectorSize + 1) * sectorSize {
		to := min((from/sectorSize+1)*sectorSize, int64(len(data)))
		if isZero(data[from:to]) {
			return true
		}
	}
	return false
}

func isZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
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
