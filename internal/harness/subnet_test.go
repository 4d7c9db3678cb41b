package harness

import (
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against two fleets at the same addresses, whose processes can't listen.
func TestSubnetOfAFleetIsItsOwn(t *testing.T) {
	subnet, claim, err := claimSubnet()
	require.NoError(t, err)
	_, err = net.Listen("tcp", claim.Addr().String())
	assert.Error(t, err, "another test process claims %s", subnet)
	require.NoError(t, claim.Close())
}
