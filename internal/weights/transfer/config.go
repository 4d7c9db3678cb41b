package transfer

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/weights/swarm"
)

// Peer is another member of a model version's swarm.
type Peer = swarm.Peer

// Wanted is one model version to be staged on this VM. Peers are all
// members of its swarm; this VM may be among them.
type Wanted struct {
	Ref    inventory.ModelVersion
	Prefer inventory.Preference
	Peers  []Peer
}

// Progress is the progress of one model version.
type Progress struct {
	Model   string
	Version string
	// Held and Total count chunks; Total is 0 until the manifest is known.
	Held  int
	Total int
	// OriginBytes and PeerBytes count the payload of stored chunks since the
	// version was last added to the wanted versions.
	OriginBytes int64
	PeerBytes   int64
	// Staged is true when the whole file is verified, synced and at Path.
	Staged bool
	Path   string
	// Digest is the hex BLAKE3 digest of the whole file, once the manifest
	// is known.
	Digest string
	// Err is the last error that blocked progress, empty if there is none.
	Err string
}

// Config configures a Manager. Zero values are replaced by defaults.
type Config struct {
	// VM and Zone identify this member.
	VM   string
	Zone string
	// Dir is the scratch folder; it is created if missing.
	Dir string
	// MaxBytes bounds the size of the scratch folder; 0 means no bound.
	MaxBytes int64
	// UpBytesPerSecond and DownBytesPerSecond are the link's rates in each
	// direction; 0 means no pacing.
	UpBytesPerSecond   float64
	DownBytesPerSecond float64
	// MemoryBytes bounds the chunk buffers of all fetches; default 32 MiB.
	MemoryBytes int64
	// Strategy determines which members fetch from which; default
	// swarm.StrategySwarm.
	Strategy swarm.Strategy
	// Swarm configures the scheduler; zero fields are replaced by its defaults.
	Swarm swarm.Config
	// Dial opens a connection to a peer; default is TCP with a timeout.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// HTTP is the client for the origin and the weight store; default a client
	// of its own.
	HTTP *http.Client
	// Now is the clock; default time.Now.
	Now func() time.Time
	// Seed is the seed of the scheduler's tie-breaks; default derived from VM.
	Seed uint64
	// Registerer registers the metrics; default none.
	Registerer prometheus.Registerer
	Logger     zerolog.Logger
}

const (
	// defaultMemoryBytes is the size of two of the largest chunks (16 MiB).
	defaultMemoryBytes = 32 << 20
	// dialTimeout bounds connecting to another agent.
	dialTimeout = 2 * time.Second
)
