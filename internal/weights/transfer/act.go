package transfer

import (
	"context"
	"errors"
	"time"

	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/weights/manifest"
	"lynxgate.dev/lynxgate/internal/weights/origin"
	"lynxgate.dev/lynxgate/internal/weights/store"
	"lynxgate.dev/lynxgate/internal/weights/swarm"
)

// memoryRetry is the delay before a request that found no free memory is retried: the
// write that holds a buffer takes some milliseconds on a healthy disk.
const memoryRetry = 20 * time.Millisecond

// act carries out one action of the scheduler.
func (v *version) act(action swarm.Action) {
	log := &v.manager.cfg.Logger
	switch a := action.(type) {
	case swarm.Connect:
		v.connect(a.Peer)
	case swarm.Disconnect:
		v.disconnect(a.VM)
	case swarm.Request:
		v.request(a)
	case swarm.Fetch:
		v.fetch(a)
	case swarm.Cancel:
		v.cancelFetch(a.ID)
	case swarm.Seen:
		v.hub.addSeen(a.Indexes)
	case swarm.SetAside:
		v.manager.metrics.ejected.Inc()
		log.Warn().Str("version", v.ref.Ref()).Str("vm", a.VM).Dur("for", a.For).Msg("peer ejected for wrong answers")
	case swarm.Stalled:
		v.manager.metrics.stalled.Inc()
	}
}

// connect starts a link to a peer, unless there is one.
func (v *version) connect(p swarm.Peer) {
	if v.links[p.VM] != nil {
		return
	}
	ctx, cancel := context.WithCancel(v.ctx)
	l := &link{manager: v.manager, peer: p, id: v.id, stop: cancel, downloads: map[uint64]*download{}}
	l.onUpdate = func(u *rpc.HaveUpdate) { v.post(func() { v.onHaves(l, u) }) }
	l.onQueue = func(n int) {
		v.post(func() { v.step(swarm.PeerQueue{VM: p.VM, Queue: n}) })
	}
	l.onLost = func() { v.post(func() { v.onLost(l) }) }
	v.links[p.VM] = l
	v.running.Add(1)
	go func() {
		defer v.running.Done()
		l.run(ctx)
	}()
}

func (v *version) disconnect(vm string) {
	if l := v.links[vm]; l != nil {
		l.stop()
		delete(v.links, vm)
		delete(v.earlyHaves, vm)
	}
}

// onHaves handles a peer's update. Before the manifest is known, updates are
// buffered.
func (v *version) onHaves(l *link, u *rpc.HaveUpdate) {
	if v.links[l.peer.VM] != l {
		return // of a link that was closed
	}
	if v.state != nil {
		v.step(peerHavesEvent(l.peer.VM, u, v.files.Manifest().Len()))
		return
	}
	h := v.earlyHaves[l.peer.VM]
	if h == nil || u.GetReset_() {
		h = &peerHaves{}
		v.earlyHaves[l.peer.VM] = h
	}
	h.updates = append(h.updates, u)
}

func peerHavesEvent(vm string, u *rpc.HaveUpdate, chunks int) swarm.PeerHaves {
	ev := swarm.PeerHaves{
		VM: vm, Reset: u.GetReset_(), Added: u.GetAdded(), SeenAdded: u.GetSeen(), Queue: int(u.GetQueue()),
	}
	if ev.Reset {
		ev.Holds = swarm.ParseBits(u.GetBitmap(), chunks)
		ev.Seen = swarm.ParseBits(u.GetSeenBitmap(), chunks)
	}
	return ev
}

// replayHaves passes the buffered updates of peers to the scheduler.
func (v *version) replayHaves(chunks int) {
	for vm, h := range v.earlyHaves {
		for _, u := range h.updates {
			v.step(peerHavesEvent(vm, u, chunks))
		}
	}
	v.earlyHaves = map[string]*peerHaves{}
}

func (v *version) onLost(l *link) {
	if v.links[l.peer.VM] != l {
		return
	}
	delete(v.earlyHaves, l.peer.VM)
	v.step(swarm.PeerLost{VM: l.peer.VM})
}

// request requests a chunk from a peer.
func (v *version) request(a swarm.Request) {
	l := v.links[a.VM]
	if l == nil {
		v.step(swarm.Ended{ID: a.ID, Outcome: swarm.Failed})
		return
	}
	m, files := v.files.Manifest(), v.files
	length := m.ChunkLen(a.Index)
	memory := v.manager.memoryFor(length)
	if !v.manager.memory.TryAcquire(memory) {
		// Cancelled fetches may still use their buffers.
		v.step(swarm.Ended{ID: a.ID, Outcome: swarm.Busy, RetryAfter: memoryRetry})
		return
	}
	d := &download{
		id:            a.ID,
		digest:        m.Chunks[a.Index],
		buf:           v.manager.chunks.get(length)[:0],
		limit:         length,
		progressMilli: uint32(1000 * v.state.Held() / m.Len()),
		progress:      func() { v.post(func() { v.step(swarm.Progress{ID: a.ID}) }) },
	}
	d.release = func() {
		v.manager.chunks.put(d.buf)
		v.manager.memory.Release(memory)
	}
	d.done = func(outcome swarm.Outcome, retry time.Duration) {
		defer d.release()
		if outcome != swarm.Verified {
			v.postEnded(files, a.ID, outcome, retry)
			return
		}
		v.storeChunk(files, a, d.buf, false)
	}
	if l.request(d) != nil {
		d.release()
		v.step(swarm.Ended{ID: a.ID, Outcome: swarm.Failed})
		return
	}
	v.fetches[a.ID] = func() { l.cancel(a.ID) }
}

// fetch requests a chunk from the origin or the weight store.
func (v *version) fetch(a swarm.Fetch) {
	ctx, cancel := context.WithCancel(v.ctx)
	v.fetches[a.ID] = cancel
	base := v.ref.Origin
	if a.Store {
		base = v.ref.Store
	}
	m, files := v.files.Manifest(), v.files
	v.running.Add(1)
	go func() {
		defer v.running.Done()
		defer cancel()
		length := m.ChunkLen(a.Index)
		memory := v.manager.memoryFor(length)
		if err := v.manager.memory.Acquire(ctx, memory); err != nil {
			v.postEnded(files, a.ID, swarm.Dropped, 0) // cancelled while it waited for memory
			return
		}
		defer v.manager.memory.Release(memory)
		buf := v.manager.chunks.get(length)
		defer v.manager.chunks.put(buf)
		progress := func(int) { v.post(func() { v.step(swarm.Progress{ID: a.ID}) }) }
		err := v.manager.origin.Range(ctx, base, m.Model, m.Version, buf, m.Offset(a.Index), progress)
		if err != nil {
			v.fetchFailed(files, a.ID, err)
			return
		}
		v.storeChunk(files, swarm.Request{ID: a.ID, Index: a.Index}, buf, true)
	}()
}

func (v *version) fetchFailed(files *store.Version, id uint64, err error) {
	var limited *origin.Limited
	if errors.As(err, &limited) {
		v.manager.metrics.limited.Inc()
		v.postEnded(files, id, swarm.Limited, limited.RetryAfter)
		return
	}
	v.postEnded(files, id, swarm.Failed, 0)
}

// storeChunk verifies and stores a chunk, on the goroutine that received it.
func (v *version) storeChunk(files *store.Version, a swarm.Request, data []byte, fromOrigin bool) {
	err := files.WriteChunk(a.Index, data)
	if errors.Is(err, store.ErrChunkDigest) {
		v.manager.metrics.corrupt.Inc()
		v.postEnded(files, a.ID, swarm.Corrupt, 0)
		return
	}
	if err != nil {
		v.post(func() {
			if v.files == files {
				v.failure = err
			}
		})
		v.postEnded(files, a.ID, swarm.Dropped, 0)
		return
	}
	length := int64(len(data))
	v.post(func() { v.chunkStored(files, a, length, fromOrigin) })
}

func (v *version) chunkStored(files *store.Version, a swarm.Request, length int64, fromOrigin bool) {
	if v.files != files {
		return // of an earlier attempt
	}
	v.hub.addHeld(a.Index)
	v.requestEnded(a.ID, swarm.Verified, 0)
	v.update(func(p *Progress) {
		p.Held = files.Count()
		if fromOrigin {
			p.OriginBytes += length
		} else {
			p.PeerBytes += length
		}
	})
}

// postEnded passes the outcome of a request to the loop, which ignores it unless
// files is of the present attempt.
func (v *version) postEnded(files *store.Version, id uint64, outcome swarm.Outcome, retry time.Duration) {
	v.post(func() {
		if v.files == files {
			v.requestEnded(id, outcome, retry)
		}
	})
}

func (v *version) requestEnded(id uint64, outcome swarm.Outcome, retry time.Duration) {
	delete(v.fetches, id)
	v.step(swarm.Ended{ID: id, Outcome: outcome, RetryAfter: retry})
}

func (v *version) cancelFetch(id uint64) {
	if cancel := v.fetches[id]; cancel != nil {
		delete(v.fetches, id)
		cancel()
	}
}

// peersWithManifest returns the peers that are known to have the manifest.
func (v *version) peersWithManifest() []*link {
	var list []*link
	for vm, h := range v.earlyHaves {
		if l := v.links[vm]; l != nil && len(h.updates) > 0 && len(h.updates[0].GetBitmap()) > 0 {
			list = append(list, l)
		}
	}
	return list
}

// verifiedManifest reports whether data has the digest of the wanted manifest.
func (v *version) verifiedManifest(data []byte) bool { return manifest.Sum(data) == v.id }
