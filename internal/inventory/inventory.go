// Package inventory defines the records that operators declare: zones, VMs,
// services, organisations, model versions and rules. It also defines the derived
// records, which the control servers write (members and assignments), and the
// keys of all records in the replicated key space.
//
// The package has types and pure functions only; it keeps no state.
package inventory

import "time"

// Zone is an availability zone, a failure domain.
type Zone struct {
	// Name of the availability zone.
	Name string `json:"name" toml:"name"`
	// Region the zone belongs to; it has no record of its own.
	Region string `json:"region" toml:"region"`
}

// VM is a machine that may hold model replicas or a plain service.
type VM struct {
	// Name of the VM, the same as in its agent's settings.
	Name string `json:"name" toml:"name"`
	// Zone of the VM; it must be declared.
	Zone string `json:"zone" toml:"zone"`
	// Capacity is how many model replicas the VM can hold at once; 0 means 1.
	Capacity int `json:"capacity,omitempty" toml:"capacity"`
	// Drained VMs receive no new work and hold no replicas.
	Drained bool `json:"drained,omitempty" toml:"drained"`
}

// ServiceKind distinguishes model services from plain ones.
type ServiceKind string

// The kinds of service.
const (
	KindModel ServiceKind = "model"
	KindPlain ServiceKind = "plain"
)

// Service is a service that callers address by name.
type Service struct {
	// Name by which callers address the service.
	Name string `json:"name" toml:"name"`
	// Kind is "model" or "plain".
	Kind ServiceKind `json:"kind" toml:"kind"`
	// Model is the model that a model service serves.
	Model string `json:"model,omitempty" toml:"model"`
	// Paths hold rules for calls below a path prefix; the longest match applies.
	Paths []PathRule `json:"paths,omitempty" toml:"path"`
	// Priority of the service's requests, from 0, the most urgent, to 9.
	Priority int `json:"priority,omitempty" toml:"priority"`
}

// PathRule sets how calls below a path prefix are treated.
type PathRule struct {
	// Prefix of the paths below the service, beginning with "/".
	Prefix string `json:"prefix" toml:"prefix"`
	// AtMostOnce calls need an Idempotency-Key and never run twice.
	AtMostOnce bool `json:"at_most_once,omitempty" toml:"at_most_once"`
	// Idempotent calls may be retried by the system even if they may have run.
	Idempotent bool `json:"idempotent,omitempty" toml:"idempotent"`
	// Priority overrides the service's priority if set.
	Priority *int `json:"priority,omitempty" toml:"priority"`
}

// Organisation is a group of callers with common API keys and limits.
type Organisation struct {
	// Name of the organisation.
	Name string `json:"name" toml:"name"`
	// KeyHashes are hex SHA-256 digests of the organisation's API keys.
	KeyHashes []string `json:"key_hashes" toml:"key_hashes"`
	// Weight is the share in fair queueing; 0 means 1.
	Weight int `json:"weight,omitempty" toml:"weight"`
	// RequestsPerSecond is the limit per entry process; 0 means no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty" toml:"requests_per_second"`
	// Concurrency is the limit of concurrent requests per entry process; 0
	// means no limit.
	Concurrency int `json:"concurrency,omitempty" toml:"concurrency"`
	// TokensPerSecond is the limit per entry process; 0 means no limit.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty" toml:"tokens_per_second"`
}

// ModelVersion names one set of weights by the digest of its manifest.
type ModelVersion struct {
	// Model is the name of the model.
	Model string `json:"model" toml:"model"`
	// Version of the weights; the same version never changes its weights.
	Version string `json:"version" toml:"version"`
	// Manifest is the hex BLAKE3 digest of the manifest file.
	Manifest string `json:"manifest" toml:"manifest"`
	// Origin is the base URL that serves the manifest and the weights file.
	Origin string `json:"origin" toml:"origin"`
	// Store is the base URL of a rate-limited weight store with the same
	// files, used when the origin does not respond; may be empty.
	Store string `json:"store,omitempty" toml:"store"`
}

// Ref returns "model@version".
func (m ModelVersion) Ref() string { return m.Model + "@" + m.Version }

// Preference decides how transfers behave after faults.
type Preference string

// The preferences of a rule.
const (
	PreferTime        Preference = "time"
	PreferOriginBytes Preference = "origin-bytes"
)

// Rule places copies of a model version for a service.
type Rule struct {
	// Name of the rule.
	Name string `json:"name" toml:"name"`
	// Service whose model is placed; a declared model service.
	Service string `json:"service" toml:"service"`
	// Version of the service's model to serve.
	Version string `json:"version" toml:"version"`
	// Copies is the number of replicas wanted.
	Copies int `json:"copies" toml:"copies"`
	// Zones in which replicas may be placed; empty means all zones.
	Zones []string `json:"zones,omitempty" toml:"zones"`
	// Regions in which replicas may be placed; empty means all regions.
	Regions []string `json:"regions,omitempty" toml:"regions"`
	// MinLive is the number of replicas that stay live while a new version is
	// rolled out.
	MinLive int `json:"min_live,omitempty" toml:"min_live"`
	// Prefer decides how transfers behave after faults: "time", the default,
	// retries the origin soon; "origin-bytes" waits longer for peers.
	Prefer Preference `json:"prefer,omitempty" toml:"prefer"`
}

// MemberState is the state of a member.
type MemberState string

// The states of a member.
const (
	MemberUp      MemberState = "up"
	MemberLeaving MemberState = "leaving"
	MemberDown    MemberState = "down"
)

// Member is a VM whose agent has announced itself.
type Member struct {
	VM      string `json:"vm"`
	Zone    string `json:"zone"`
	Addr    string `json:"addr"`
	Service string `json:"service"`
	// Incarnation increases with every start of the agent.
	Incarnation   uint64      `json:"incarnation"`
	State         MemberState `json:"state"`
	ChecksFencing bool        `json:"checks_fencing,omitempty"`
	Capacity      int         `json:"capacity,omitempty"`
	AdminAddr     string      `json:"admin_addr,omitempty"`
}

// Phase is the phase to which an agent brings an assigned model version.
type Phase string

// The phases of an assignment.
const (
	// PhaseStage fetches and verifies the weights without loading them.
	PhaseStage Phase = "stage"
	// PhaseActivate loads the version into the engine and serves it.
	PhaseActivate Phase = "activate"
)

// Want is one model version wanted on a VM.
type Want struct {
	Model   string     `json:"model"`
	Version string     `json:"version"`
	Service string     `json:"service"`
	Phase   Phase      `json:"phase"`
	Prefer  Preference `json:"prefer,omitempty"`
}

// Assignment is the desired state of one VM. Fence is the fencing token of the
// orders to the VM's engine; it increases with every change of the assignment.
type Assignment struct {
	VM    string `json:"vm"`
	Zone  string `json:"zone"`
	Addr  string `json:"addr"`
	Fence uint64 `json:"fence"`
	// First is true for the first assignment of a VM: no order of an earlier
	// assignment can still be in flight to its engine.
	First bool   `json:"first,omitempty"`
	Wants []Want `json:"wants"`
}

// Key prefixes of the replicated key space.
const (
	PrefixZone         = "zone/"
	PrefixVM           = "vm/"
	PrefixService      = "service/"
	PrefixOrganisation = "organisation/"
	PrefixModel        = "model/"
	PrefixRule         = "rule/"
	PrefixMember       = "member/"
	PrefixAssign       = "assign/"
)

// Declared lists the prefixes that operators write; the others are derived.
var Declared = []string{
	PrefixZone, PrefixVM, PrefixService, PrefixOrganisation, PrefixModel, PrefixRule,
}

// Inventory is a complete set of declarations, read from files or from the key
// space.
type Inventory struct {
	Zones         []Zone         `json:"zones,omitempty" toml:"zone"`
	VMs           []VM           `json:"vms,omitempty" toml:"vm"`
	Services      []Service      `json:"services,omitempty" toml:"service"`
	Organisations []Organisation `json:"organisations,omitempty" toml:"organisation"`
	Models        []ModelVersion `json:"models,omitempty" toml:"model"`
	Rules         []Rule         `json:"rules,omitempty" toml:"rule"`
}

// Change is one put or delete of a declared key. Value is the JSON of the
// record; nil deletes the key.
type Change struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
}

// ChangeRequest is an operator's request to change declared records. Either all
// changes are accepted in one revision or none.
type ChangeRequest struct {
	// OperationID is chosen by the operator's tool; a repeated request with
	// the same ID returns the result of the first.
	OperationID string `json:"operation_id"`
	// BaseRevision is the revision that the changes are based on. The request
	// is a conflict if one of its keys was changed after that revision.
	BaseRevision uint64   `json:"base_revision"`
	Operator     string   `json:"operator"`
	Changes      []Change `json:"changes"`
}

// Verdict is the result of a change request.
type Verdict string

// The verdicts on a change request.
const (
	VerdictAccepted Verdict = "accepted"
	VerdictConflict Verdict = "conflict"
	VerdictInvalid  Verdict = "invalid"
)

// ChangeResult answers a ChangeRequest.
type ChangeResult struct {
	Verdict Verdict `json:"verdict"`
	// Revision that the change made, or the one in force for a conflict.
	Revision uint64 `json:"revision"`
	// Problems are the validation errors of an invalid request.
	Problems []string `json:"problems,omitempty"`
	// Repeated is true if the operation was carried out by an earlier request.
	Repeated bool `json:"repeated,omitempty"`
}

// AuditRecord is the audit entry of one accepted change request.
type AuditRecord struct {
	Revision    uint64    `json:"revision"`
	Time        time.Time `json:"time"`
	Operator    string    `json:"operator"`
	OperationID string    `json:"operation_id"`
	Changes     []Change  `json:"changes"`
}
