package settings

import (
	"time"

	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/tomlfile"
)

// Defaults of keys that the file does not set.
const (
	defaultLogLevel     = "info"
	defaultDrainTimeout = 2 * time.Minute

	defaultTickInterval    = 50 * time.Millisecond
	defaultHeartbeatTicks  = 2
	defaultElectionTicks   = 10
	defaultSnapshotEntries = 4096
	defaultLease           = 30 * time.Second
	defaultClaimWindow     = time.Hour
	defaultAuditWindow     = 30 * 24 * time.Hour

	defaultMaxBodyBytes      = 4 << 20
	defaultMaxHeaderBytes    = 32 << 10
	defaultReadHeaderTimeout = 5 * time.Second
	defaultIdleTimeout       = 2 * time.Minute
	defaultMaxConnections    = 10_000
	defaultQueueLength       = 1_000
	defaultDeadline          = time.Minute
	defaultRetryBudgetRatio  = 0.2
	defaultWatchSubset       = 20
	defaultPolicy            = "balanced"

	defaultCapacity    = 1
	defaultLoadTimeout = 5 * time.Minute
	defaultStrategy    = "swarm"
)

// withDefaults returns settings with all defaults, for all roles.
func withDefaults() *Settings {
	return &Settings{
		LogLevel:     defaultLogLevel,
		DrainTimeout: defaultDrainTimeout,
		Control: &Control{
			TickInterval:    defaultTickInterval,
			HeartbeatTicks:  defaultHeartbeatTicks,
			ElectionTicks:   defaultElectionTicks,
			SnapshotEntries: defaultSnapshotEntries,
			Lease:           defaultLease,
			ClaimWindow:     defaultClaimWindow,
			AuditWindow:     defaultAuditWindow,
		},
		Entry: &Entry{
			MaxBodyBytes:      defaultMaxBodyBytes,
			MaxHeaderBytes:    defaultMaxHeaderBytes,
			ReadHeaderTimeout: defaultReadHeaderTimeout,
			IdleTimeout:       defaultIdleTimeout,
			MaxConnections:    defaultMaxConnections,
			QueueLength:       defaultQueueLength,
			DefaultDeadline:   defaultDeadline,
			RetryBudgetRatio:  defaultRetryBudgetRatio,
			WatchSubset:       defaultWatchSubset,
			Policy:            defaultPolicy,
		},
		Agent: &Agent{
			Kind:        inventory.KindModel,
			Capacity:    defaultCapacity,
			LoadTimeout: defaultLoadTimeout,
			Strategy:    defaultStrategy,
		},
	}
}

// dropAbsentRoles removes the defaults of roles whose table the file does not have.
func dropAbsentRoles(doc *tomlfile.Document, s *Settings) {
	if !doc.Has("control") {
		s.Control = nil
	}
	if !doc.Has("entry") {
		s.Entry = nil
	}
	if !doc.Has("agent") {
		s.Agent = nil
	}
}
