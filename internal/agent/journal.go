package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"lynxgate.dev/lynxgate/internal/orders"
)

const journalFile = "orders.json"

// readJournal returns the order journal kept in dir, or nil if there is none
// that can be read: the machine then assumes an order in progress.
func readJournal(dir string) (*orders.Journal, error) {
	data, err := os.ReadFile(filepath.Join(dir, journalFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read order journal: %w", err)
	}
	var j orders.Journal
	if err := json.Unmarshal(data, &j); err != nil {
		return nil, nil
	}
	return &j, nil
}

// writeJournal replaces the journal in dir and syncs it before it returns.
func writeJournal(dir string, j orders.Journal) error {
	data, err := json.Marshal(j)
	if err != nil {
		return fmt.Errorf("encode order journal: %w", err)
	}
	path := filepath.Join(dir, journalFile)
	if err := writeSynced(path+".new", data); err != nil {
		return fmt.Errorf("write order journal: %w", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("replace order journal: %w", err)
	}
	return syncDir(dir)
}

func writeSynced(path string, data []byte) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := f.Write(data); err != nil {
		return err
	}
	return f.Sync()
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("open folder: %w", err)
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return fmt.Errorf("sync folder: %w", err)
	}
	return nil
}
