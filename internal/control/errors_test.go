package control

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/admin"
	"lynxgate.dev/lynxgate/internal/replica"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// TestUnknownResultIsNotReportedAsRefused covers a proposal that was in flight
// when its leader stopped: the log returns both errors together.
func TestUnknownResultIsNotReportedAsRefused(t *testing.T) {
	s := &Server{}
	for _, other := range []error{replica.ErrStopped, replica.ErrNoQuorum, &replica.NotLeaderError{}} {
		for _, err := range []error{
			fmt.Errorf("%w: %w", replica.ErrResultUnknown, other),
			errors.Join(other, replica.ErrResultUnknown),
		} {
			require.Equal(t, rpc.Status_STATUS_RESULT_UNKNOWN, statusOf(err), err)
			require.ErrorIs(t, s.adminError(err), admin.ErrResultUnknown)
		}
	}
	require.Equal(t, rpc.Status_STATUS_NO_QUORUM, statusOf(replica.ErrStopped))
	require.ErrorIs(t, s.adminError(replica.ErrStopped), admin.ErrNoQuorum)
}
