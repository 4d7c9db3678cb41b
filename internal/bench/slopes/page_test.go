package main

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// sample returns results whose costs grow in known straight lines.
func sample() *results {
	r := &results{Run: runInfo{Commit: "abc1234"}}
	for _, servers := range []int{3, 5} {
		for _, agents := range []int{10, 20, 40} {
			s := sizeResult{Servers: servers, Entries: agents / 2, Agents: agents, Idle: bill{}, Change: bill{}}
			for _, role := range roles {
				s.Idle[role] = usage{Seconds: 10, OSCPU: 0.01, OSRSS: 20 << 20, BytesIn: float64(100 * agents), Watchers: float64(agents / 2)}
				s.Change[role] = usage{BytesIn: s.daemons()}
			}
			r.Sizes = append(r.Sizes, s)
		}
	}
	for _, keys := range []int{0, 1000} {
		u := usage{Seconds: 1, OSRSS: float64(1<<20 + 1000*keys)}
		r.Keys = append(r.Keys, keyResult{Keys: keys, Changes: 1, Changing: bill{leader: u, follower: u, entry: u, agent: u}})
	}
	for _, n := range []float64{0, 100} {
		u := usage{Seconds: 1, OSCPU: n / 1e4}
		p := pathResult{Streams: n, PerSecond: n, Use: bill{entry: u, agent: u}}
		r.Streams, r.Requests = append(r.Streams, p), append(r.Requests, p)
	}
	r.Restart = &restartResult{Agent: usage{BytesIn: 4096}, Others: bill{}}
	r.fit()
	return r
}

func TestSlopesAndTarget(t *testing.T) {
	r := sample()
	watched := r.slope(entry, "bytes_in")
	require.InDelta(t, 10, watched.Line.Slope, 1e-9, "an entry watches all agents and gets 10 bytes/s from each")
	require.Equal(t, perWatched, watched.Per)
	require.InDelta(t, 10*targetWatched, watched.value(), 1e-6)
	require.Len(t, r.slope(leader, "bytes_in").Points, 3, "only fleets of three control servers")
	require.InDelta(t, 0, r.slope(leader, "server_bytes_in").Line.Slope, 1e-9)
	require.InDelta(t, 1, r.slope(leader, "change_bytes_in").Line.Slope, 1e-9)
	require.InDelta(t, 1000, r.slope(agent, "key_rss").Line.Slope, 1e-9)

	noise := slope{Target: 1000, Points: []point{{1, 10}, {2, 12}, {3, 11}}}
	noise.Line = fitLine(noise.Points)
	require.True(t, noise.level())
	require.InDelta(t, 11, noise.value(), 1e-9, "noise is not extrapolated")

	x := r.target(entry)
	require.InDelta(t, 10*targetWatched+float64(targetDaemons)*revisionsPerDay/secondsPerDay, x.in, 1e-6)
	require.InDelta(t, 20<<20+1000*targetKeys, x.rss, 1)
}

func TestEverySectionIsWrittenBetweenItsMarkers(t *testing.T) {
	page, err := os.ReadFile("../../../docs/CAPACITY.md")
	require.NoError(t, err)
	path := t.TempDir() + "/page.md"
	require.NoError(t, os.WriteFile(path, page, 0o644))
	require.NoError(t, rewritePage(path, sample()))
	once, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, rewritePage(path, sample()))
	twice, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(once), string(twice))
	require.Contains(t, string(once), "commit abc1234")
	for _, s := range sections {
		require.NotEmpty(t, strings.TrimSpace(s.write(sample())), s.name)
	}
}

func TestMissingMarkersAreRefused(t *testing.T) {
	_, err := replaceSection("no markers here", "run", "body")
	require.ErrorIs(t, err, errNoMarkers)
	_, err = replaceSection("<!-- end run --> <!-- begin run: written by make bench-slopes -->", "run", "body")
	require.ErrorIs(t, err, errNoMarkers)
}

func TestTableAndAmounts(t *testing.T) {
	table := newTable("role", "CPU")
	table.add("entry", amount(0.0123, "cores"))
	require.Equal(t, "| role | CPU |\n| --- | --- |\n| entry | 1.23% of a core |\n", table.String())
	require.Equal(t, "2.00 KB/s", amount(2048, "bytes/s"))
	require.Equal(t, "-1.50 MB", amount(-1.5*(1<<20), "bytes"))
	require.Equal(t, "12.0 ms", amount(0.012, "core seconds"))
	require.Equal(t, "0.0012", digits(0.0012))
	require.Equal(t, "fits: 50% of the limit", verdict(1, 2))
	require.Contains(t, verdict(3, 2), "does not fit")
}
