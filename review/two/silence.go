//go:build review

package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"time"

	"lynxgate.dev/lynxgate/platform/standin"
)

// Eight engines, of which three go on with requests whose connections are closed; the others drop them.
const (
	silentEngines = 8
	keepers       = 3
	silentCallers = 48
	namings       = 5
	// originDown is for how long the origin crashes when a version is named (srv_crash, 6 s): the pieces come after the bound.
	originDown = 6 * time.Second
	// silence is for how long the engines fall silent, and silenceEnd when they go on, counted from the bound.
	silence    = 1600 * time.Millisecond
	silenceEnd = 200 * time.Millisecond
	// beginSpread is the longest time that an engine takes to begin a request: 16 prompts of up to 3,880 tokens take 2 s at 30.6 a ms.
	beginSpread = 1500 * time.Millisecond
	// calm is for how long there are no requests between two rounds.
	calm      = 10 * time.Second
	slowPause = 100 * time.Millisecond
)

func beginDelay(r *http.Request) time.Duration {
	h := fnv.New32a()
	_, _ = io.WriteString(h, r.Header.Get(standin.HeaderRequestID))
	return time.Duration(h.Sum32()%uint32(beginSpread.Milliseconds())) * time.Millisecond
}

// silentAcrossTheBound names versions one after the other while the origin is down, and has the engines fall silent across each bound. Rule
// VERSION: no request begins on an older version later than version_ms after a newer one was acknowledged.
func silentAcrossTheBound(ctx context.Context, b *bed, trouble bool) (breaks []string, err error) {
	b.fleet.VersionMs, b.fleet.Grace = int(versionMs.Milliseconds()), graceS
	origin := &slowOrigin{addr: b.fleet.IP() + ":8006", mbps: fastMbps}
	if err := origin.start(); err != nil {
		return nil, err
	}
	b.document = modelDocument(origin, slowPause)
	if err := b.startDaemons(ctx, 3, 2); err != nil {
		return nil, err
	}
	for i := range silentEngines {
		err := b.addEngine(fmt.Sprintf("engine-%d", i+1), func(w *standin.Worker) {
			w.Slots, w.Queue, w.Keeps = 16, 32, standin.KeepNone
			if i < keepers {
				w.Keeps = standin.KeepAll
			}
			w.Pieces, w.Events, w.Pause, w.QueueDelay = pieces, streamEvents, slowPause, beginDelay
		})
		if err != nil {
			return nil, err
		}
	}
	if err := b.awaitServed(ctx); err != nil {
		return nil, err
	}
	s := &streams{bed: b, rotation: newRotation(ctx, b.record, b.fleet.Entries), seen: map[string]seen{}}
	bounds := map[uint64]time.Time{}
	for version := uint64(2); version < 2+namings && ctx.Err() == nil; version++ {
		time.Sleep(calm)
		origin.down.Store(true)
		time.AfterFunc(originDown, func() { origin.down.Store(false) })
		body := fmt.Appendf(nil, `{"model":%q,"version":%d}`, standin.Model, version)
		status, _, err := b.fleet.Operate(ctx, http.MethodPost, "/lynxgate/version-put", body)
		if err != nil || status != http.StatusOK {
			return nil, fmt.Errorf("version %d not acknowledged: %d, %w", version, status, err)
		}
		bound := time.Now().Add(versionMs)
		bounds[version] = bound
		b.logf("operator: version %d of the weights acknowledged; the origin is down for %v", version, originDown)
		for i := range silentCallers {
			s.running.Go(func() {
				c := &client{}
				defer c.drop()
				for n := 0; time.Now().Before(bound.Add(silenceEnd)) && ctx.Err() == nil; n++ {
					s.once(c, []string{s.fleet.Entries[i%2], s.fleet.Entries[(i+1)%2]}, stream(fmt.Sprintf("v%d-c%d-%d", version, i, n)))
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
		time.Sleep(time.Until(bound.Add(silenceEnd - silence)))
		if trouble {
			b.logf("engines: silent for %v", silence)
			for _, w := range b.engines {
				go w.StandStill(silence)
			}
		}
		s.running.Wait()
	}
	served := 0
	for _, a := range s.seen {
		if a.err == nil && a.status == http.StatusOK {
			served++
		}
	}
	if served == 0 {
		return nil, fmt.Errorf("no stream was served")
	}
	b.logf("%d streams served, %d refused", served, s.refused.Load())
	for _, w := range b.engines {
		for _, begin := range w.Begins() {
			b.logf("engine %s: began %s at %.3f on version %d", w.ID, begin.ID, begin.At.Sub(b.start).Seconds(), begin.Version)
			bound, named := bounds[begin.Version+1]
			if named && begin.At.After(bound) {
				breaks = append(breaks, fmt.Sprintf("%s began at %s on version %d, %d ms after version %d was acknowledged",
					begin.ID, w.ID, begin.Version, (versionMs+begin.At.Sub(bound)).Milliseconds(), begin.Version+1))
			}
		}
	}
	return breaks, ctx.Err()
}
