// Package durable replaces small files atomically: after a crash a file has
// either its old or its new content, never a part of it. It keeps no state.
package durable

import (
	"fmt"
	"os"
	"path/filepath"
)

// tempSuffix marks the temporary file that holds the new content.
const tempSuffix = ".new"

// ReplaceFile atomically replaces the content of the file at path: it writes
// and syncs a temporary file, renames it to path and syncs the folder. After
// an error the file has its old content, or the new one if only the sync of
// the folder failed.
func ReplaceFile(path string, data []byte, mode os.FileMode) error {
	temp := path + tempSuffix
	if err := writeSynced(temp, data, mode); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	if err := os.Rename(temp, path); err != nil {
		return fmt.Errorf("replace %s: %w", path, err)
	}
	return SyncDir(filepath.Dir(path))
}

// SyncDir makes creations, renames and removals in a folder durable.
func SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("sync folder: %w", err)
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return fmt.Errorf("sync folder %s: %w", dir, err)
	}
	return nil
}

func writeSynced(path string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, mode)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}
