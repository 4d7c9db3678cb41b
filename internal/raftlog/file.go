package raftlog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"

	"google.golang.org/protobuf/proto"

	"lynxgate.dev/lynxgate/internal/durable"
)

// A file other than a segment has a header of 8 bytes (magic, CRC-32C of the
// payload) and a payload.
const (
	fileMagic      = 0x6c786632 // "lxf2"
	fileHeaderSize = 8

	fileMode = 0o600
)

// writeFile replaces a file atomically and durably.
func writeFile(path string, message proto.Message) error {
	payload, err := proto.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	data := make([]byte, fileHeaderSize, fileHeaderSize+len(payload))
	binary.LittleEndian.PutUint32(data, fileMagic)
	binary.LittleEndian.PutUint32(data[4:], crc32.Checksum(payload, crcTable))
	data = append(data, payload...)

	return durable.ReplaceFile(path, data, fileMode)
}

// readFile reads a file written with writeFile. It returns false if the file
// does not exist.
func readFile(path string, message proto.Message) (bool, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("read %s: %w", path, err)
	}
	if len(data) < fileHeaderSize || binary.LittleEndian.Uint32(data) != fileMagic {
		return false, &CorruptError{File: path, Reason: "bad header"}
	}
	payload := data[fileHeaderSize:]
	if binary.LittleEndian.Uint32(data[4:]) != crc32.Checksum(payload, crcTable) {
		return false, &CorruptError{File: path, Offset: fileHeaderSize, Reason: "checksum does not match"}
	}
	if err := proto.Unmarshal(payload, message); err != nil {
		return false, &CorruptError{File: path, Offset: fileHeaderSize, Reason: err.Error()}
	}
	return true, nil
}
