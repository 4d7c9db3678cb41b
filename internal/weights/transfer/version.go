package transfer

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/weights/manifest"
	"lynxgate.dev/lynxgate/internal/weights/store"
	"lynxgate.dev/lynxgate/internal/weights/swarm"
)

const (
	// retryFirst and retryMax bound the backoff after a failed attempt to stage
	// a version.
	retryFirst = 250 * time.Millisecond
	retryMax   = 10 * time.Second
	// intactEvery is how often the files of a version are checked.
	intactEvery = time.Second
	eventBuffer = 256
)

// version stages one wanted model version on this VM. Its loop (run) owns the
// swarm state; links and fetches pass results to it by posting functions.
type version struct {
	manager *Manager
	ref     inventory.ModelVersion
	id      manifest.Digest
	badID   error
	self    swarm.Peer
	hub     *hub
	ctx     context.Context
	cancel  context.CancelFunc
	ended   chan struct{}

	posted chan func()
	wanted chan Wanted

	// progress is read by Status.
	progress atomic.Pointer[Progress]

	// The fields below are owned by the loop.
	current    Wanted
	links      map[string]*link
	running    sync.WaitGroup // links and fetches
	earlyHaves map[string]*peerHaves
	files      *store.Version
	state      *swarm.State
	fetches    map[uint64]func() // cancel functions by request id
	events     []swarm.Event     // not yet passed to the scheduler
	batching   bool              // events are collected; no scheduler run now
	failure    error             // fails the present attempt
}

// peerHaves buffers the updates that a peer has sent before the manifest was
// known here.
type peerHaves struct {
	updates []*rpc.HaveUpdate
}

func newVersion(m *Manager, w Wanted) *version {
	ctx, cancel := context.WithCancel(m.ctx)
	v := &version{
		manager:    m,
		ref:        w.Ref,
		self:       swarm.Peer{VM: m.cfg.VM, Zone: m.cfg.Zone},
		ctx:        ctx,
		cancel:     cancel,
		ended:      make(chan struct{}),
		posted:     make(chan func(), eventBuffer),
		wanted:     make(chan Wanted, 1),
		current:    w,
		links:      map[string]*link{},
		earlyHaves: map[string]*peerHaves{},
	}
	v.id, v.badID = manifest.ParseDigest(w.Ref.Manifest)
	v.progress.Store(&Progress{Model: w.Ref.Model, Version: w.Ref.Version})
	return v
}

// VersionSeed makes all members of a swarm compute the same hashes.
func VersionSeed(id manifest.Digest) uint64 { return binary.LittleEndian.Uint64(id[:8]) }

func (v *version) snapshot() Progress { return *v.progress.Load() }

// update changes the progress and signals the change. Only the loop may call it.
func (v *version) update(change func(p *Progress)) {
	p := v.snapshot()
	change(&p)
	v.progress.Store(&p)
	v.manager.signal()
}

// setWanted passes new peers or a new preference to the loop, in place of an
// earlier value that the loop has not received yet.
func (v *version) setWanted(w Wanted) {
	select {
	case <-v.wanted:
	default:
	}
	v.wanted <- w
}

// post runs f in the loop. It does nothing once the version has been stopped.
func (v *version) post(f func()) {
	select {
	case v.posted <- f:
	case <-v.ctx.Done():
	}
}

// run attempts to stage the version, with backoff, until it is no longer wanted.
func (v *version) run() {
	defer v.running.Wait()
	defer v.cancel()
	if v.badID != nil {
		v.update(func(p *Progress) { p.Err = v.badID.Error() })
		<-v.ctx.Done()
		return
	}
	pause := retryFirst
	for v.ctx.Err() == nil {
		began := time.Now()
		err := v.attempt()
		v.reset()
		if v.ctx.Err() != nil {
			return
		}
		v.fail(err)
		if time.Since(began) > retryMax {
			pause = retryFirst
		}
		waitAtMost(v.ctx, nil, pause)
		pause = min(retryMax, 2*pause)
	}
}

func (v *version) fail(err error) {
	v.manager.cfg.Logger.Warn().Str("version", v.ref.Ref()).Err(err).Msg("weights not staged; retrying")
	v.update(func(p *Progress) {
		p.Staged, p.Path, p.Held, p.Err = false, "", 0, err.Error()
	})
}

// reset releases all resources of an attempt.
func (v *version) reset() {
	for vm := range v.links {
		v.disconnect(vm)
	}
	for id := range v.fetches {
		v.cancelFetch(id)
	}
	v.state = nil
	v.failure = nil
	v.hub.reset(0, nil)
	v.manager.setManifest(v.id, nil)
	if v.files != nil {
		v.files.Close()
		v.files = nil
	}
}

// attempt obtains the manifest, fetches the chunks, stages the file and then
// monitors it. It returns after a failure or when the version is stopped.
func (v *version) attempt() error {
	v.fetches = map[uint64]func(){}
	v.earlyHaves = map[string]*peerHaves{}
	encoded, err := v.obtainManifest()
	if err != nil {
		return err
	}
	if v.files, err = v.manager.store.OpenVersion(v.id, encoded); err != nil {
		return err
	}
	m := v.files.Manifest()
	if m.Model != v.ref.Model || m.Version != v.ref.Version {
		return fmt.Errorf("manifest is of %s@%s", m.Model, m.Version)
	}
	v.manager.setManifest(v.id, encoded)
	v.hub.reset(m.Len(), v.files.Held())
	v.update(func(p *Progress) {
		p.Held, p.Total, p.Err = v.files.Count(), m.Len(), ""
		p.Digest = m.Digest.String()
	})
	if !v.files.Staged() {
		if err := v.fetchAll(m); err != nil {
			return err
		}
		if err := v.files.Stage(); err != nil {
			return v.stageFailed(err)
		}
	}
	for vm := range v.links {
		v.disconnect(vm)
	}
	v.manager.metrics.staged.Inc()
	v.manager.cfg.Logger.Info().Str("version", v.ref.Ref()).Msg("weights staged")
	v.update(func(p *Progress) {
		p.Held, p.Staged, p.Path, p.Err = m.Len(), true, v.files.Path(), ""
	})
	return v.watch()
}

// stageFailed deletes the files if the digest of the whole file is wrong.
func (v *version) stageFailed(err error) error {
	if errors.Is(err, store.ErrWholeDigest) {
		v.files.Forget()
	}
	return err
}

// watch returns when the staged file has been changed or removed.
func (v *version) watch() error {
	ticker := time.NewTicker(intactEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if !v.files.Intact() {
				v.files.Forget()
				return store.ErrWiped
			}
		case w := <-v.wanted:
			v.current = w
		case f := <-v.posted:
			f()
		case <-v.ctx.Done():
			return v.ctx.Err()
		}
	}
}

// fetchAll runs the swarm until every chunk is held.
func (v *version) fetchAll(m *manifest.Manifest) error {
	v.state = v.newState(m)
	v.batch(func() {
		v.step(swarm.MembersChanged{Members: v.current.Peers})
		v.replayHaves(m.Len())
		v.runPosted()
	})
	ticker := time.NewTicker(swarm.TickInterval)
	defer ticker.Stop()
	checked := v.manager.cfg.Now()
	for !v.state.Complete() && v.failure == nil {
		select {
		case f := <-v.posted:
			v.batch(func() {
				f()
				v.runPosted()
			})
		case w := <-v.wanted:
			v.current = w
			v.step(swarm.MembersChanged{Members: w.Peers})
		case <-ticker.C:
			v.batch(func() {
				v.runPosted()
				v.step(swarm.Tick{})
			})
			if now := v.manager.cfg.Now(); now.Sub(checked) >= intactEvery {
				checked = now
				v.checkIntact()
			}
		case <-v.ctx.Done():
			return v.ctx.Err()
		}
	}
	return v.failure
}

func (v *version) checkIntact() {
	if !v.files.Intact() {
		v.files.Forget()
		v.failure = store.ErrWiped
	}
}

func (v *version) newState(m *manifest.Manifest) *swarm.State {
	cfg := v.manager.cfg
	tuning := cfg.Swarm.WithDefaults(v.current.Prefer == inventory.PreferOriginBytes)
	window := v.manager.window(m.ChunkSize)
	tuning.OriginStreams = max(1, min(tuning.OriginStreams, window/2))
	tuning.Window = max(1, min(tuning.Window, window-tuning.OriginStreams))
	var chunkTime time.Duration
	if cfg.DownBytesPerSecond > 0 {
		chunkTime = time.Duration(float64(m.ChunkSize) / cfg.DownBytesPerSecond * float64(time.Second))
	}
	return swarm.New(swarm.Params{
		Self:      v.self,
		Strategy:  cfg.Strategy,
		Version:   VersionSeed(v.id),
		Seed:      cfg.Seed,
		Chunks:    m.Len(),
		ChunkTime: chunkTime,
		Held:      v.files.Held(),
		HasStore:  v.ref.Store != "",
		Config:    tuning,
	})
}

// runPosted runs the functions that have been posted so far.
func (v *version) runPosted() {
	for range len(v.posted) {
		(<-v.posted)()
	}
}

// batch runs f and passes all its events to the scheduler at once.
func (v *version) batch(f func()) {
	v.batching = true
	f()
	v.batching = false
	v.runScheduler()
}

// step passes an event to the scheduler: at once, or, while events are collected
// or actions carried out, together with the others.
func (v *version) step(ev swarm.Event) {
	if v.state == nil {
		return
	}
	v.events = append(v.events, ev)
	if !v.batching {
		v.runScheduler()
	}
}

// runScheduler passes the collected events to the scheduler and carries out its
// actions. Events caused by these actions go to its next run.
func (v *version) runScheduler() {
	v.batching = true
	defer func() { v.batching = false }()
	for len(v.events) > 0 {
		events := v.events
		v.events = nil
		for _, action := range v.state.Step(v.manager.cfg.Now(), events...) {
			v.act(action)
		}
	}
}
