package fleetcontrol

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/replica"
)

func TestRunReturnsNoErrorAfterStop(t *testing.T) {
	const addr = "127.0.0.1:1" // the only member
	s, err := New(Config{
		Name: "c", Addr: addr, Seeds: func() []string { return nil }, Logger: zerolog.Nop(),
		Replica: replica.Config{
			Name: "c", Addr: addr, Dir: t.TempDir(), Peers: []replica.Member{{Name: "c", Addr: addr}},
			TickInterval: 5 * time.Millisecond, Logger: zerolog.Nop(),
		},
	})
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- s.Run(t.Context()) }()
	require.NoError(t, s.Stop(t.Context()))
	assert.NoError(t, <-ended)
}
