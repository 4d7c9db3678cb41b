package configfeed

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strconv"
	"strings"

	"lynxgate.dev/lynxgate/internal/durable"
)

// floorMode lets every user read the revision: it is no secret.
const floorMode = 0o644

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
	text := strconv.FormatUint(revision, 10) + "\n"
	if err := durable.ReplaceFile(f.path, []byte(text), floorMode); err != nil {
		return fmt.Errorf("revision floor: %w", err)
	}
	return nil
}
