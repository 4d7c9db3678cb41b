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
	// retryFirst and retryMax bound the pause after an attempt that failed.
	retryFirst = 250 * time.Millisecond
	retryMax   = 10 * time.Second
	// intactEvery is how often a staged file is looked at.
	intactEvery = time.Second
	eventBuffer = 256
)

// version brings one wanted model version onto this VM. Its loop (run) owns
// the swarm state; links and fetches report to it by posting functions.
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

	// Below: owned by the loop.
	now     Wanted
	links   map[string]*link
	running sync.WaitGroup // links and fetches
	haves   map[string]*peerHaves
	files   *store.Version
	state   *swarm.State
	fetches map[uint64]func() // cancels, by request id
	events  []swarm.Event     // not yet taken by the scheduler
	holding bool              // events are gathered, or actions carried out
	fault   error             // ends the present attempt
}

// peerHaves is what a peer has told before the manifest was known here.
type peerHaves struct {
	updates []*rpc.HaveUpdate
}

func newVersion(m *Manager, w Wanted) *version {
	ctx, cancel := context.WithCancel(m.ctx)
	v := &version{
		manager: m,
		ref:     w.Ref,
		self:    swarm.Peer{VM: m.cfg.VM, Zone: m.cfg.Zone},
		ctx:     ctx,
		cancel:  cancel,
		ended:   make(chan struct{}),
		posted:  make(chan func(), eventBuffer),
		wanted:  make(chan Wanted, 1),
		now:     w,
		links:   map[string]*link{},
		haves:   map[string]*peerHaves{},
	}
	v.id, v.badID = manifest.ParseDigest(w.Ref.Manifest)
	v.progress.Store(&Progress{Model: w.Ref.Model, Version: w.Ref.Version})
	return v
}

// VersionSeed makes all members of a swarm compute the same hashes.
func VersionSeed(id manifest.Digest) uint64 { return binary.LittleEndian.Uint64(id[:8]) }

func (v *version) snapshot() Progress { return *v.progress.Load() }

// update changes the progress and signals it. It is called by the loop only.
func (v *version) update(change func(p *Progress)) {
	p := v.snapshot()
	change(&p)
	v.progress.Store(&p)
	v.manager.signal()
}

// setWanted hands the loop new peers or a new preference. Only the latest
// counts.
func (v *version) setWanted(w Wanted) {
	select {
	case <-v.wanted:
	default:
	}
	v.wanted <- w
}

// post runs f in the loop. It gives up when the version has been stopped.
func (v *version) post(f func()) {
	select {
	case v.posted <- f:
	case <-v.ctx.Done():
	}
}

// run makes attempts until the version is no longer wanted.
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
	v.manager.cfg.Logger.Warn().Str("version", v.ref.Ref()).Err(err).Msg("weights not staged, trying again")
	v.update(func(p *Progress) {
		p.Staged, p.Path, p.Held, p.Err = false, "", 0, err.Error()
	})
}

// reset closes everything that an attempt has opened.
func (v *version) reset() {
	for vm := range v.links {
		v.disconnect(vm)
	}
	for id := range v.fetches {
		v.cancelFetch(id)
	}
	v.state = nil
	v.fault = nil
	v.hub.reset(0, nil)
	v.manager.setManifest(v.id, nil)
	if v.files != nil {
		v.files.Close()
		v.files = nil
	}
}

// attempt obtains the manifest, fetches the chunks, stages the whole and then
// watches over it. It returns when something has gone wrong or the version is
// stopped.
func (v *version) attempt() error {
	v.fetches = map[uint64]func(){}
	v.haves = map[string]*peerHaves{}
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

// stageFailed decides whether what lies on the disk is worth keeping.
func (v *version) stageFailed(err error) error {
	if errors.Is(err, store.ErrWholeDigest) {
		v.files.Forget()
	}
	return err
}

// watch returns when the staged file is no longer what was staged.
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
			v.now = w
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
	v.together(func() {
		v.step(swarm.MembersChanged{Members: v.now.Peers})
		v.replayHaves(m.Len())
		v.takeWaiting()
	})
	ticker := time.NewTicker(swarm.TickInterval)
	defer ticker.Stop()
	looked := v.manager.cfg.Now()
	for !v.state.Complete() && v.fault == nil {
		select {
		case f := <-v.posted:
			v.together(func() {
				f()
				v.takeWaiting()
			})
		case w := <-v.wanted:
			v.now = w
			v.step(swarm.MembersChanged{Members: w.Peers})
		case <-ticker.C:
			v.together(func() {
				v.takeWaiting()
				v.step(swarm.Tick{})
			})
			if now := v.manager.cfg.Now(); now.Sub(looked) >= intactEvery {
				looked = now
				v.checkIntact()
			}
		case <-v.ctx.Done():
			return v.ctx.Err()
		}
	}
	return v.fault
}

func (v *version) checkIntact() {
	if !v.files.Intact() {
		v.files.Forget()
		v.fault = store.ErrWiped
	}
}

func (v *version) newState(m *manifest.Manifest) *swarm.State {
	cfg := v.manager.cfg
	tuning := cfg.Swarm.WithDefaults(v.now.Prefer == inventory.PreferOriginBytes)
	room := v.manager.window(m.ChunkSize)
	tuning.OriginStreams = max(1, min(tuning.OriginStreams, room/2))
	tuning.Window = max(1, min(tuning.Window, room-tuning.OriginStreams))
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

// takeWaiting runs what has been posted up to now.
func (v *version) takeWaiting() {
	for range len(v.posted) {
		(<-v.posted)()
	}
}

// together gives the scheduler all events of f at once.
func (v *version) together(f func()) {
	v.holding = true
	f()
	v.holding = false
	v.decide()
}

// step gives the scheduler an event: at once, or, if it comes while events are
// gathered or actions carried out, together with the others.
func (v *version) step(ev swarm.Event) {
	if v.state == nil {
		return
	}
	v.events = append(v.events, ev)
	if !v.holding {
		v.decide()
	}
}

// decide runs the scheduler and carries out what it says. An action that ends
// at once brings another event, which waits until its turn.
func (v *version) decide() {
	v.holding = true
	defer func() { v.holding = false }()
	for len(v.events) > 0 {
		events := v.events
		v.events = nil
		for _, action := range v.state.Step(v.manager.cfg.Now(), events...) {
			v.act(action)
		}
	}
}
