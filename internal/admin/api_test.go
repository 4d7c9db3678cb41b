package admin_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/admin"
	"lynxgate.dev/lynxgate/internal/admin/admintest"
	"lynxgate.dev/lynxgate/internal/inventory"
)

const (
	operatorKey = "operator-secret"
	callerKey   = "caller-secret"
)

func hashOf(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// start serves the API over a backend with a zone, a VM and an organisation.
func start(t *testing.T) (*admintest.Backend, *httptest.Server) {
	backend := admintest.New(inventory.Inventory{
		Zones:         []inventory.Zone{{Name: "stgo-a", Region: "santiago"}},
		VMs:           []inventory.VM{{Name: "vm-1", Zone: "stgo-a", Capacity: 2}},
		Organisations: []inventory.Organisation{{Name: "studio", KeyHashes: []string{hashOf(callerKey)}}},
	})
	api, err := admin.New(admin.Config{
		Operators:      []admin.Operator{{Name: "ana", KeyHash: hashOf(operatorKey)}},
		MaxBodyBytes:   2000,
		MaxHeaderBytes: 2000,
		Registerer:     prometheus.NewRegistry(),
	}, backend)
	require.NoError(t, err)
	e := admin.NewEcho()
	api.Register(e)
	server := httptest.NewUnstartedServer(e)
	server.Config.MaxHeaderBytes = 4000
	server.Start()
	t.Cleanup(server.Close)
	return backend, server
}

// answer is a response with its body read.
type answer struct {
	status int
	header http.Header
	body   string
}

func (a answer) failure(t *testing.T) admin.ErrorBody {
	var body admin.ErrorBody
	require.NoError(t, json.Unmarshal([]byte(a.body), &body), a.body)
	return body
}

func (a answer) change(t *testing.T) admin.ChangeReply {
	require.Equal(t, http.StatusOK, a.status, a.body)
	var reply admin.ChangeReply
	require.NoError(t, json.Unmarshal([]byte(a.body), &reply))
	return reply
}

func ask(t *testing.T, server *httptest.Server, method, path, body string, header ...string) answer {
	request, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	for _, field := range header {
		name, value, _ := strings.Cut(field, ": ")
		request.Header.Set(name, value)
	}
	response, err := server.Client().Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return answer{status: response.StatusCode, header: response.Header, body: string(text)}
}

func changeBody(operation string, base int, zone string) string {
	return fmt.Sprintf(`{"operation_id":%q,"base_revision":%d,"changes":[{"key":"zone/%s","value":{"name":%q,"region":"r"}}]}`,
		operation, base, zone, zone)
}

func TestBadRequestsAreRefusedAndNothingIsDone(t *testing.T) {
	backend, server := start(t)
	good := changeBody("op-1", 1, "z")
	long := strings.Repeat("x", 2500)
	cases := map[string]struct {
		method, path, body string
		header             []string
		status             int
		code, text         string
	}{
		"no key":              {"POST", admin.PathChanges, good, []string{"Authorization: "}, 401, admin.CodeUnauthorized, "an operator's key is needed"},
		"other scheme":        {"POST", admin.PathChanges, good, []string{"Authorization: Basic " + operatorKey}, 401, admin.CodeUnauthorized, "an operator's key is needed"},
		"caller's key":        {"POST", admin.PathChanges, good, []string{"Authorization: Bearer " + callerKey}, 401, admin.CodeUnauthorized, "callers' keys are not taken here"},
		"hash as key":         {"GET", admin.PathStatus, "", []string{"Authorization: Bearer " + hashOf(operatorKey)}, 401, admin.CodeUnauthorized, "not an operator's"},
		"empty body":          {"POST", admin.PathChanges, "", nil, 400, admin.CodeBadRequest, "the body is empty"},
		"blank body":          {"POST", admin.PathChanges, "  \n", nil, 400, admin.CodeBadRequest, "the body is empty"},
		"malformed JSON":      {"POST", admin.PathChanges, `{"changes":`, nil, 400, admin.CodeBadRequest, "unexpected EOF"},
		"wrong type":          {"POST", admin.PathChanges, `{"base_revision":"1"}`, nil, 400, admin.CodeBadRequest, "base_revision"},
		"unknown field":       {"POST", admin.PathChanges, `{"revision":1}`, nil, 400, admin.CodeBadRequest, `unknown field \"revision\"`},
		"two values":          {"POST", admin.PathChanges, good + good, nil, 400, admin.CodeBadRequest, "more than one JSON value"},
		"media type":          {"POST", admin.PathChanges, good, []string{"Content-Type: text/plain"}, 415, admin.CodeUnsupportedBody, "must be application/json"},
		"body too large":      {"POST", admin.PathChanges, `{"operation_id":"` + long + `"}`, nil, 413, admin.CodeBodyTooLarge, "longer than 2000 bytes"},
		"header too large":    {"GET", admin.PathStatus, "", []string{"X-Long: " + long}, 431, admin.CodeHeaderTooLarge, "longer than 2000 bytes"},
		"no operation id":     {"POST", admin.PathChanges, `{"base_revision":1}`, nil, 400, admin.CodeBadRequest, "an operation id is needed"},
		"bad operation id":    {"POST", admin.PathChanges, changeBody("a b", 1, "z"), nil, 400, admin.CodeBadRequest, "an operation id is needed"},
		"two operation ids":   {"POST", admin.PathChanges, good, []string{"Operation-Id: op-2"}, 400, admin.CodeBadRequest, "differ"},
		"no base":             {"POST", admin.PathChanges, `{"operation_id":"op-1"}`, nil, 428, admin.CodeNoBase, "base_revision or If-Match is needed"},
		"bad If-Match":        {"POST", admin.PathChanges, good, []string{"If-Match: *"}, 400, admin.CodeBadRequest, "If-Match must be one ETag"},
		"two bases":           {"POST", admin.PathChanges, good, []string{`If-Match: "2"`}, 400, admin.CodeBadRequest, "differ"},
		"stale base":          {"POST", admin.PathChanges, changeBody("op-1", 0, "z"), nil, 409, admin.CodeConflict, "revision 1 is in force"},
		"invalid change":      {"POST", admin.PathChanges, `{"operation_id":"op-1","base_revision":1,"changes":[{"key":"zone/stgo-a"}]}`, nil, 422, admin.CodeInvalid, `vm/vm-1: zone: zone \"stgo-a\" is not declared`},
		"null deletes":        {"POST", admin.PathChanges, `{"operation_id":"op-1","base_revision":1,"changes":[{"key":"zone/stgo-a","value":null}]}`, nil, 422, admin.CodeInvalid, `zone \"stgo-a\" is not declared`},
		"operator's key":      {"POST", admin.PathChanges, `{"operation_id":"op-1","base_revision":1,"changes":[{"key":"organisation/o","value":{"name":"o","key_hashes":["` + hashOf(operatorKey) + `"]}}]}`, nil, 422, admin.CodeInvalid, "is an operator's key"},
		"unknown VM":          {"POST", admin.PathVMs + "/vm-9/drain", "", []string{"Operation-Id: op-1"}, 404, admin.CodeNotFound, `no VM \"vm-9\"`},
		"drain without id":    {"POST", admin.PathVMs + "/vm-1/drain", "", nil, 400, admin.CodeBadRequest, "an operation id is needed"},
		"unknown path":        {"GET", "/admin/v1/nothing", "", nil, 404, admin.CodeNotFound, "no such path"},
		"method":              {"DELETE", admin.PathChanges, "", nil, 405, admin.CodeMethod, "doesn't take this method"},
		"audit since":         {"GET", admin.PathAudit + "?since=-1", "", nil, 400, admin.CodeBadRequest, "since must be a revision"},
		"audit limit":         {"GET", admin.PathAudit + "?limit=5000", "", nil, 400, admin.CodeBadRequest, "limit must be from 1 to 1000"},
		"server's name":       {"POST", admin.PathServers, `{"name":"","addr":"10.0.0.2:1"}`, nil, 400, admin.CodeBadRequest, "name must be"},
		"server's address":    {"POST", admin.PathServers, `{"name":"c","addr":"c:1"}`, nil, 400, admin.CodeBadRequest, "addr must be"},
		"last server":         {"DELETE", admin.PathServers + "/control-1", "", nil, 422, admin.CodeInvalid, "invalid request"},
		"drain, caller's key": {"POST", admin.PathVMs + "/vm-1/drain", "", []string{"Authorization: Bearer " + callerKey, "Operation-Id: op-1"}, 401, admin.CodeUnauthorized, "callers' keys"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := ask(t, server, c.method, c.path, c.body, c.header...)
			require.Equal(t, c.status, got.status, got.body)
			require.Equal(t, c.code, got.failure(t).Code)
			require.Contains(t, got.body, c.text)
			require.Empty(t, backend.AuditTrail(), "nothing was changed")
		})
	}
	servers, err := backend.Members(context.Background())
	require.NoError(t, err)
	require.Len(t, servers, 1)
}

func TestConfigAndChangeByETag(t *testing.T) {
	_, server := start(t)
	config := ask(t, server, "GET", admin.PathConfig+"?prefix=zone/", "")
	require.Equal(t, `"1"`, config.header.Get("ETag"))
	require.JSONEq(t, `{"revision":1,"keys":[{"key":"zone/stgo-a","value":{"name":"stgo-a","region":"santiago"},"revision":1}]}`, config.body)
	require.Equal(t, http.StatusNotModified, ask(t, server, "GET", admin.PathConfig, "", `If-None-Match: "1"`).status)

	body := `{"changes":[{"key":"zone/z","value":{"name":"z","region":"r"}}]}`
	got := ask(t, server, "POST", admin.PathChanges, body, `If-Match: "1"`, "Operation-Id: op-1")
	require.Equal(t, `"2"`, got.header.Get("ETag"))
	require.Equal(t, uint64(2), got.change(t).Revision)
	require.JSONEq(t, `{"records":[{"revision":2,"time":"2026-01-02T03:04:05Z","operator":"ana","operation_id":"op-1",
		"changes":[{"key":"zone/z","value":{"name":"z","region":"r"}}]}]}`, ask(t, server, "GET", admin.PathAudit+"?key=zone/&operator=ana", "").body)
	require.JSONEq(t, `{"records":[]}`, ask(t, server, "GET", admin.PathAudit+"?key=vm/", "").body)
}

func TestRacingOperatorsHaveOneWinner(t *testing.T) {
	_, server := start(t)
	const operators = 8
	answers := make([]answer, operators)
	var race sync.WaitGroup
	for i := range operators {
		race.Go(func() { // the same base, the same key, other operation ids
			answers[i] = ask(t, server, "POST", admin.PathChanges, changeBody(fmt.Sprintf("op-%d", i), 1, "z"))
		})
	}
	race.Wait()
	winner := -1
	for i, got := range answers {
		if got.status == http.StatusOK {
			require.Equal(t, -1, winner, "one winner")
			winner = i
			continue
		}
		require.Equal(t, http.StatusConflict, got.status)
		require.Equal(t, uint64(2), got.failure(t).Revision, "the conflict names the revision in force")
	}
	require.NotEqual(t, -1, winner)

	ask(t, server, "POST", admin.PathChanges, changeBody("later", 2, "y")).change(t)
	again := ask(t, server, "POST", admin.PathChanges, changeBody(fmt.Sprintf("op-%d", winner), 1, "z")).change(t)
	require.True(t, again.Repeated)
	require.Equal(t, uint64(2), again.Revision, "a resend gets the first result")
}

func TestBackendFailures(t *testing.T) {
	hint := &admin.NotLeaderError{Leader: "control-2", AdminAddr: "10.0.0.2:7180"}
	cases := map[string]struct {
		err           error
		change, read  int
		code, hinted  string
		changeIsKnown bool
	}{
		"leader known":   {hint, 421, 421, admin.CodeNotLeader, "10.0.0.2:7180", true},
		"leader unknown": {&admin.NotLeaderError{}, 503, 503, admin.CodeNoQuorum, "", true},
		"no quorum":      {fmt.Errorf("propose: %w", admin.ErrNoQuorum), 503, 503, admin.CodeNoQuorum, "", true},
		"unknown":        {fmt.Errorf("propose: %w", admin.ErrResultUnknown), 504, 500, admin.CodeResultUnknown, "", false},
		"deadline":       {context.DeadlineExceeded, 504, 503, admin.CodeResultUnknown, "", false},
		"other":          {fmt.Errorf("disk full"), 504, 500, admin.CodeResultUnknown, "", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			backend, server := start(t)
			backend.Fail(admintest.Failure{Err: c.err}, admintest.Failure{Err: c.err}, admintest.Failure{Err: c.err})
			got := ask(t, server, "POST", admin.PathChanges, changeBody("op-1", 1, "z"))
			require.Equal(t, c.change, got.status, got.body)
			failure := got.failure(t)
			require.Equal(t, c.code, failure.Code)
			require.Equal(t, c.hinted, failure.LeaderAdminAddr)
			if !c.changeIsKnown {
				require.Equal(t, "op-1", failure.OperationID)
				require.Contains(t, failure.Error, "resend it with the same operation id")
			}
			if got.status >= 503 {
				require.Equal(t, "1", got.header.Get("Retry-After"))
			}
			require.Equal(t, c.read, ask(t, server, "GET", admin.PathConfig, "").status)
			require.Equal(t, c.read, ask(t, server, "GET", admin.PathStatus, "").status)
		})
	}
}

func TestDrain(t *testing.T) {
	backend, server := start(t)
	drain := func(vm, verb, operation string) answer {
		return ask(t, server, "POST", admin.PathVMs+"/"+vm+"/"+verb, "", "Operation-Id: "+operation)
	}
	valueOf := func(key string) string {
		snapshot, err := backend.Get(context.Background(), key)
		require.NoError(t, err)
		require.Len(t, snapshot.Keys, 1)
		return string(snapshot.Keys[0].Value)
	}
	first := drain("vm-1", "drain", "op-1").change(t)
	require.JSONEq(t, `{"name":"vm-1","zone":"stgo-a","capacity":2,"drained":true}`, valueOf("vm/vm-1"))
	drain("vm-1", "undrain", "op-2").change(t)
	require.JSONEq(t, `{"name":"vm-1","zone":"stgo-a","capacity":2}`, valueOf("vm/vm-1"))

	again := drain("vm-1", "drain", "op-1").change(t)
	require.True(t, again.Repeated)
	require.Equal(t, first.Revision, again.Revision)
	require.Equal(t, "op-1", backend.AuditTrail()[0].OperationID)
	require.JSONEq(t, `{"name":"vm-1","zone":"stgo-a","capacity":2}`, valueOf("vm/vm-1"), "a late resend drains nothing")

	backend.Put("member/vm-2", `{"vm":"vm-2","zone":"stgo-a","state":"up"}`)
	drain("vm-2", "drain", "op-3").change(t)
	require.JSONEq(t, `{"name":"vm-2","zone":"stgo-a","drained":true}`, valueOf("vm/vm-2"), "an undeclared VM can be drained")
}

func TestErrorsAreJSONOnAnyEcho(t *testing.T) {
	api, err := admin.New(admin.Config{}, admintest.New(inventory.Inventory{}))
	require.NoError(t, err)
	e := echo.New()
	api.Register(e)
	server := httptest.NewServer(e)
	defer server.Close()
	got := ask(t, server, "GET", admin.PathStatus, "")
	require.Equal(t, http.StatusUnauthorized, got.status)
	require.Equal(t, admin.CodeUnauthorized, got.failure(t).Code)
}

func TestHeaderPastTheServersOwnLimit(t *testing.T) {
	server := admin.NewHTTPServer("127.0.0.1:0", nil, 1000)
	require.Equal(t, 2000, server.MaxHeaderBytes)
	require.Less(t, server.ReadHeaderTimeout, time.Minute)
	require.NotZero(t, server.ReadHeaderTimeout)
}
