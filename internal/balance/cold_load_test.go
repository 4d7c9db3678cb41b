package balance

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/ledger"
)

// The simulated load: the servers of a zone come back cold all at once, and all entries have callers
// for many more requests than cold servers may get. Entries stand still and go on, or join knowing
// only some of the others. Arrivals are counted from the return on.
type coldLoad struct {
	entries int
	// how the zone comes back: after an evacuation, whose servers announce that they are cold after
	// announceDelay, or as new incarnations that announce it at once.
	evacuated bool
	// frozen is the share of entries that stand still for a second, joining the number that join.
	frozen  float64
	joining int
}

const (
	coldServers       = 6
	coldDemand        = 200 // requests per second and server
	coldTolerated     = 34.0
	coldOverage       = 1.5
	coldSlack         = 5
	coldSpan          = 3 * time.Second
	announceDelay     = 1200 * time.Millisecond
	coldTick          = 5 * time.Millisecond
	coldBound         = coldTolerated*coldOverage + coldSlack
	coldEntryLifetime = 10 * time.Second // before the return
)

type coldEntry struct {
	*Balancer
	name     string
	joinedAt time.Time
	// knows all entries from this time on, before that every second one.
	knowsAllAt time.Time
	choices    []Choice
	frozen     bool
	backlog    int
}

// play returns the most arrivals at a server in any second, and the mean per second and server.
func (l coldLoad) play(seed uint64, coldRate float64) (most int, mean float64) {
	draw := rand.New(rand.NewPCG(seed, 3))
	var entries []*coldEntry
	add := func(at, knowsAllAt time.Time) {
		name := fmt.Sprintf("entry-%02d", len(entries))
		b := New(Config{Name: name, Zone: []string{"a", "b", "c"}[len(entries)%3], VersionBound: 8 * time.Second, ColdOverage: coldOverage, ColdSlack: coldSlack, Logger: zerolog.Nop()})
		entries = append(entries, &coldEntry{Balancer: b, name: name, joinedAt: at, knowsAllAt: knowsAllAt})
	}
	for range l.entries {
		add(start.Add(-coldEntryLifetime), start.Add(-coldEntryLifetime))
	}
	for range l.joining {
		at := start.Add(time.Duration(draw.Int64N(int64(coldSpan))))
		add(at, at.Add(500*time.Millisecond))
	}
	viewOf := func(e *coldEntry, now time.Time) *follow.View {
		var records []*fleet.BackendServer
		for i := range coldServers {
			r := record(fmt.Sprint(i+1), "a", 1)
			r.SeenAt = now
			switch {
			case now.Before(start):
			case l.evacuated && now.Sub(start) < announceDelay:
			default:
				r.Cold = start.Add(coldSpan).Sub(now)
			}
			r.StartUnixMs = 1
			if !l.evacuated && !now.Before(start) {
				r.StartUnixMs = start.UnixMilli()
			}
			records = append(records, r)
		}
		v := view(records...)
		v.Table.Config.Services[0].ColdRate, v.Table.Config.Services[0].ColdStart = coldRate, coldSpan
		v.Entries = nil
		for i, other := range entries {
			if other == e || !now.Before(other.joinedAt) && (i%2 == 0 || !now.Before(e.knowsAllAt)) {
				v.Entries = append(v.Entries, follow.Entry{Name: other.name, Zone: other.cfg.Zone})
			}
		}
		v.Evacuations = map[string]ledger.Evacuation{"a": {Order: 1, InForce: l.evacuated && now.Before(start), AppliedAt: start}}
		return v
	}
	arrivals := make([][]time.Time, coldServers+1)
	for now := start.Add(-coldEntryLifetime); now.Before(start.Add(coldSpan)); now = now.Add(coldTick) {
		for i, e := range entries {
			if now.Before(e.joinedAt) {
				continue
			}
			if now.Equal(e.joinedAt) || now.Sub(start)%(100*time.Millisecond) == 0 || e.view.Table == nil {
				e.SetView(viewOf(e, now))
			}
			e.frozen = float64(i) < l.frozen*float64(l.entries) && now.Sub(start) > 500*time.Millisecond && now.Sub(start) < 1500*time.Millisecond
			if draw.Float64() < float64(coldDemand*coldServers)*coldTick.Seconds()/float64(len(entries)) {
				e.backlog++
			}
			if e.frozen {
				continue
			}
			for ; e.backlog > 0; e.backlog-- {
				c, _ := e.Pick(now, want())
				if c.Server == nil {
					continue
				}
				e.FirstEvent(&c, now)
				e.choices = append(e.choices, c)
				if !now.Before(start) {
					at := 0
					fmt.Sscan(c.Server.ID, &at)
					arrivals[at] = append(arrivals[at], now)
				}
			}
			if len(e.choices) > 0 && now.Sub(start)%(200*time.Millisecond) == 0 {
				for i := range e.choices {
					e.Done(&e.choices[i], now, ResultSucceeded)
				}
				e.choices = nil
			}
		}
	}
	total := 0
	for _, times := range arrivals {
		total += len(times)
		slices.SortFunc(times, func(a, b time.Time) int { return cmp.Compare(a.UnixNano(), b.UnixNano()) })
		for i, from := 0, 0; i < len(times); i++ {
			for times[i].Sub(times[from]) >= time.Second {
				from++
			}
			most = max(most, i-from+1)
		}
	}
	return most, float64(total) / coldServers / coldSpan.Seconds()
}

func TestColdServersGetNoMoreThanTheyTolerate(t *testing.T) {
	for name, load := range map[string]coldLoad{
		"12 entries after an evacuation":        {entries: 12, evacuated: true},
		"40 entries after an evacuation":        {entries: 40, evacuated: true},
		"12 entries after a loss of the zone":   {entries: 12},
		"40 entries after a loss of the zone":   {entries: 40},
		"half of 40 entries stand still":        {entries: 40, evacuated: true, frozen: 0.5},
		"a third of 12 entries stand still":     {entries: 12, frozen: 0.34},
		"8 entries join 4, after an evacuation": {entries: 4, evacuated: true, joining: 8},
		"20 entries join 20":                    {entries: 20, joining: 20},
		"2 entries, of which one stands still":  {entries: 2, frozen: 0.5},
		"one entry alone":                       {entries: 1, evacuated: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				most, mean := load.play(seed, coldTolerated)
				t.Logf("seed %d: most %d of %g, mean %.1f per second", seed, most, coldBound, mean)
				assert.LessOrEqual(t, float64(most), coldBound, "seed %d", seed)
				assert.Greater(t, mean, 0.35*coldTolerated, "cold servers are used, seed %d", seed)
			}
		})
	}
	most, _ := coldLoad{entries: 12, evacuated: true}.play(1, 0)
	assert.Greater(t, float64(most), 1.5*coldBound, "without the limit")
}
