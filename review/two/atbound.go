//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"lynxgate.dev/lynxgate/platform/standin"
)

// Three engines whose streams are framed as usual. Most streams are as long as their clients estimate; some are four times as long.
const (
	longEvents  = 84
	shortEvents = 20
	// stopBeforeBound is when the entry gets SIGTERM, counted from the acknowledgement of the new version.
	stopBeforeBound = 5 * time.Second
	// longFrom is when the first long stream is sent, counted from then, too; longGap is the time between two, longCount their number.
	longFrom  = 5800 * time.Millisecond
	longGap   = 8 * time.Millisecond
	longCount = 40
)

// wholeUntilBound has clients read streams of which some end shortly before the bound on the weights that write them, while an entry stops.
func wholeUntilBound(ctx context.Context, b *bed, trouble bool) ([]string, error) {
	b.fleet.VersionMs, b.fleet.Grace = int(versionMs.Milliseconds()), graceS
	origin := &slowOrigin{addr: b.fleet.IP() + ":8006", mbps: originMbps}
	if err := origin.start(); err != nil {
		return nil, err
	}
	b.document = modelDocument(origin, stepTime)
	if err := b.startDaemons(ctx, 3, 2); err != nil {
		return nil, err
	}
	for i := range 3 {
		err := b.addEngine(fmt.Sprintf("engine-%d", i+1), func(w *standin.Worker) {
			w.Slots, w.Queue = 16, 32
			w.Pieces, w.Events, w.Pause = pieces, longEvents, eventPause
		})
		if err != nil {
			return nil, err
		}
	}
	if err := b.awaitServed(ctx); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	s := &streams{bed: b, rotation: newRotation(ctx, b.record, b.fleet.Entries), seen: map[string]seen{}}
	callersCtx, endCallers := context.WithCancel(ctx)
	defer endCallers()
	for i := range callers {
		s.running.Go(func() { s.callShort(callersCtx, i) })
	}
	time.Sleep(2 * time.Second)
	named := time.Now()
	if trouble {
		body := fmt.Appendf(nil, `{"model":%q,"version":2}`, standin.Model)
		status, _, err := b.fleet.Operate(ctx, http.MethodPost, "/lynxgate/version-put", body)
		named = time.Now()
		b.logf("operator: version 2 of the weights named: status %d, %v", status, err)
		if err != nil || status != http.StatusOK {
			return nil, fmt.Errorf("version 2 not acknowledged: %d, %w", status, err)
		}
	}
	stopping := b.fleet.Entries[0]
	time.Sleep(time.Until(named.Add(stopBeforeBound)))
	s.stopped = time.Now()
	b.logf("platform: SIGTERM to entry %s", stopping)
	if err := syscall.Kill(b.fleet.Process(b.fleet.Name(stopping)).Pid(), syscall.SIGTERM); err != nil {
		return nil, err
	}
	for i := range longCount {
		time.Sleep(time.Until(named.Add(longFrom + time.Duration(i)*longGap)))
		s.running.Go(func() { s.once(&client{}, []string{stopping, b.fleet.Entries[1]}, stream("long-"+strconv.Itoa(i))) })
	}
	time.Sleep(time.Until(s.stopped.Add(graceS + time.Second)))
	endCallers()
	s.running.Wait()
	return s.breaks(stopping), ctx.Err()
}

// callShort sends one short stream after the other: the rest of one of which the client has the first events.
func (s *streams) callShort(ctx context.Context, n int) {
	c := &client{}
	defer c.drop()
	for i := 0; ctx.Err() == nil; i++ {
		r := stream(fmt.Sprintf("c%d-%d", n, i))
		r.fields["Last-Event-Id"] = strconv.Itoa(longEvents - shortEvents)
		s.once(c, []string{s.fleet.Entries[n%2], s.fleet.Entries[(n+1)%2]}, r)
		time.Sleep(30 * time.Millisecond)
	}
}
