package reservation

import (
	"slices"
	"time"
)

const (
	// lostTime is for how long all reports must miss requests before reservations past their lease are dropped.
	lostTime = 200 * time.Millisecond
	// releaseTime is how long the release of a request that has ended at the engine may take: some ms, from a busy entry some ten ms.
	releaseTime = 50 * time.Millisecond
)

// lostCount estimates how many open reservations belong to no request at the engine any more: their entry was killed, or has not
// received the grant. Reports don't tell requests apart, so a report that counts fewer requests than there are reservations may
// also miss one that is on its way, or one that has ended and whose release is on its way.
type lostCount struct {
	// recent are the latest reports in a row that each missed some request, in groups of releaseTime or more, the oldest first.
	recent []lostReports
}

// lostReports are consecutive reports.
type lostReports struct {
	// from is the time of the first one.
	from time.Time
	// least is the least number that one of them missed: what is on its way changes, what is lost does not.
	least int
	// sure is what the first one missed, without those that may have been on their way, to the engine or as releases.
	sure int
}

// observe records a report that missed this number of requests, sent of them granted within arrivalTime before. It forgets what is not
// needed for the last while.
func (c *lostCount) observe(now time.Time, while time.Duration, missing, sent int) {
	if missing <= 0 {
		c.recent = nil
		return
	}
	if n := len(c.recent); n == 0 || now.Sub(c.recent[n-1].from) >= releaseTime {
		c.recent = append(c.recent, lostReports{from: now, least: missing, sure: missing - sent})
	}
	last := &c.recent[len(c.recent)-1]
	last.least = min(last.least, missing)
	for len(c.recent) > 1 && now.Sub(c.recent[1].from) >= while {
		c.recent = c.recent[1:]
	}
}

// released records the release of a reservation that was granted at a time: its request may have ended before the last report.
func (c *lostCount) released(now, grantedAt time.Time) {
	if len(c.recent) == 0 {
		return
	}
	last := &c.recent[len(c.recent)-1]
	if !grantedAt.After(last.from.Add(-arrivalTime)) && now.Sub(last.from) < releaseTime {
		last.sure--
	}
}

// lost returns how many reservations are lost by the reports of the last while.
func (c *lostCount) lost(now time.Time, while time.Duration) int {
	if len(c.recent) < 2 || now.Sub(c.recent[0].from) < while {
		return 0
	}
	least, sure := c.recent[0].least, 0
	for i, reports := range c.recent {
		least = min(least, reports.least)
		if i < len(c.recent)-1 { // releases of the last ones may still come
			sure = max(sure, reports.sure)
		}
	}
	return min(least, sure)
}

// dropped records that this number of lost reservations was dropped.
func (c *lostCount) dropped(n int) {
	for i := range c.recent {
		c.recent[i].least -= n
		c.recent[i].sure -= n
	}
	for i, reports := range slices.Backward(c.recent) {
		if reports.least <= 0 {
			c.recent = c.recent[i+1:]
			return
		}
	}
}
