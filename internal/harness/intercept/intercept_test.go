//go:build linux && amd64

package intercept_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/harness/intercept"
)

// probe is a started testdata/probe.
type probe struct {
	*testing.T
	*intercept.Target
	in    io.Writer
	lines *bufio.Scanner
}

func startProbe(t *testing.T, redirect intercept.Redirect) *probe {
	path := filepath.Join(t.TempDir(), "probe")
	out, err := exec.Command("go", "build", "-o", path, "./testdata/probe").CombinedOutput()
	require.NoError(t, err, string(out))
	cmd := exec.Command(path)
	in, err := cmd.StdinPipe()
	require.NoError(t, err)
	answers, err := cmd.StdoutPipe()
	require.NoError(t, err)
	target, err := intercept.Start(cmd, redirect)
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = in.Close() // it ends then
		assert.NoError(t, cmd.Wait())
	})
	return &probe{T: t, Target: target, in: in, lines: bufio.NewScanner(answers)}
}

func (p *probe) ask(format string, args ...any) string {
	_, err := fmt.Fprintf(p.in, format+"\n", args...)
	require.NoError(p, err)
	require.True(p, p.lines.Scan())
	return p.lines.Text()
}

func TestTimeOfDayIsStepped(t *testing.T) {
	p := startProbe(t, intercept.Redirect{})
	read := func() (wall, since int64) {
		_, err := fmt.Sscan(p.ask("time"), &wall, &since)
		require.NoError(t, err)
		return wall, since
	}
	wall, _ := read()
	assert.InDelta(t, time.Now().Unix(), wall, 2)
	for _, step := range []time.Duration{time.Hour, -3 * time.Hour, 2 * time.Hour} {
		before, monotonic := read()
		require.NoError(t, p.StepClock(step))
		after, since := read()
		assert.InDelta(t, step.Seconds(), after-before, 10)
		assert.InDelta(t, monotonic, since, 10_000, "the monotonic clock goes on")
	}
	wall, _ = read()
	assert.InDelta(t, time.Now().Unix(), wall, 2)
}

func TestSyncsAreHeldUp(t *testing.T) {
	p := startProbe(t, intercept.Redirect{})
	path := filepath.Join(t.TempDir(), "file")
	read := func(answer string) (ms int64, err string) {
		ms, err = 0, ""
		_, scanErr := fmt.Sscan(answer, &ms, &err)
		require.NoError(t, scanErr, answer)
		return ms, err
	}
	_, err := read(p.ask("sync %s", path))
	require.Equal(t, "<nil>", err)
	require.NoError(t, p.SlowSync(150*time.Millisecond))
	ms, _ := read(p.ask("sync %s", path))
	assert.GreaterOrEqual(t, ms, int64(150))
	require.NoError(t, p.SlowSync(0))

	require.NoError(t, p.StallSync(true))
	const stall = 300 * time.Millisecond
	time.AfterFunc(stall, func() { assert.NoError(t, p.StallSync(false)) })
	ms, err = read(p.ask("sync %s", path))
	assert.GreaterOrEqual(t, ms, stall.Milliseconds()/2)
	assert.Equal(t, "<nil>", err)

	require.NoError(t, p.FailSync(true))
	assert.Contains(t, p.ask("sync %s", path), "input/output error")
	require.NoError(t, p.FailSync(false))

	require.NoError(t, p.FillDisk(true))
	require.NoError(t, p.FillDisk(true))
	assert.Contains(t, p.ask("sync %s", path), "file too large")
	require.NoError(t, p.FillDisk(false))
	_, err = read(p.ask("sync %s", path))
	assert.Equal(t, "<nil>", err)
}

func TestConnectionsAreLedToAnotherPort(t *testing.T) {
	serve := func(addr, text string) string {
		lis, err := net.Listen("tcp", addr)
		require.NoError(t, err)
		t.Cleanup(func() { _ = lis.Close() })
		go func() {
			for {
				conn, err := lis.Accept()
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, text+"\n") // the test sees it if this fails
				_ = conn.Close()
			}
		}()
		return lis.Addr().String()
	}
	ports := func(addr string) uint16 {
		var port uint16
		_, err := fmt.Sscan(addr[strings.LastIndex(addr, ":")+1:], &port)
		require.NoError(t, err)
		return port
	}
	own := serve("127.0.0.2:0", "own")
	other := serve("127.0.0.2:0", "other")
	far := serve(fmt.Sprintf("127.0.0.9:%d", ports(own)), "far")
	p := startProbe(t, intercept.Redirect{Port: ports(own), To: ports(other), LastNumber: 8})
	assert.Equal(t, "other", p.ask("dial %s", own))
	p.lines.Scan() // the empty line after it
	assert.Equal(t, "other", p.ask("dial %s", other))
	p.lines.Scan()
	assert.Equal(t, "far", p.ask("dial %s", far))
}
