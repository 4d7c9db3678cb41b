package staging

import (
	"context"
	"crypto/sha256"
	"errors"

	"lynxgate.dev/lynxgate/internal/fleet"
)

// Digest is the SHA-256 of a piece.
type Digest [sha256.Size]byte

// Report is what an engine says of itself.
type Report struct {
	// Born is when the engine started, in Unix milliseconds by its own clock; 0 if it
	// does not say.
	Born   int64
	Models []fleet.Loaded
	// Busy tells that an order is in progress.
	Busy             bool
	Running, Waiting int
}

// Errors of an engine.
var (
	// ErrNotHeld says that a piece does not lie at the engine.
	ErrNotHeld = errors.New("piece is not held")
	// ErrOrderRefused says that an order does not fit the engine's state.
	ErrOrderRefused = errors.New("order refused")
)

// Engine is the backend server beside the agent.
type Engine interface {
	Report(ctx context.Context) (Report, error)
	// Held lists the pieces of a model that lie there, of whatever version.
	Held(ctx context.Context, model string) ([]int, error)
	Get(ctx context.Context, model string, piece int) ([]byte, error)
	Put(ctx context.Context, model string, piece int, data []byte) error
	// Load orders the engine to load what lies there as this version.
	Load(ctx context.Context, model string, version uint64) error
}

// Origin is where weights come from.
type Origin interface {
	Digests(ctx context.Context, addr, model string, version uint64) ([]Digest, error)
	Piece(ctx context.Context, addr, model string, version uint64, piece int) ([]byte, error)
}
