package staging

import (
	"context"
	"crypto/sha256"
	"errors"

	"lynxgate.dev/lynxgate/internal/fleet"
)

// Digest is the SHA-256 hash of a piece.
type Digest [sha256.Size]byte

// Report is the state that an engine reports.
type Report struct {
	// Born is when the engine started, in Unix milliseconds of its own clock; 0 if not
	// reported.
	Born   int64
	Models []fleet.Loaded
	// Busy is true while an order is in progress.
	Busy             bool
	Running, Waiting int
	// Seq is the number of orders that the engine has begun since its start; nil if not reported.
	Seq *uint64
	// Pace is how many times as long as usual the engine's work takes; 0 if not reported.
	Pace float64
}

// Errors returned by an Engine.
var (
	// ErrNotStaged reports that a piece is not staged at the engine.
	ErrNotStaged = errors.New("piece is not staged")
	// ErrOrderRefused reports that the engine has refused an order and will not execute it.
	ErrOrderRefused = errors.New("order refused")
)

// Engine is the client of the agent's backend server.
type Engine interface {
	Report(ctx context.Context) (Report, error)
	// StagedPieces lists the staged pieces of a model, whatever their version.
	StagedPieces(ctx context.Context, model string) ([]int, error)
	Get(ctx context.Context, model string, piece int) ([]byte, error)
	Put(ctx context.Context, model string, piece int, data []byte) error
	// Load orders the engine to load the staged pieces. begun is true if this order has begun, false if the engine
	// has loaded the version already, or is doing so. After an error other than ErrOrderRefused the engine may
	// execute the order, also later.
	Load(ctx context.Context, o Order) (begun bool, err error)
}

// Order is an order to load the staged pieces.
type Order struct {
	Model   string
	Version uint64
	// Seq is the Report.Seq at which the engine may execute the order; nil for any.
	Seq *uint64
}

// Origin is the client of the origin server of weights.
type Origin interface {
	Digests(ctx context.Context, addr, model string, version uint64) ([]Digest, error)
	Piece(ctx context.Context, addr, model string, version uint64, piece int) ([]byte, error)
}
