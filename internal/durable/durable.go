// Package durable writes small files so that they survive a crash whole: the
// old content or the new, never a part. It keeps no state.
package durable

import (
	"fmt"
	"os"
	"path/filepath"
)

// asideSuffix marks a file that is being written.
const asideSuffix = ".new"

// ReplaceFile replaces the content of the file at path: the data is written
// aside, synced and renamed into place, and the folder is synced. After an
// error the old content stands, or the new one if only the last sync failed.
func ReplaceFile(path string, data []byte, mode os.FileMode) error {
	aside := path + asideSuffix
	if err := writeSynced(aside, data, mode); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	if err := os.Rename(aside, path); err != nil {
		return fmt.Errorf("replace %s: %w", path, err)
	}
	return SyncDir(filepath.Dir(path))
}

// SyncDir makes what was created, renamed or removed in a folder last.
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
