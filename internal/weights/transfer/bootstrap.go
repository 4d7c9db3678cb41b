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
	// The first manifestFetchers members in origin order fetch the manifest
	// from the origin at once. The others request it from peers, and fetch it
	// from the origin too after manifestStagger for each manifestFetchers
	// members ahead of them.
	manifestFetchers = 4
	manifestStagger  = time.Second
	manifestTimeout  = time.Second
	// manifestID is the request id of a manifest; ids of chunk requests start
	// at 1.
	manifestID = 0
)

// manifestSearch is the state of the search for the manifest. It is owned by the
// loop.
type manifestSearch struct {
	encoded []byte
	// peer is the peer that the manifest was requested from, nil if none;
	// since is when it last made progress.
	peer  *link
	since time.Time
	// origin is true during a fetch from the origin or the store.
	origin    bool
	failures  int
	notBefore time.Time
	tried     map[string]time.Time
}

// obtainManifest returns the manifest from the scratch folder, a peer or the
// origin, whichever supplies it first.
func (v *version) obtainManifest() ([]byte, error) {
	if m, ok := v.manager.store.Manifest(v.id); ok {
		return m.Encode()
	}
	for _, p := range swarm.Neighbours(v.manager.cfg.Strategy, v.self, v.current.Peers, VersionSeed(v.id)) {
		v.connect(p)
	}
	b := &manifestSearch{tried: map[string]time.Time{}}
	began := v.manager.cfg.Now()
	ticker := time.NewTicker(swarm.TickInterval)
	defer ticker.Stop()
	for b.encoded == nil {
		v.searchManifest(b, began)
		select {
		case f := <-v.posted:
			f()
		case w := <-v.wanted:
			v.current = w
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

// searchManifest starts the requests for the manifest that are due now.
func (v *version) searchManifest(b *manifestSearch, began time.Time) {
	now := v.manager.cfg.Now()
	if b.peer != nil && now.Sub(b.since) > manifestTimeout {
		b.peer.cancel(manifestID)
		b.peer = nil
	}
	if b.peer == nil {
		v.requestManifest(b, now)
	}
	rank := swarm.OriginRank(v.manager.cfg.Strategy, v.self, v.current.Peers, VersionSeed(v.id))
	originTime := began.Add(time.Duration(rank/manifestFetchers) * manifestStagger)
	if !b.origin && !now.Before(originTime) && !now.Before(b.notBefore) {
		v.fetchManifest(b)
	}
}

func (v *version) requestManifest(b *manifestSearch, now time.Time) {
	for _, l := range v.peersWithManifest() {
		if now.Sub(b.tried[l.peer.VM]) < manifestTimeout {
			continue
		}
		b.peer, b.since = l, now
		b.tried[l.peer.VM] = now
		d := &download{
			release: func() {},
			id:      manifestID, digest: v.id, limit: manifest.MaxEncodedSize,
			progress: func() { v.post(func() { b.since = v.manager.cfg.Now() }) },
		}
		d.done = func(outcome swarm.Outcome, _ time.Duration) {
			v.post(func() {
				if b.peer == l {
					b.peer = nil
				}
				if outcome == swarm.Verified && v.verifiedManifest(d.buf) {
					b.encoded = d.buf
				}
			})
		}
		if l.request(d) != nil {
			b.peer = nil
		}
		return
	}
}

func (v *version) fetchManifest(b *manifestSearch) {
	base := v.ref.Origin
	if b.failures%2 == 1 && v.ref.Store != "" {
		base = v.ref.Store
	}
	b.origin = true
	ctx, cancel := context.WithTimeout(v.ctx, 10*manifestTimeout)
	v.running.Add(1)
	go func() {
		defer v.running.Done()
		defer cancel()
		data, err := v.manager.origin.Manifest(ctx, base, v.ref.Model, v.ref.Version)
		v.post(func() { v.manifestFetched(b, data, err) })
	}()
}

func (v *version) manifestFetched(b *manifestSearch, data []byte, err error) {
	b.origin = false
	if err == nil && v.verifiedManifest(data) {
		b.encoded = data
		return
	}
	if err == nil {
		err = manifest.ErrDigest
	}
	now := v.manager.cfg.Now()
	pause := min(retryMax, retryFirst<<min(b.failures, 10))
	var limited *origin.Limited
	if errors.As(err, &limited) {
		pause = max(pause, limited.RetryAfter)
	}
	b.failures++
	b.notBefore = now.Add(pause)
	v.update(func(p *Progress) { p.Err = err.Error() })
}
