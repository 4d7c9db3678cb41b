package main

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestEvacuateOrdersWithdrawsAndLists(t *testing.T) {
	asked, out, _, code := runFleetCommand(t, "evacuate", http.StatusNoContent, "", "zone-a")
	assert.Equal(t, "POST /v1/evacuations/zone-a", asked)
	assert.Equal(t, "zone-a is evacuated\n", out)
	assert.Zero(t, code)

	asked, out, _, code = runFleetCommand(t, "evacuate", http.StatusNoContent, "", "-withdraw", "zone-a")
	assert.Equal(t, "DELETE /v1/evacuations/zone-a", asked)
	assert.Equal(t, "zone-a is used again\n", out)
	assert.Zero(t, code)

	asked, out, _, _ = runFleetCommand(t, "evacuate", http.StatusOK, `[{"zone":"zone-a","evacuated":true,"order":7},{"zone":"zone-b","evacuated":false,"order":9}]`)
	assert.Equal(t, "GET /v1/evacuations", asked)
	assert.Equal(t, "zone-a evacuated, order 7\nzone-b in use, order 9\n", out)

	_, _, errs, code := runFleetCommand(t, "evacuate", http.StatusBadRequest, "unknown zone", "zone-x")
	assert.Contains(t, errs, "unknown zone")
	assert.Equal(t, int(exitBadInput), code)
	_, _, _, code = runFleetCommand(t, "evacuate", http.StatusServiceUnavailable, "no quorum", "zone-a")
	assert.Equal(t, int(exitFailed), code)
}
