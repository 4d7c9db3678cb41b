package harness

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process is one started process. Its output goes to a log file in the
// fleet's folder.
type Process struct {
	Name string
	// LogPath is the file with the process's output.
	LogPath string

	cmd  *exec.Cmd
	done chan struct{}
	mu   sync.Mutex
	err  error
}

// startProcess starts path with args; its log is dir/name.log, appended to
// when a process of that name ran before, and goes through a pipe if piped is set.
func startProcess(dir, name, path string, piped bool, args ...string) (*Process, error) {
	logPath := filepath.Join(dir, name+".log")
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open log of %s: %w", name, err)
	}
	cmd := exec.Command(path, args...)
	cmd.Dir = dir
	cmd.Stdout, cmd.Stderr = log, log
	if piped {
		// What is no *os.File is written to by this process.
		writer := struct{ io.Writer }{log}
		cmd.Stdout, cmd.Stderr = writer, writer
	}
	p := &Process{Name: name, LogPath: logPath, cmd: cmd, done: make(chan struct{})}
	if err := cmd.Start(); err != nil {
		return nil, errors.Join(fmt.Errorf("start %s: %w", name, err), log.Close())
	}
	go p.wait(log)
	return p, nil
}

func (p *Process) wait(log io.Closer) {
	err := p.cmd.Wait()
	// The log was written, line by line; closing it has nothing to add.
	_ = log.Close()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(p.done)
}

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Exited returns a channel that is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.done }

// Running reports whether the process has not ended yet.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill ends the process at once, as a crash would.
func (p *Process) Kill() error {
	err := p.signal(syscall.SIGKILL)
	<-p.done
	return err
}

// freezeTimeout bounds the wait for the threads of a frozen process to stop.
const freezeTimeout = 10 * time.Second

// Freeze stops the process without ending it and returns once none of its
// threads runs any more; Thaw lets it go on.
func (p *Process) Freeze() error {
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return Wait(freezeTimeout, "the threads of "+p.Name+" to stop", func() bool {
		return !p.Running() || p.allThreadsStopped()
	})
}

// allThreadsStopped reads the state of every thread from the kernel.
func (p *Process) allThreadsStopped() bool {
	stats, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.Pid()))
	if err != nil || len(stats) == 0 {
		return false
	}
	for _, path := range stats {
		data, err := os.ReadFile(path)
		// The state follows the name in parentheses.
		_, state, ok := strings.Cut(string(data), ") ")
		if err != nil || !ok || !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}

// Thaw lets a frozen process go on.
func (p *Process) Thaw() error { return p.signal(syscall.SIGCONT) }

// Reload tells the process to read its settings again.
func (p *Process) Reload() error { return p.signal(syscall.SIGHUP) }

// Terminate asks the process to stop gracefully and does not wait.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Stop asks the process to stop gracefully and waits for it. An error says
// that it did not end in time, or ended with another code than 0.
func (p *Process) Stop(timeout time.Duration) error {
	if err := p.Terminate(); err != nil {
		return err
	}
	select {
	case <-p.done:
	case <-time.After(timeout):
		killErr := p.Kill()
		return errors.Join(fmt.Errorf("%s did not stop within %v", p.Name, timeout), killErr)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return fmt.Errorf("%s: %w", p.Name, p.err)
	}
	return nil
}

func (p *Process) signal(sig syscall.Signal) error {
	if !p.Running() {
		return nil
	}
	err := p.cmd.Process.Signal(sig)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}
