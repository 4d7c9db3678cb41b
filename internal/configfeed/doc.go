// Package configfeed distributes the configuration: a Source serves the view of
// its process to subscribers, a Client keeps the view of its process up to date
// from one of several sources.
//
// A Store holds the view in force and a bounded history. The Client's choice of
// source and its decisions on updates are a pure state machine (chooser), owned
// by the goroutine that runs the Client, the only writer of its store.
//
// The messages are rpc.SubscribeRequest and rpc.FeedUpdate. An update is a delta
// or a snapshot that brings the subscriber to a revision; an empty update is a
// heartbeat with the revision of the source.
//
// The revision of a process never decreases: an update below the revision in
// force, or below the floor on disk, is refused, whatever its source.
package configfeed
