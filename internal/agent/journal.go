package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"lynxgate.dev/lynxgate/internal/durable"
	"lynxgate.dev/lynxgate/internal/orders"
)

const (
	journalFile = "orders.json"
	// journalMode makes the journal world-readable; it contains no secrets.
	journalMode = 0o644
)

// readJournal returns the order journal in dir, or nil if there is none or it
// cannot be decoded. Without a journal the order machine assumes that an order
// is in progress.
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

// writeJournal atomically replaces the journal in dir and syncs it to disk.
func writeJournal(dir string, j orders.Journal) error {
	data, err := json.Marshal(j)
	if err != nil {
		return fmt.Errorf("encode order journal: %w", err)
	}
	if err := durable.ReplaceFile(filepath.Join(dir, journalFile), data, journalMode); err != nil {
		return fmt.Errorf("order journal: %w", err)
	}
	return nil
}
