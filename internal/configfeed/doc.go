// Package configfeed spreads the configuration: a Source serves the view of
// its process to subscribers, a Client keeps the view of its process up to
// date from one of several sources.
//
// State: Store holds the view in force and a bounded history. The Client's
// choice of source and its verdicts on updates are a pure step (chooser); its
// goroutine owns that state and is the only writer of its store.
//
// Messages: rpc.SubscribeRequest and rpc.FeedUpdate. An update is a delta or a
// snapshot that brings the subscriber to a revision; an empty update tells
// where the source stands and that it is alive.
//
// A revision never falls in a process: an update below the revision in force,
// or below the floor kept on disk, is refused whoever sends it.
package configfeed
