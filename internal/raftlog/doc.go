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
// guarded by checksums that cover its place, too. An entry replaces all
// earlier entries from its index on.
//
// Since a frame is synced before the next one is written, a bad frame with a
// good one after it is a fault of the disk and stops the server
// (CorruptError). A bad frame at the very end is cut off. If it looks like the
// rest of an interrupted write (short, or with a sector of zeros) nothing
// hung on it. If it does not, it may have been synced, and acknowledged: the
// server then draws a new incarnation, so that its peers no longer count on
// what it had acknowledged.
package raftlog
