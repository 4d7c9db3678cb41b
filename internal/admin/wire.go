package admin

import (
	"encoding/json"

	"lynxgate.dev/lynxgate/internal/inventory"
)

// Paths of the API.
const (
	PathConfig  = "/admin/v1/config"
	PathChanges = "/admin/v1/changes"
	PathStatus  = "/admin/v1/status"
	PathAudit   = "/admin/v1/audit"
	PathVMs     = "/admin/v1/vms"
	PathServers = "/admin/v1/servers"
)

// HeaderOperationID is the header of the operation id, for requests without it
// in the body.
const HeaderOperationID = "Operation-Id"

// Machine-readable codes of ErrorBody.
const (
	CodeBadRequest      = "bad_request"
	CodeUnauthorized    = "unauthorized"
	CodeNotFound        = "not_found"
	CodeMethod          = "method_not_allowed"
	CodeConflict        = "conflict"
	CodeBodyTooLarge    = "body_too_large"
	CodeHeaderTooLarge  = "header_too_large"
	CodeNotLeader       = "not_leader"
	CodeInvalid         = "invalid"
	CodeNoBase          = "base_revision_missing"
	CodeNoQuorum        = "no_quorum"
	CodeResultUnknown   = "result_unknown"
	CodeInternal        = "internal"
	CodeUnsupportedBody = "unsupported_media_type"
)

// ChangeBody is the body of POST /admin/v1/changes.
type ChangeBody struct {
	// OperationID is chosen by the client, up to 128 letters, digits, '.',
	// '_' and '-'; a resend must use the same id.
	OperationID string `json:"operation_id,omitempty"`
	// BaseRevision is the revision that the changes are based on; If-Match may
	// be used instead.
	BaseRevision *uint64      `json:"base_revision,omitempty"`
	Changes      []ChangeItem `json:"changes"`
}

// ChangeItem puts a key (with a value) or deletes it (null or no value).
type ChangeItem struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value,omitempty"`
}

// ChangeReply answers an accepted change.
type ChangeReply struct {
	inventory.ChangeResult
	OperationID string `json:"operation_id"`
}

// ErrorBody is the JSON body of every error response.
type ErrorBody struct {
	// Code is one of the Code constants.
	Code string `json:"code"`
	// Error is the human-readable reason.
	Error string `json:"error"`
	// Revision is the current revision, with CodeConflict.
	Revision uint64 `json:"revision,omitempty"`
	// Problems of an invalid request.
	Problems []string `json:"problems,omitempty"`
	// OperationID to resend with, with CodeResultUnknown.
	OperationID string `json:"operation_id,omitempty"`
	// Leader and LeaderAdminAddr identify the leader, with CodeNotLeader.
	Leader          string `json:"leader,omitempty"`
	LeaderAdminAddr string `json:"leader_admin_addr,omitempty"`
}

// AuditItem is the JSON form of an audit record.
type AuditItem struct {
	Revision    uint64       `json:"revision"`
	Time        string       `json:"time"`
	Operator    string       `json:"operator"`
	OperationID string       `json:"operation_id"`
	Changes     []ChangeItem `json:"changes"`
}

// AuditReply answers GET /admin/v1/audit.
type AuditReply struct {
	Records []AuditItem `json:"records"`
}

// ServersReply answers GET /admin/v1/servers.
type ServersReply struct {
	Servers []Server `json:"servers"`
}

// ServerBody is the body of POST /admin/v1/servers.
type ServerBody struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
}
