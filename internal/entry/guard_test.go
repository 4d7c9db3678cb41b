package entry

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/outcome"
)

func TestGuardCancelsAttemptsAtSilentServersOnly(t *testing.T) {
	g := newGuard()
	silent, cancelSilent := context.WithCancelCause(context.Background())
	other, cancelOther := context.WithCancelCause(context.Background())
	ended, cancelEnded := context.WithCancelCause(context.Background())
	g.add("vm1", "a", cancelSilent)
	g.add("vm2", "b", cancelOther)
	g.add("vm1", "c", cancelEnded)()
	require.Equal(t, 1, g.cancel([]string{"vm1", "vm3"}))
	require.ErrorIs(t, context.Cause(silent), errSilent)
	require.NoError(t, other.Err())
	require.NoError(t, ended.Err(), "an attempt that has ended is not guarded")
	o := connectionOutcome(silent, silent.Err())
	require.Equal(t, outcome.ConnectionLost, o.Reason, "a retry is allowed, which is not so for a caller that left")
	require.Equal(t, outcome.Unknown, o.Kind)
}
