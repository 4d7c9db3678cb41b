package staging

import "time"

// Concurrency of fetches and uploads.
const (
	// maxDownloads is the number of concurrent fetches from peers while the engine
	// serves. Pieces queue on two links, so that fewer fetches leave much of the link
	// unused; with more, the engine's requests are delayed by the pieces before them
	// on the link, where one piece of 24 KB takes 27 ms at 7.3 Mbit/s.
	maxDownloads = 4
	// maxDownloadsIdle is the same while the engine has no version loaded: no caller
	// waits on the link, and fetches queue at peers, which send one piece at a time.
	maxDownloadsIdle = 8
	// maxFromOrigin is the number of concurrent fetches of one agent from the origin.
	maxFromOrigin = 1
	// maxDirect is the number of concurrent requests for pieces to the agents that
	// fetch them from the origin.
	maxDirect = 8
	// maxUploads is the number of concurrent uploads to peers: events of live
	// requests then wait for at most one piece on the link.
	maxUploads = 1
	// uploadShare is the share of the VM's link that uploads may use.
	uploadShare = 0.95
)

// Timeouts and intervals of fetches.
const (
	// pieceTimeout limits the fetch of one piece. All agents share the origin's
	// link, on which one piece for each of twelve agents takes 330 ms.
	pieceTimeout = 2500 * time.Millisecond
	// peerTimeout limits the fetch of one piece from a peer over a link that is not narrow:
	// uploadWait at the peer, and the pieces queued on both links. Without it a hung peer
	// would occupy one of maxDownloads for longer than all other pieces take.
	peerTimeout = 1 * time.Second
	// completeTimeout limits one attempt to complete a version; fetched pieces are kept.
	completeTimeout = 8 * time.Second
	// fetchTick is the interval at which fetches are started in the absence of events.
	fetchTick = 25 * time.Millisecond
	// updateTimeout is the time without updates after which the stream of a peer's pieces
	// is opened anew.
	updateTimeout = pieceTimeout
	// refreshInterval is how often a fetch updates its list of servers, so that the pieces
	// assigned to an agent that has left are reassigned.
	refreshInterval = 250 * time.Millisecond
)

// How long an agent waits for a cheaper source before it uses a more expensive one.
const (
	// peerHeadStart is the time that peers have to announce their pieces before the origin
	// is asked.
	peerHeadStart = 150 * time.Millisecond
	// freshVersionAge is the age up to which no peer can have any piece of a version, so
	// that the origin is asked without waiting for peerHeadStart.
	freshVersionAge = 400 * time.Millisecond
	// crossZoneDelay is the delay, per agent of the same zone with a lower rank for the
	// piece, before an agent fetches a piece from another zone. It starts when a peer
	// first announces the piece.
	crossZoneDelay = 400 * time.Millisecond
	// announcedDelay is the additional delay before the origin is asked for a piece
	// that a peer has announced.
	announcedDelay = 700 * time.Millisecond
	// lateFailoverDelay is the delay, per agent with a lower rank for the piece, before an
	// agent fetches a piece from the origin after originTime, in which its link could
	// have sent all pieces: the agents with a lower rank hang or have crashed.
	lateFailoverDelay = 300 * time.Millisecond
	// idleFailoverDelay is the delay, per agent with a lower rank for the piece, before an
	// agent without a fetch in flight fetches the piece from the origin: the first
	// agent may have crashed or may be behind a narrow link. In a large swarm agents
	// do not receive the announcements of all peers, and wait longer.
	idleFailoverDelay      = 250 * time.Millisecond
	idleFailoverDelayLarge = 700 * time.Millisecond
)

// Which peers are watched.
const (
	// watchAllMax is the largest number of agents of which each watches all others; 44
	// agents would exchange 180,000 messages per version. Above it, an agent watches
	// watchSameZone peers of its zone and watchOtherZones of others, and requests pieces
	// directly from the agents that fetch them from the origin.
	watchAllMax     = 24
	watchSameZone   = 12
	watchOtherZones = 8
)

// Backoffs of failed sources.
const (
	// peerBackoff is the backoff of a peer that failed or was busy.
	peerBackoff = 250 * time.Millisecond
	// originBackoff is the backoff of the origin after a failed fetch; without it an
	// origin that refuses connections would be dialled in a busy loop.
	originBackoff = 300 * time.Millisecond
	// refusedBackoff is how long an agent that refused a connection is excluded from
	// ranking and not asked: its VM may be gone. An agent that was killed restarts
	// within a second.
	refusedBackoff = 2 * time.Second
)

// Requests for digests.
const (
	// digestTimeout limits a request for digests to one peer, digestPeers is the number
	// of random peers asked in a round, digestInterval the pause between rounds, and
	// digestDelay the time, per agent with a lower rank, for which an agent asks
	// peers before it asks the origin.
	digestTimeout  = 300 * time.Millisecond
	digestPeers    = 3
	digestInterval = digestDelay / 4
	digestDelay    = 400 * time.Millisecond
)

// Values used in place of a piece number when agents are ranked.
const (
	// rankForDigests ranks the agents for fetching the digests from the origin.
	rankForDigests = -1
	// rankForLoad ranks the engines for their time to load.
	rankForLoad = -2
	// rankForConfirmation ranks the agents for fetching the second answer for digests from the origin.
	rankForConfirmation = -3
)
