package raftlog

import "fmt"

// CorruptError says that the data folder holds something that was synced and
// can no longer be read. The server must not go on from it: wipe the folder
// and let the server be rebuilt from its peers.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("corrupt data in %s at offset %d: %s; wipe the folder to rebuild this server from its peers", e.File, e.Offset, e.Reason)
}

// ForeignError says that the data folder belongs to another server.
type ForeignError struct {
	Dir   string
	Owner string
	Name  string
}

func (e *ForeignError) Error() string {
	return fmt.Sprintf("data folder %s belongs to server %q, not %q", e.Dir, e.Owner, e.Name)
}
