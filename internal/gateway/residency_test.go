package gateway

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/standstill"
)

// restrict limits the requests of all routes to these regions.
func (e *entry) restrict(regions ...string) {
	config := e.view.Load().Table.Config
	for i := range config.Routes {
		config.Routes[i].Regions = regions
	}
}

func TestRequestWithoutAServerInItsRegionsIsRefusedAtOnce(t *testing.T) {
	home, abroad := newBackend(t, "b-1", good), newBackend(t, "b-2", good)
	e := newEntry(t, home, abroad)
	e.restrict("elsewhere")
	began := time.Now()
	a := e.ask(t, http.MethodPost, "/unsafe/1")
	assert.Equal(t, http.StatusServiceUnavailable, a.status)
	assert.Less(t, time.Since(began), 100*time.Millisecond)
	assert.NotEmpty(t, a.head.Get("Retry-After"))
	assert.Empty(t, home.requests())
	assert.Empty(t, abroad.requests())
	assert.Contains(t, e.logs.String(), reasonAbroad)
	assert.Contains(t, e.logs.String(), `"regions":"elsewhere"`)
}

func TestRegionsOfTheOrganisationApplyBesideThoseOfTheRoute(t *testing.T) {
	home, abroad := newBackend(t, "b-1", good), newBackend(t, "b-2", good)
	e := newEntry(t, home, abroad)
	e.restrict("home", "abroad")
	e.view.Load().Table.Config.Organisations[0].Regions = []string{"abroad"}
	for range 5 {
		require.Equal(t, http.StatusOK, e.ask(t, http.MethodPost, "/unsafe/1").status)
	}
	assert.Empty(t, home.requests())
	assert.Len(t, abroad.requests(), 5)
}

// A retry, a handover and the rest of a stream need a second server, and the only one is abroad.
func TestRetryAndHandoverStayInTheRegions(t *testing.T) {
	for name, test := range map[string]struct {
		path  string
		serve func(http.ResponseWriter, *http.Request)
	}{
		"retry after a lost connection": {"/safe/1", cut},
		"retry after a refusal":         {"/safe/1", notRun},
		"rest of a stream":              {"/stream/1", events(2)},
		"handover of a silent stream":   {"/stream/1", silent},
	} {
		t.Run(name, func(t *testing.T) {
			home, abroad := newBackend(t, "b-1", test.serve), newBackend(t, "b-2", events(0))
			e := newEntry(t, home, abroad)
			if test.path == "/stream/1" {
				e.onlyEngines()
			}
			e.restrict("home")
			e.ask(t, http.MethodPost, test.path)
			assert.NotEmpty(t, home.requests())
			assert.Empty(t, abroad.requests())
		})
	}
}

// silent never answers.
func silent(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the server notices that a caller leaves only after the body
	<-r.Context().Done()
}

// Requests that wait for a full region do not keep others from the free slots of another region.
func TestWaitingForAFullRegionHoldsUpNoOtherRequest(t *testing.T) {
	standstill.Run(t, testWaitingForAFullRegionHoldsUpNoOtherRequest)
}

func testWaitingForAFullRegionHoldsUpNoOtherRequest(t testing.TB) {
	home, abroad := newBackend(t, "b-1", events(0)), newBackend(t, "b-2", events(0))
	e := newEntry(t, home, abroad)
	e.onlyEngines()
	config := e.view.Load().Table.Config
	for i := range config.Routes {
		config.Routes[i].Objective = 2 * time.Second // requests wait for 400 ms
		config.Routes[i].Regions = []string{"home"}
		if config.Routes[i].Name == "thrice" {
			config.Routes[i].Regions = []string{"abroad"}
		}
	}
	for i := range config.Services {
		if engine := config.Services[i].Engine; engine != nil {
			engine.UsualAnswer = 1400 // 0.36 s for each request: more than allowed, less than that and the wait
		}
	}
	e.reportLoad(home, 4, 3)
	e.reportLoad(abroad, 4, 3)
	var group sync.WaitGroup
	var status int
	group.Go(func() { status = e.ask(t, http.MethodPost, "/thrice/1").status })
	require.Eventually(t, func() bool { return e.queues.count.Load() == 1 }, time.Second, time.Millisecond)
	for range maxMisses + 1 {
		group.Go(func() { e.ask(t, http.MethodPost, "/stream/1") })
	}
	require.Eventually(t, func() bool { return e.queues.count.Load() == maxMisses+2 }, time.Second, time.Millisecond)
	e.reportLoad(abroad, 1, 0)
	group.Wait()
	assert.Equal(t, http.StatusOK, status)
	assert.Empty(t, home.requests())
}
