package configfeed

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// floorFile keeps the highest revision that was in force, synced, so that it
// does not fall when the process restarts. An empty path keeps nothing.
type floorFile struct{ path string }

// load returns the revision kept, 0 if there is none yet. A file that does not
// hold a number is an error: to ignore it could let the revision fall.
func (f floorFile) load() (uint64, error) {
	if f.path == "" {
		return 0, nil
	}
	data, err := os.ReadFile(f.path)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("read revision floor: %w", err)
	}
	revision, err := strconv.ParseUint(strings.TrimSpace(string(data)), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("read revision floor %s: %w", f.path, err)
	}
	return revision, nil
}

// save writes the revision beside the file, syncs it and renames it into place.
func (f floorFile) save(revision uint64) error {
	if f.path == "" {
		return nil
	}
	temp := f.path + ".tmp"
	if err := writeSynced(temp, strconv.FormatUint(revision, 10)+"\n"); err != nil {
		return fmt.Errorf("write revision floor: %w", err)
	}
	if err := os.Rename(temp, f.path); err != nil {
		return fmt.Errorf("write revision floor: %w", err)
	}
	if err := syncDir(filepath.Dir(f.path)); err != nil {
		return fmt.Errorf("write revision floor: %w", err)
	}
	return nil
}

func writeSynced(path, text string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err := f.WriteString(text); err != nil {
		return errors.Join(err, f.Close())
	}
	if err := f.Sync(); err != nil {
		return errors.Join(err, f.Close())
	}
	return f.Close()
}

func syncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
