// Package raftlog keeps the durable state of one server of the replicated
// log in a folder of its own:
//
//	identity         name and incarnation, written once
//	state            term and vote
//	snapshot         the newest snapshot
//	log-<n>.seg      entries, in segments of rising number
//
// The incarnation is a random number drawn when the folder is first used, so
// that a wiped or swapped disk is told from the one its server had before.
//
// Each file but the segments is replaced whole: written aside, synced,
// renamed. A segment is a row of frames, one per synced batch; a frame is
// guarded by a checksum that covers its place, too. Since a frame is synced
// before the next one is written, a bad frame at the very end may be the rest
// of an interrupted write and is cut off, while a bad frame with a good one
// after it is a fault of the disk and stops the server (CorruptError). An
// entry replaces all earlier entries from its index on.
package raftlog
