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
// each of 4 bytes, little endian. The header checksum also covers the segment
// number and the offset, so that a frame at any other position is invalid.
const (
	frameMagic      = 0x6c786731 // "lxg1"
	frameHeaderSize = 16
	maxPayload      = 1 << 30
	// sectorSize is the unit in which a torn write leaves zeros.
	sectorSize = 512
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// headerChecksum covers the first 12 bytes of a header and its position.
func headerChecksum(segment uint64, offset int64, header []byte) uint32 {
	var position [16]byte
	binary.LittleEndian.PutUint64(position[0:], segment)
	binary.LittleEndian.PutUint64(position[8:], uint64(offset))
	return crc32.Update(crc32.Checksum(position[:], crcTable), crcTable, header[:frameHeaderSize-4])
}

// encodeFrame appends to buf the frame of a record for this position.
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

// decodeHeader returns the payload length of the frame at offset, or false if
// the header is invalid.
func decodeHeader(data []byte, segment uint64, offset int64) (uint32, bool) {
	rest := data[offset:]
	if len(rest) < frameHeaderSize || binary.LittleEndian.Uint32(rest) != frameMagic {
		return 0, false
	}
	size := binary.LittleEndian.Uint32(rest[4:])
	valid := binary.LittleEndian.Uint32(rest[12:]) == headerChecksum(segment, offset, rest)
	return size, valid && size <= maxPayload
}

// decodeFrame returns the record and the size of the frame at offset, or false
// if there is no valid frame.
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

// isTornWrite reports whether the invalid tail at offset looks like an
// incomplete write: it is shorter than its frame or has a sector of zeros.
func isTornWrite(data []byte, segment uint64, offset int64) bool {
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

// scanResult is the result of reading one segment.
type scanResult struct {
	records []*rpc.RaftRecord
	// validSize is the total length of the frames before the first invalid one.
	validSize int64
	// laterFrame is the offset of a valid frame after an invalid one, or -1.
	laterFrame int64
}

// scanSegment reads frames up to the first invalid one, and searches for a
// valid one after it.
func scanSegment(data []byte, segment uint64) scanResult {
	s := scanResult{laterFrame: -1}
	for s.validSize < int64(len(data)) {
		record, size, ok := decodeFrame(data, segment, s.validSize)
		if !ok {
			break
		}
		s.records = append(s.records, record)
		s.validSize += int64(size)
	}
	for offset := s.validSize + 1; offset+frameHeaderSize <= int64(len(data)); offset++ {
		if _, _, ok := decodeFrame(data, segment, offset); ok {
			s.laterFrame = offset
			break
		}
	}
	return s
}
