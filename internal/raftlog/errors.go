package raftlog

import "fmt"

// CorruptError reports that synced data in the data folder is damaged or
// missing. The server must not start with this folder; an operator wipes it,
// and the server is rebuilt from its peers.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("corrupt data in %s at offset %d: %s; wipe the folder to rebuild this server from its peers", e.File, e.Offset, e.Reason)
}

// ForeignError reports that the data folder belongs to another server.
type ForeignError struct {
	Dir   string
	Owner string
	Name  string
}

func (e *ForeignError) Error() string {
	return fmt.Sprintf("data folder %s belongs to server %q, not %q", e.Dir, e.Owner, e.Name)
}
