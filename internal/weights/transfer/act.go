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

// memoryRetry is after how long a chunk is asked for again for which there was no memory:
// a write of a chunk that holds its buffer takes some milliseconds on a sound disk.
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
		v.manager.metrics.aside.Inc()
		log.Warn().Str("version", v.ref.Ref()).Str("vm", a.VM).Dur("for", a.For).Msg("peer set aside for wrong answers")
	case swarm.Stalled:
		v.manager.metrics.stalled.Inc()
	}
}

// connect brings up a link to a peer, unless there is one.
func (v *version) connect(p swarm.Peer) {
	if v.links[p.VM] != nil {
		return
	}
	ctx, cancel := context.WithCancel(v.ctx)
	l := &link{manager: v.manager, peer: p, id: v.id, stop: cancel, downloads: map[uint64]*download{}}
	l.haves = func(u *rpc.HaveUpdate) { v.post(func() { v.onHaves(l, u) }) }
	l.queue = func(n int) {
		v.post(func() { v.step(swarm.PeerQueue{VM: p.VM, Queue: n}) })
	}
	l.lost = func() { v.post(func() { v.onLost(l) }) }
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
		delete(v.haves, vm)
	}
}

// onHaves takes a peer's update; before the manifest is known it is kept.
func (v *version) onHaves(l *link, u *rpc.HaveUpdate) {
	if v.links[l.peer.VM] != l {
		return // of a link that has been given up
	}
	if v.state != nil {
		v.step(peerHavesEvent(l.peer.VM, u, v.files.Manifest().Len()))
		return
	}
	h := v.haves[l.peer.VM]
	if h == nil || u.GetReset_() {
		h = &peerHaves{}
		v.haves[l.peer.VM] = h
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

// replayHaves gives the scheduler what peers told before there was one.
func (v *version) replayHaves(chunks int) {
	for vm, h := range v.haves {
		for _, u := range h.updates {
			v.step(peerHavesEvent(vm, u, chunks))
		}
	}
	v.haves = map[string]*peerHaves{}
}

func (v *version) onLost(l *link) {
	if v.links[l.peer.VM] != l {
		return
	}
	delete(v.haves, l.peer.VM)
	v.step(swarm.PeerLost{VM: l.peer.VM})
}

// request asks a peer for a chunk.
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
		// Fetches that were given up still use their buffers.
		v.step(swarm.Ended{ID: a.ID, Outcome: swarm.Busy, RetryAfter: memoryRetry})
		return
	}
	d := &download{
		id:       a.ID,
		digest:   m.Chunks[a.Index],
		buf:      v.manager.chunks.get(length)[:0],
		limit:    length,
		held:     uint32(1000 * v.state.Held() / m.Len()),
		progress: func() { v.post(func() { v.step(swarm.Progress{ID: a.ID}) }) },
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
		v.keep(files, a, d.buf, false)
	}
	if l.ask(d) != nil {
		d.release()
		v.step(swarm.Ended{ID: a.ID, Outcome: swarm.Failed})
		return
	}
	v.fetches[a.ID] = func() { l.cancel(a.ID) }
}

// fetch asks the origin or the weight store for a chunk.
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
			v.postEnded(files, a.ID, swarm.Dropped, 0) // given up before it began
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
		v.keep(files, swarm.Request{ID: a.ID, Index: a.Index}, buf, true)
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

// keep verifies and stores a chunk, on the goroutine that received it.
func (v *version) keep(files *store.Version, a swarm.Request, data []byte, fromOrigin bool) {
	err := files.WriteChunk(a.Index, data)
	if errors.Is(err, store.ErrChunkDigest) {
		v.manager.metrics.corrupt.Inc()
		v.postEnded(files, a.ID, swarm.Corrupt, 0)
		return
	}
	if err != nil {
		v.post(func() {
			if v.files == files {
				v.fault = err
			}
		})
		v.postEnded(files, a.ID, swarm.Dropped, 0)
		return
	}
	length := int64(len(data))
	v.post(func() { v.kept(files, a, length, fromOrigin) })
}

func (v *version) kept(files *store.Version, a swarm.Request, length int64, fromOrigin bool) {
	if v.files != files {
		return // of an attempt that has been given up
	}
	v.hub.addHeld(a.Index)
	v.endFetch(a.ID, swarm.Verified, 0)
	v.update(func(p *Progress) {
		p.Held = files.Count()
		if fromOrigin {
			p.OriginBytes += length
		} else {
			p.PeerBytes += length
		}
	})
}

// postEnded tells the loop how a request of the attempt with files ended.
func (v *version) postEnded(files *store.Version, id uint64, outcome swarm.Outcome, retry time.Duration) {
	v.post(func() {
		if v.files == files {
			v.endFetch(id, outcome, retry)
		}
	})
}

func (v *version) endFetch(id uint64, outcome swarm.Outcome, retry time.Duration) {
	delete(v.fetches, id)
	v.step(swarm.Ended{ID: id, Outcome: outcome, RetryAfter: retry})
}

func (v *version) cancelFetch(id uint64) {
	if cancel := v.fetches[id]; cancel != nil {
		delete(v.fetches, id)
		cancel()
	}
}

// peersToAsk returns the peers that are known to have the manifest.
func (v *version) peersToAsk() []*link {
	var list []*link
	for vm, h := range v.haves {
		if l := v.links[vm]; l != nil && len(h.updates) > 0 && len(h.updates[0].GetBitmap()) > 0 {
			list = append(list, l)
		}
	}
	return list
}

// verifiedManifest says whether data is the manifest that is wanted.
func (v *version) verifiedManifest(data []byte) bool { return manifest.Sum(data) == v.id }
