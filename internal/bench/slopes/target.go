package main

// The size that the system shall carry in two years.
const (
	targetEntries = 380
	targetWorkers = 600
	targetVMs     = 1100
	targetZones   = 12
	targetRegions = 3

	targetRequestsPerSecond = 2000
	targetTokensPerSecond   = 840_000
	targetTokenSeconds      = 0.057
	targetChangesPerDay     = 520
	targetRestartsPerDay    = 150
	targetFailuresPerDay    = 7
	// targetControl is how many of the six VMs that may be set aside hold
	// control servers.
	targetControl = 5

	// The limits for control on each daemon.
	limitCores          = 0.03
	limitRSS            = 32 << 20
	limitBytesPerSecond = 2 << 10
)

// Assumptions where the target leaves a number open.
const (
	// assumedSubset is how many agents of a service an entry watches.
	assumedSubset = 20
	// assumedServices: one of all workers, and two plain ones that share the
	// other VMs, as in today's deployments.
	assumedServices = 3
	// assumedOrganisations, assumedModels and assumedRules in the inventory.
	assumedOrganisations = 100
	assumedModels        = 50
	assumedRules         = 20
)

// What the numbers come to.
const (
	// targetDaemons announce themselves.
	targetDaemons = targetEntries + targetVMs + targetControl
	// targetWatched is how many agents an entry watches.
	targetWatched = assumedSubset * assumedServices
	// targetWatchers is how many entries watch an agent of the smaller
	// services, which are watched most.
	targetWatchers = targetEntries * assumedSubset / ((targetVMs - targetWorkers) / (assumedServices - 1))
	// targetAgentKeys are held by an agent: assignments and model versions.
	targetAgentKeys = targetVMs + assumedModels
	// targetKeys are held by an entry and a control server: a record of the
	// VM, of its member and of its assignment, and the rest.
	targetKeys = 3*targetVMs + targetZones + assumedServices + assumedOrganisations + assumedModels + assumedRules
	// targetStreams are answers streamed at once over the system.
	targetStreams = targetTokensPerSecond * targetTokenSeconds
)
