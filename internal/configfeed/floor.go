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

// floorMode allows all users to read the revision, which is not secret.
const floorMode = 0o644

// floorFile stores the revision floor: the highest revision that was in force. It
// keeps the revision from decreasing over a restart. With an empty path nothing
// is stored.
type floorFile struct{ path string }

// load returns the stored revision, 0 if there is none. A file without a valid
// number is an error, since ignoring it could let the revision decrease.
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

// save replaces the file atomically and syncs it.
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
