package systest

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/harness"
)

// scratchBytes is what lies in the scratch folder of an agent.
func scratchBytes(a *harness.Agent) int64 {
	var sum int64
	_ = filepath.Walk(a.Scratch, func(_ string, info os.FileInfo, err error) error {
		if err == nil && info.Mode().IsRegular() {
			sum += info.Size()
		}
		return nil
	})
	return sum
}

// TestAgentKilledWhileStaging proves that an agent which dies at several
// moments between the first chunk and the activation resumes what it had, and
// that the engine never gets anything but a whole version.
func TestAgentKilledWhileStaging(t *testing.T) {
	s := start(t, size{
		controls: 1, entries: 1, engines: 1,
		source: []string{"-link-bytes-per-second", "400000"},
		engine: []string{"-load-time", "2s"},
	})
	agent := s.engines[0]
	whole := s.sampleDigest(agent)
	s.want("v1", 1, 0)
	const kills = 3
	for i := 1; i <= kills; i++ {
		mark := int64(weightsBytes * i / (kills + 1))
		s.wait("a part of the weights from the origin", func() bool { return s.originBytes("v1") >= mark })
		require.NoError(t, agent.Kill())
		s.restart(agent.Daemon)
	}
	s.wait("the load order", func() bool {
		state, ok := stateOf(agent)
		return ok && state.State == "loading"
	})
	require.NoError(t, agent.Kill())
	s.restart(agent.Daemon)
	s.waitLive("v1", 1)
	whole.check(t, "weights at the engine that no version has")
	// What was under way at a kill is lost: the chunks in progress, and what
	// was sent but not read yet.
	const inProgress = 8 * chunkBytes
	sent := s.originBytes("v1")
	t.Logf("origin sent %d of %d bytes with %d kills", sent, weightsBytes, kills+1)
	require.LessOrEqual(t, sent, int64(weightsBytes+kills*inProgress))
}

// TestScratchDamagedWhileDown proves that what a restarted agent finds in its
// scratch folder is never handed to an engine unless its digests fit.
func TestScratchDamagedWhileDown(t *testing.T) {
	s := start(t, size{controls: 1, entries: 1, engines: 1, source: []string{"-link-bytes-per-second", "400000"}})
	agent := s.engines[0]
	whole := s.sampleDigest(agent)
	s.want("v1", 1, 0)
	damages := []func(){
		func() { damage(t, agent.Scratch, 0) },
		func() { damage(t, agent.Scratch, 1) },
		func() { require.NoError(t, os.RemoveAll(agent.Scratch)) },
	}
	for _, apply := range damages {
		s.wait("weights in the scratch folder", func() bool { return scratchBytes(agent) >= weightsBytes/3 })
		require.NoError(t, agent.Kill())
		apply()
		s.restart(agent.Daemon)
	}
	s.waitLive("v1", 1)

	// The staged file itself, once whole and verified, is damaged too, and the
	// engine restarts empty.
	require.NoError(t, agent.Kill())
	require.NoError(t, agent.Backend.Kill())
	damage(t, agent.Scratch, 0)
	require.NoError(t, s.fleet.StartBackend(agent))
	s.restart(agent.Daemon)
	s.wait("the engine to be live again", func() bool {
		state, ok := stateOf(agent)
		return ok && state.State == "live"
	})
	s.waitLive("v1", 1)
	whole.check(t, "weights at the engine that no version has")
}

// damage overwrites a part of every file below dir that holds weights; with
// cut it also shortens them.
func damage(t *testing.T, dir string, cut int) {
	damaged := 0
	err := filepath.Walk(dir, func(path string, info os.FileInfo, err error) error {
		if err != nil || !info.Mode().IsRegular() || info.Size() < chunkBytes {
			return err
		}
		file, err := os.OpenFile(path, os.O_RDWR, 0)
		if err != nil {
			return err
		}
		defer file.Close()
		damaged++
		if cut > 0 {
			if err := file.Truncate(info.Size() - chunkBytes/2); err != nil {
				return err
			}
		}
		_, err = file.WriteAt([]byte("garbage garbage garbage"), info.Size()/4)
		return err
	})
	require.NoError(t, err)
	require.Positive(t, damaged, "nothing to damage")
}
