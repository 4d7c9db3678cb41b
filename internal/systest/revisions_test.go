package systest

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/harness"
)

// revisions watches the revision in force at daemons, through their metrics,
// and notes every fall, also across restarts. Revision 0 means that a started
// daemon has no configuration yet.
type revisions struct {
	stop    chan struct{}
	stopped sync.WaitGroup
	daemons int

	mu      sync.Mutex
	highest map[string]float64
	falls   []string
}

func watchRevisions(t *testing.T, daemons ...*harness.Daemon) *revisions {
	w := &revisions{stop: make(chan struct{}), daemons: len(daemons), highest: map[string]float64{}}
	for _, d := range daemons {
		w.stopped.Go(func() { w.watch(d) })
	}
	t.Cleanup(w.end)
	return w
}

func (w *revisions) watch(d *harness.Daemon) {
	const interval = 25 * time.Millisecond
	for {
		if revision, ok := revisionOf(d); ok && revision > 0 {
			w.note(d.HTTPAddr, revision)
		}
		select {
		case <-w.stop:
			return
		case <-time.After(interval):
		}
	}
}

// revisionOf returns the revision in force at a daemon, by the metric of its
// role.
func revisionOf(d *harness.Daemon) (float64, bool) {
	name := "lynxgate_config_revision"
	if strings.HasPrefix(d.Name, "control-") {
		name = "lynxgate_control_revision"
	}
	return metric(d, name)
}

func (w *revisions) note(daemon string, revision float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if revision < w.highest[daemon] {
		w.falls = append(w.falls, fmt.Sprintf("%s: from %.0f to %.0f", daemon, w.highest[daemon], revision))
	}
	w.highest[daemon] = max(revision, w.highest[daemon])
}

// of returns the highest revision seen at a daemon.
func (w *revisions) of(d *harness.Daemon) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return uint64(w.highest[d.HTTPAddr])
}

func (w *revisions) end() {
	select {
	case <-w.stop:
	default:
		close(w.stop)
	}
	w.stopped.Wait()
}

// check ends the watch and requires that no revision fell.
func (w *revisions) check(t *testing.T) {
	t.Helper()
	w.end()
	require.Empty(t, w.falls, "revisions that fell")
	require.Len(t, w.highest, w.daemons, "daemons whose revision was seen")
}
