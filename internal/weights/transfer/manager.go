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
	// maxHubs bounds the number of versions that peers may subscribe to.
	maxHubs = 1024
	// linkTick is how often the link's governor may raise the transfers' share.
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
	// memory bounds the chunk buffers in use to Config.MemoryBytes. A cancelled fetch
	// keeps its share until its buffer is no longer used.
	memory *semaphore.Weighted
	// chunks and pieces pool the buffers of downloads and uploads.
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

// SetWanted replaces the set of wanted versions. Versions no longer wanted are
// stopped; their files stay until the disk space is needed.
func (m *Manager) SetWanted(wanted []Wanted) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx.Err() != nil {
		return
	}
	stillWanted := map[string]bool{}
	for _, w := range wanted {
		key := w.Ref.Ref()
		stillWanted[key] = true
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
		if !stillWanted[key] {
			m.stop(v)
			delete(m.versions, key)
		}
	}
	m.signal()
}

// stop stops a version's loop without waiting for it. The caller holds the lock.
func (m *Manager) stop(v *version) {
	v.cancel()
	m.stopping[v.id] = v
}

// start starts a version's loop, which first waits until earlier loops for the
// same files have stopped. The caller holds the lock.
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

// forget removes a version that has stopped from m.stopping.
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

// Changed returns a channel that receives a value after Status has changed;
// signals are coalesced.
func (m *Manager) Changed() <-chan struct{} { return m.changed }

func (m *Manager) signal() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// ObserveLive records the first-token latency of a live request. Transfers slow
// down when it rises.
func (m *Manager) ObserveLive(firstToken time.Duration) { m.link.ObserveLive(firstToken) }

// SpendLive accounts for bytes of live requests on the VM's link, which
// transfers then leave to them.
func (m *Manager) SpendLive(up, down int) { m.link.SpendLive(up, down) }

// Link returns the VM's link, on which callers can account for live traffic so
// that transfers leave capacity for it.
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

// hub returns the hub of a version that a peer subscribes to, wanted here or not.
// Beyond maxHubs it returns a new hub that never has any chunks.
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

// addHub returns the hub of a version and registers it if it is new. The caller
// holds the lock.
func (m *Manager) addHub(id manifest.Digest) *hub {
	h := m.hubs[id]
	if h == nil {
		h = newHub()
		m.hubs[id] = h
	}
	return h
}

// content is a manifest or chunk that a peer may request by its digest.
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

// memoryFor is the share of the memory bound that a chunk's buffer takes. A chunk larger
// than the bound takes all of it.
func (m *Manager) memoryFor(length int) int64 { return min(int64(length), m.cfg.MemoryBytes) }

// window returns how many chunks of the given size one version may have in
// flight so that all versions together stay within the memory bound.
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
