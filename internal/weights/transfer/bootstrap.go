package transfer

import (
	"context"
	"errors"
	"time"

	"lynxgate.dev/lynxgate/internal/weights/manifest"
	"lynxgate.dev/lynxgate/internal/weights/origin"
	"lynxgate.dev/lynxgate/internal/weights/swarm"
)

const (
	// manifestFetchers ask the origin for the manifest at once; the others
	// take it from peers, and ask the origin one after another when that
	// takes too long.
	manifestFetchers = 4
	manifestDeadline = time.Second
	manifestPatience = time.Second
	// manifestID is the request id of a manifest; chunk requests begin at 1.
	manifestID = 0
)

// bootstrap is the search for the manifest. It is owned by the loop.
type bootstrap struct {
	encoded []byte
	// asked is the peer being asked, nil if none, since when.
	asked *link
	since time.Time
	// origin is true while the origin or the store is being asked.
	origin   bool
	fails    int
	notAsked time.Time
	tried    map[string]time.Time
}

// obtainManifest gets the manifest from the scratch folder, a peer or the
// origin, whichever has it first.
func (v *version) obtainManifest() ([]byte, error) {
	if m, ok := v.manager.store.Manifest(v.id); ok {
		return m.Encode()
	}
	for _, p := range swarm.Neighbours(v.manager.cfg.Strategy, v.self, v.now.Peers, VersionSeed(v.id)) {
		v.connect(p)
	}
	b := &bootstrap{tried: map[string]time.Time{}}
	began := v.manager.cfg.Now()
	ticker := time.NewTicker(swarm.TickInterval)
	defer ticker.Stop()
	for b.encoded == nil {
		v.searchManifest(b, began)
		select {
		case f := <-v.posted:
			f()
		case w := <-v.wanted:
			v.now = w
			for _, p := range swarm.Neighbours(v.manager.cfg.Strategy, v.self, w.Peers, VersionSeed(v.id)) {
				v.connect(p)
			}
		case <-ticker.C:
		case <-v.ctx.Done():
			return nil, v.ctx.Err()
		}
	}
	return b.encoded, nil
}

// searchManifest asks whoever may be asked now.
func (v *version) searchManifest(b *bootstrap, began time.Time) {
	now := v.manager.cfg.Now()
	if b.asked != nil && now.Sub(b.since) > manifestPatience {
		b.asked.cancel(manifestID)
		b.asked = nil
	}
	if b.asked == nil {
		v.askPeerForManifest(b, now)
	}
	rank := swarm.OriginRank(v.manager.cfg.Strategy, v.self, v.now.Peers, VersionSeed(v.id))
	turn := began.Add(time.Duration(rank/manifestFetchers) * manifestDeadline)
	if !b.origin && !now.Before(turn) && !now.Before(b.notAsked) {
		v.askOriginForManifest(b)
	}
}

func (v *version) askPeerForManifest(b *bootstrap, now time.Time) {
	for _, l := range v.peersToAsk() {
		if now.Sub(b.tried[l.peer.VM]) < manifestPatience {
			continue
		}
		b.asked, b.since = l, now
		b.tried[l.peer.VM] = now
		d := &download{
			release: func() {},
			id:      manifestID, digest: v.id, limit: manifest.MaxEncodedSize,
			progress: func() { v.post(func() { b.since = v.manager.cfg.Now() }) },
		}
		d.done = func(outcome swarm.Outcome, _ time.Duration) {
			v.post(func() {
				if b.asked == l {
					b.asked = nil
				}
				if outcome == swarm.Verified && v.verifiedManifest(d.buf) {
					b.encoded = d.buf
				}
			})
		}
		if l.ask(d) != nil {
			b.asked = nil
		}
		return
	}
}

func (v *version) askOriginForManifest(b *bootstrap) {
	base := v.ref.Origin
	if b.fails%2 == 1 && v.ref.Store != "" {
		base = v.ref.Store
	}
	b.origin = true
	ctx, cancel := context.WithTimeout(v.ctx, 10*manifestPatience)
	v.running.Add(1)
	go func() {
		defer v.running.Done()
		defer cancel()
		data, err := v.manager.origin.Manifest(ctx, base, v.ref.Model, v.ref.Version)
		v.post(func() { v.manifestFetched(b, data, err) })
	}()
}

func (v *version) manifestFetched(b *bootstrap, data []byte, err error) {
	b.origin = false
	if err == nil && v.verifiedManifest(data) {
		b.encoded = data
		return
	}
	if err == nil {
		err = manifest.ErrDigest
	}
	now := v.manager.cfg.Now()
	pause := min(retryMax, retryFirst<<min(b.fails, 10))
	var limited *origin.Limited
	if errors.As(err, &limited) {
		pause = max(pause, limited.RetryAfter)
	}
	b.fails++
	b.notAsked = now.Add(pause)
	v.update(func(p *Progress) { p.Err = err.Error() })
}
