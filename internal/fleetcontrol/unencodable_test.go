package fleetcontrol

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// Guards against a record that can't be encoded and ends the streams of all followers.
func TestRecordThatCannotBeEncodedIsDroppedAlone(t *testing.T) {
	for name, odd := range map[string]fleet.BackendServer{
		"id":      {ID: "i-\xff\xfe", Service: "s", Addr: "10.0.0.1:1"},
		"service": {ID: "odd", Service: "s\xff", Addr: "10.0.0.1:1"},
		"zone":    {ID: "odd", Service: "s", Addr: "10.0.0.1:1", Zone: "z\xff"},
		"model":   {ID: "odd", Service: "s", Addr: "10.0.0.1:1", Models: []fleet.Loaded{{Model: "m\xff", Version: 1}}},
	} {
		t.Run(name, func(t *testing.T) {
			h := testHub()
			s := &Server{hub: h}
			f := h.join(&rpc.FollowerMessage{Name: "e", Role: RoleEntry})
			require.NoError(t, s.Announce(t.Context(), odd))
			require.NoError(t, s.Announce(t.Context(), fleet.BackendServer{ID: "i-1", Service: "s", Addr: "10.0.0.2:1"}))
			putConfig(t, h, 3)
			u := h.next(f)
			_, err := proto.Marshal(u)
			require.NoError(t, err)
			require.Len(t, u.Servers, 1)
			assert.Equal(t, "i-1", u.Servers[0].Id)
			assert.EqualValues(t, 3, u.ConfigVersion)
			assert.EqualValues(t, 1, counted(t, h.refused, reasonUnreadable))
		})
	}
}
