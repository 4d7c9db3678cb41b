package standstill

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestWaitsOfThreadsForAProcessorAreSummed(t *testing.T) {
	m := &processMonitor{waited: map[string]time.Duration{}}
	for _, sample := range []struct {
		thread string
		waited time.Duration
	}{
		{"a", 10 * time.Second}, // before it was watched
		{"b", 0},
		{"a", 10*time.Second + processStallThreshold},
		{"b", processStallThreshold + time.Millisecond},
		{"a", 11 * time.Second},
		{"b", processStallThreshold + time.Millisecond},
	} {
		m.sample(sample.thread, sample.waited)
	}
	assert.Equal(t, time.Second+time.Millisecond, m.stalled)
}

func TestAccountsOfThreadsAreRead(t *testing.T) {
	waited, err := waitOf("218294357 75681027 460\n")
	require.NoError(t, err)
	assert.Equal(t, 75681027*time.Nanosecond, waited)
	for _, text := range []string{"", "218294357", "1 x 2"} {
		_, err := waitOf(text)
		assert.ErrorIs(t, err, errNoAccount, text)
	}
}

// Guards against a scenario that is repeated although the process that it watches did run.
func TestFailureWithoutStallOfAWatchedProcessFailsAtOnce(t *testing.T) {
	runs := 0
	assert.False(t, passes(t, fakeMeter{0}, func(t testing.TB) {
		runs++
		Watch(t, os.Getpid())
		t.Fatal("wrong")
	}))
	assert.Equal(t, 1, runs)
}

// Guards against a failure that shows nothing about the code, since a watched process waited for a processor.
func TestFailureDuringStallOfAWatchedProcessRunsAgain(t *testing.T) {
	runs := 0
	assert.True(t, passes(t, fakeMeter{0, 0}, func(t testing.TB) {
		if runs++; runs == 1 {
			processes := t.(*scenarioRun).processes
			processes.mu.Lock()
			defer processes.mu.Unlock()
			processes.sample("a", 0)
			processes.sample("a", time.Second)
			t.Fatal("wrong")
		}
	}))
	assert.Equal(t, 2, runs)
}

func TestWaitsOfWatchedProcessesAreStatedDuringAScenario(t *testing.T) {
	assert.Zero(t, Waited(t), "not a scenario")
	assert.True(t, passes(t, fakeMeter{0}, func(t testing.TB) {
		assert.Zero(t, Waited(t))
		processes := t.(*scenarioRun).processes
		processes.mu.Lock()
		processes.sample("a", 0)
		processes.sample("a", time.Second)
		processes.mu.Unlock()
		assert.Equal(t, time.Second, Waited(t))
	}))
}
