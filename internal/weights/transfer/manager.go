package transfer

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"lynxgate.dev/lynxgate/internal/weights/manifest"
	"lynxgate.dev/lynxgate/internal/weights/origin"
	"lynxgate.dev/lynxgate/internal/weights/pace"
	"lynxgate.dev/lynxgate/internal/weights/store"
	"lynxgate.dev/lynxgate/internal/weights/swarm"
)

const (
	// maxHubs bounds the versions that peers may ask about.
	maxHubs = 1024
	// linkTick is how often the link's governor may let the share rise.
	linkTick = time.Second
)

// Manager fetches wanted model versions and serves chunks to peers. It
// implements rpc.DRPCWeightsServer.
type Manager struct {
	cfg     Config
	store   *store.Store
	link    *pace.Link
	origin  *origin.Client
	uploads *uploads
	metrics *metrics
	// memory is what Config.MemoryBytes leaves for chunk buffers, in bytes: a fetch that
	// is given up keeps its part until nobody uses its buffer any more.
	memory *semaphore.Weighted
	// chunks and pieces recycle the buffers of downloads and uploads.
	chunks  buffers
	pieces  buffers
	changed chan struct{}

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu       sync.Mutex
	versions map[string]*version // by model@version
	stopping map[manifest.Digest]*version
	hubs     map[manifest.Digest]*hub
	// manifests are the encoded manifests of the versions being fetched or held.
	manifests map[manifest.Digest][]byte
}

// New opens the scratch folder and starts the manager. Nothing is fetched
// until SetWanted is called.
func New(cfg Config) (*Manager, error) {
	cfg = cfg.withDefaults()
	files, err := store.Open(cfg.Dir, cfg.MaxBytes)
	if err != nil {
		return nil, err
	}
	link := pace.NewLink(cfg.UpBytesPerSecond, cfg.DownBytesPerSecond, cfg.Now)
	counters, err := newMetrics(cfg.Registerer, link.Share)
	if err != nil {
		return nil, fmt.Errorf("register metrics: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{
		cfg:       cfg,
		store:     files,
		link:      link,
		uploads:   newUploads(cfg.UpBytesPerSecond),
		metrics:   counters,
		memory:    semaphore.NewWeighted(cfg.MemoryBytes),
		changed:   make(chan struct{}, 1),
		ctx:       ctx,
		cancel:    cancel,
		versions:  map[string]*version{},
		stopping:  map[manifest.Digest]*version{},
		hubs:      map[manifest.Digest]*hub{},
		manifests: map[manifest.Digest][]byte{},
	}
	m.origin = origin.New(cfg.HTTP, func(ctx context.Context, bytes int) error {
		m.metrics.fromOrigin.Add(float64(bytes))
		return link.Down(ctx, pace.FromOrigin, bytes)
	})
	m.running.Add(1)
	go m.tick()
	return m, nil
}

func (c Config) withDefaults() Config {
	if c.MemoryBytes <= 0 {
		c.MemoryBytes = defaultMemoryBytes
	}
	if c.Strategy == "" {
		c.Strategy = swarm.StrategySwarm
	}
	if c.Dial == nil {
		dialer := &net.Dialer{}
		c.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", addr)
		}
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Seed == 0 {
		c.Seed = seedOf(c.VM)
	}
	return c
}

// seedOf derives a seed from a name.
func seedOf(name string) uint64 {
	d := manifest.Sum([]byte(name))
	return VersionSeed(d)
}

func (m *Manager) tick() {
	defer m.running.Done()
	ticker := time.NewTicker(linkTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.link.Tick()
		case <-m.ctx.Done():
			return
		}
	}
}

// SetWanted replaces the set of wanted versions. Versions no longer wanted
// stop; their files stay until the room is needed.
func (m *Manager) SetWanted(wanted []Wanted) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx.Err() != nil {
		return
	}
	named := map[string]bool{}
	for _, w := range wanted {
		key := w.Ref.Ref()
		named[key] = true
		current := m.versions[key]
		if current != nil && current.ref == w.Ref {
			current.setWanted(w)
			continue
		}
		if current != nil {
			m.stop(current)
		}
		m.versions[key] = m.start(w, current)
	}
	for key, v := range m.versions {
		if !named[key] {
			m.stop(v)
			delete(m.versions, key)
		}
	}
	m.signal()
}

// stop ends a version's loop without waiting for it. The lock is held.
func (m *Manager) stop(v *version) {
	v.cancel()
	m.stopping[v.id] = v
}

// start begins a version's loop, after an earlier loop for the same files has
// ended. The lock is held.
func (m *Manager) start(w Wanted, earlier *version) *version {
	v := newVersion(m, w)
	v.hub = m.addHub(v.id)
	before := []*version{earlier, m.stopping[v.id]}
	delete(m.stopping, v.id)
	m.running.Add(1)
	go func() {
		defer m.running.Done()
		defer close(v.ended)
		for _, b := range before {
			if b != nil {
				<-b.ended
			}
		}
		v.run()
		m.forget(v)
	}()
	return v
}

// forget drops the memory of a version that has stopped.
func (m *Manager) forget(v *version) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping[v.id] == v {
		delete(m.stopping, v.id)
	}
}

// Status returns the progress of each wanted version, sorted by model and
// version.
func (m *Manager) Status() []Progress {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]Progress, 0, len(m.versions))
	for _, v := range m.versions {
		list = append(list, v.snapshot())
	}
	slices.SortFunc(list, func(a, b Progress) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return list
}

// Changed gets a value after Status has changed; signals are coalesced.
func (m *Manager) Changed() <-chan struct{} { return m.changed }

func (m *Manager) signal() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// ObserveLive reports the first-token latency of a live request; transfers
// give way when it rises.
func (m *Manager) ObserveLive(firstToken time.Duration) { m.link.ObserveLive(firstToken) }

// SpendLive counts bytes of live requests on the VM's link; transfers make
// room for them.
func (m *Manager) SpendLive(up, down int) { m.link.SpendLive(up, down) }

// Link returns the VM's link, on which live traffic may be accounted so that
// transfers make room for it.
func (m *Manager) Link() *pace.Link { return m.link }

// Close stops all transfers and waits for them. The scratch folder stays.
func (m *Manager) Close() error {
	m.mu.Lock()
	m.cancel()
	for _, v := range m.versions {
		v.cancel()
	}
	m.mu.Unlock()
	m.running.Wait()
	m.origin.Close()
	return nil
}

// hub returns the hub of a version that peers ask about, wanted here or not.
// Beyond the bound they get one that never tells anything.
func (m *Manager) hub(id manifest.Digest) *hub {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h := m.hubs[id]; h != nil {
		return h
	}
	if len(m.hubs) >= maxHubs {
		return newHub()
	}
	return m.addHub(id)
}

// addHub registers a hub. The lock is held.
func (m *Manager) addHub(id manifest.Digest) *hub {
	h := m.hubs[id]
	if h == nil {
		h = newHub()
		m.hubs[id] = h
	}
	return h
}

// content is something a peer may ask for by its digest.
type content struct {
	length int
	read   func(p []byte, offset int) error
}

// lookup finds a manifest or a verified chunk.
func (m *Manager) lookup(digest manifest.Digest) (content, bool) {
	m.mu.Lock()
	encoded, ok := m.manifests[digest]
	m.mu.Unlock()
	if ok {
		return content{length: len(encoded), read: func(p []byte, offset int) error {
			copy(p, encoded[offset:])
			return nil
		}}, true
	}
	v, index, ok := m.store.Lookup(digest)
	if !ok {
		return content{}, false
	}
	return content{
		length: v.Manifest().ChunkLen(index),
		read:   func(p []byte, offset int) error { return v.ReadChunkAt(index, p, offset) },
	}, true
}

func (m *Manager) setManifest(id manifest.Digest, encoded []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if encoded == nil {
		delete(m.manifests, id)
		return
	}
	m.manifests[id] = encoded
}

// memoryFor is the part of the memory that the buffer of a chunk takes; a chunk larger
// than all of it takes all.
func (m *Manager) memoryFor(length int) int64 { return min(int64(length), m.cfg.MemoryBytes) }

// window returns how many chunks of the given size one version may have in
// flight, so that all versions together keep to the memory bound.
func (m *Manager) window(chunkSize int64) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	fetching := 0
	for _, v := range m.versions {
		if !v.snapshot().Staged {
			fetching++
		}
	}
	return int(max(1, m.cfg.MemoryBytes/chunkSize/int64(max(1, fetching))))
}
