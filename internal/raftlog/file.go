package raftlog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/proto"
)

// A whole file is a payload after a header of 8 bytes: magic, CRC-32C.
const (
	fileMagic      = 0x6c786632 // "lxf2"
	fileHeaderSize = 8
)

// writeFile replaces a file durably: aside, sync, rename, sync of the folder.
func writeFile(path string, message proto.Message) error {
	payload, err := proto.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	data := make([]byte, fileHeaderSize, fileHeaderSize+len(payload))
	binary.LittleEndian.PutUint32(data, fileMagic)
	binary.LittleEndian.PutUint32(data[4:], crc32.Checksum(payload, crcTable))
	data = append(data, payload...)

	aside := path + ".tmp"
	if err := writeSynced(aside, data); err != nil {
		return err
	}
	if err := os.Rename(aside, path); err != nil {
		return fmt.Errorf("replace %s: %w", path, err)
	}
	return syncDir(filepath.Dir(path))
}

func writeSynced(path string, data []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("create %s: %w", path, err)
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	return nil
}

// readFile reads a file written with writeFile; false if there is none.
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

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("open folder: %w", err)
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return fmt.Errorf("sync folder %s: %w", dir, err)
	}
	return nil
}
