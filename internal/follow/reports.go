package follow

import "time"

// Intervals of agents' reports, which entries receive through the control servers. The age from
// which on an entry counts reports as stopped follows from them.
const (
	// MinReportInterval is the shortest ReportInterval: an engine receives a new request every
	// 60 ms. The call of the engine is cheap because it runs on the same machine.
	MinReportInterval = 100 * time.Millisecond
	// maxReportInterval is the longest ReportInterval.
	maxReportInterval = 500 * time.Millisecond
	// reportingServers is the number of engines up to which MinReportInterval applies.
	reportingServers = 40
	// ReportForwardInterval is how long control servers batch reports into one update, by which
	// entries choose servers.
	ReportForwardInterval = 100 * time.Millisecond
)

// ReportInterval returns how often an agent asks its engine for its state and reports it, if its
// service has this many engines. The interval grows in proportion to them, to bound the entries'
// CPU time for reports.
func ReportInterval(servers int) time.Duration {
	return min(maxReportInterval, MinReportInterval*time.Duration(max(servers, reportingServers))/reportingServers)
}
