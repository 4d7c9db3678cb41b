// Package raftlog stores the durable state of one server of the replicated
// log in a data folder:
//
//	identity         name and incarnation, written once
//	state            term and vote
//	snapshot         the newest snapshot
//	log-<n>.seg      entries, in consecutively numbered segments
//
// The incarnation is a random number generated when the folder is first used.
// It distinguishes a wiped or replaced disk from the server's previous one.
//
// Files other than segments are replaced atomically: written to a temporary
// file, synced and renamed. A segment is a sequence of frames, one per synced
// batch. The checksums of a frame also cover its position. An entry replaces
// all earlier entries from its index on.
//
// Since a frame is synced before the next one is written, an invalid frame
// followed by a valid one is a disk fault, and Open fails with a CorruptError.
// An invalid frame at the end of the log is truncated. If it looks like a torn
// write (short, or with a sector of zeros), it was never acknowledged.
// Otherwise it may have been synced and acknowledged: the server then takes a
// new incarnation, so that its peers no longer count its acknowledgements.
package raftlog
