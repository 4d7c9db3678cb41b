package staging

import "time"

// How much is fetched and sent at once.
const (
	// maxDownloads is how many pieces are fetched from peers at once beside an engine
	// that serves: its requests wait behind them on the link, on which one piece of
	// 24 KB takes 27 ms at 7.3 Mbit/s. Pieces wait for each other on two links, so that
	// fewer leave much of the link unused; with more, requests are late.
	maxDownloads = 4
	// maxDownloadsIdle is the same beside an engine that holds nothing. Peers send one
	// piece at a time, so that requests queue there, and no caller waits on the link.
	maxDownloadsIdle = 8
	// maxFromOrigin is how many pieces one agent fetches from the origin at once.
	maxFromOrigin = 1
	// maxDirect is how many pieces are asked for at once of the agents that fetch
	// them from the origin.
	maxDirect = 8
	// maxUploads is how many pieces are sent to peers at once: events of live
	// requests wait behind one piece on the link, not behind several.
	maxUploads = 1
	// uploadShare is the part of the VM's link that uploads take.
	uploadShare = 0.95
)

// Bounds on tries, and how often they are looked at.
const (
	// pieceTimeout bounds the fetch of one piece; all agents share the origin's
	// link, on which a piece each of twelve takes 330 ms.
	pieceTimeout = 2500 * time.Millisecond
	// peerTimeout bounds the fetch of one piece from a peer over a link that is not narrow:
	// uploadWait there, and what is on the links of both. A peer that stands still would
	// else keep one of maxDownloads for longer than all the rest takes.
	peerTimeout = 1 * time.Second
	// completeTimeout bounds one try to complete a version; what was fetched stays.
	completeTimeout = 8 * time.Second
	// fetchTick is how often fetches are started without an event.
	fetchTick = 25 * time.Millisecond
	// heldSilence is after how long without news a peer is asked anew what it holds: as
	// long as for one piece.
	heldSilence = pieceTimeout
	// refreshInterval is how often a fetch looks anew at who there is: pieces that were
	// the turn of an agent that has left are another one's.
	refreshInterval = 250 * time.Millisecond
)

// How long an agent waits for a cheaper source before it takes a dearer one.
const (
	// peerHead is the time that peers get to tell what they hold before the origin
	// is asked.
	peerHead = 150 * time.Millisecond
	// freshVersion is for how long after its naming no peer can hold any of a version, so
	// that the origin is asked at once.
	freshVersion = 400 * time.Millisecond
	// farPatience is for how long an agent waits for a piece that another one of
	// its zone is to fetch from another zone, for each one before it in the order.
	// It counts from when the piece was first told to be held.
	farPatience = 400 * time.Millisecond
	// originPatience is for how long an agent waits for a piece that another one
	// is to fetch from the origin, for each agent before it in the order, beside
	// the time that the origin's link takes for all pieces.
	originPatience = 700 * time.Millisecond
	// latePatience is the same once the origin's link has had the time for all pieces and
	// no peer holds this one: the agent whose turn it was stands still or is dead.
	latePatience = 300 * time.Millisecond
	// idlePatience is how long an agent with nothing to do waits before it fetches
	// pieces of others from the origin, for each agent before it in the order: the
	// one whose turn it is may be dead, or behind a narrow link.
	// In a large swarm it does not hear of all that is held, and waits longer.
	idlePatience      = 250 * time.Millisecond
	idlePatienceLarge = 700 * time.Millisecond
)

// Which peers are listened to.
const (
	// listenAll is up to how many agents each listens to what all others hold. With
	// 44 that would be 180,000 messages a version; beyond it, an agent listens to
	// listenNear of its own zone and listenFar of others, and asks the agents that
	// fetch from the origin directly.
	listenAll  = 24
	listenNear = 12
	listenFar  = 8
)

// How long a source that failed is spared.
const (
	// badPause is for how long a peer that failed or was busy is not asked.
	badPause = 250 * time.Millisecond
	// originPause is for how long the origin is not asked after a try failed: one
	// that refuses connections does so at once, and would be dialled without an end.
	originPause = 300 * time.Millisecond
	// refusedPause is for how long an agent that refused a connection, as one whose VM
	// is gone does, takes no turns and is not asked; one that was killed is back within
	// a second.
	refusedPause = 2 * time.Second
)

// How digests are asked for.
const (
	// digestTimeout bounds the question for digests to one peer, digestPeers is how
	// many are asked in a round, digestInterval the pause between rounds,
	// digestPatience how long an agent asks for each one before it in the order of
	// those that ask the origin.
	digestTimeout  = 300 * time.Millisecond
	digestPeers    = 3
	digestInterval = digestPatience / 4
	digestPatience = 400 * time.Millisecond
)

// What stands where else a piece stands, in the order of agents.
const (
	// digestsTurn stands for the digests among the pieces in that order.
	digestsTurn = -1
	// loadTurn stands for the order of loads.
	loadTurn = -2
)
