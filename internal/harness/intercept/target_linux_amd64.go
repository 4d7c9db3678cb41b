package intercept

import (
	"bytes"
	"debug/elf"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// Supported tells whether this system has interception.
const Supported = true

// Functions and variables of Go's runtime in the program under test.
const (
	symbolRoom    = "runtime.debugCallV2" // only debuggers call it
	symbolSyscall = "internal/runtime/syscall/linux.Syscall6"
	symbolClock   = "runtime.vdsoClockgettimeSym"
)

// Offsets of the words, in bytes, and their number.
const (
	wordClockStep = 0  // seconds added to the time of day
	wordStalled   = 8  // not 0 while syncs wait
	wordPauseSec  = 16 // pause before each sync
	wordPauseNano = 24
	wordFromPort  = 32 // ports as they go over the wire
	wordToPort    = 40
	wordLast      = 48
	wordSyncError = 56
	wordsSize     = 64
)

// stallPoll is how often a stalled sync looks whether it may go on.
const stallPoll = 5 * time.Millisecond

// frontOf are the first four instructions of Syscall6, which the code makes up for.
var frontOf = []byte{0x49, 0x89, 0xf2, 0x48, 0x89, 0xfa, 0x48, 0x89, 0xce, 0x48, 0x89, 0xdf}

// endMark marks the end of a piece of code in code_linux_amd64.s.
const endMark = 0x7fe1d0c3b2a59687

//go:noescape
func codeAddrs() (syscallAddr, clockAddr uint64)

// The code that is copied; called by nobody here.
func syscallCode()
func clockCode()

// Target is a started process.
type Target struct {
	pid int
	at  *layout

	mu      sync.Mutex
	clocked bool
	// limit is that of the files' length before the disk was full, nil if it is not.
	limit *syscall.Rlimit
}

// layout is where things are in a program.
type layout struct {
	room, roomSize, syscall, clock uint64
	words, syscallCode, clockCode  uint64
}

var (
	layoutsMu sync.Mutex
	layouts   = map[string]*layout{}
)

func layoutOf(path string) (*layout, error) {
	layoutsMu.Lock()
	defer layoutsMu.Unlock()
	if l := layouts[path]; l != nil {
		return l, nil
	}
	file, err := elf.Open(path)
	if err != nil {
		return nil, fmt.Errorf("intercept: %w", err)
	}
	defer file.Close()
	symbols, err := file.Symbols()
	if err != nil {
		return nil, fmt.Errorf("intercept: symbols of %s: %w", path, err)
	}
	l := &layout{}
	for _, s := range symbols {
		switch s.Name {
		case symbolRoom + ".abi0":
			l.room, l.roomSize = s.Value, s.Size
		case symbolRoom:
			if l.room == 0 {
				l.room, l.roomSize = s.Value, s.Size
			}
		case symbolSyscall:
			l.syscall = s.Value
		case symbolClock:
			l.clock = s.Value
		}
	}
	if l.room == 0 || l.syscall == 0 || l.clock == 0 {
		return nil, fmt.Errorf("intercept: %s lacks a function of Go's runtime: %+v", path, *l)
	}
	l.words = (l.room + 7) &^ 7
	layouts[path] = l
	return l, nil
}

// Start starts a command with the code in place, and lets it run.
func Start(cmd *exec.Cmd, redirect Redirect) (*Target, error) {
	at, err := layoutOf(cmd.Path)
	if err != nil {
		return nil, err
	}
	// Only the thread that has started a traced process may let it go.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	cmd.SysProcAttr = &syscall.SysProcAttr{Ptrace: true}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	t := &Target{pid: cmd.Process.Pid, at: at}
	var status syscall.WaitStatus
	if _, err := syscall.Wait4(t.pid, &status, 0, nil); err != nil {
		return nil, t.abort(cmd, fmt.Errorf("wait for the start: %w", err))
	}
	if err := t.install(redirect); err != nil {
		return nil, t.abort(cmd, err)
	}
	if err := syscall.PtraceDetach(t.pid); err != nil {
		return nil, t.abort(cmd, fmt.Errorf("let go: %w", err))
	}
	return t, nil
}

func (t *Target) abort(cmd *exec.Cmd, err error) error {
	killErr := cmd.Process.Kill()
	// It was killed: how it ended tells nothing.
	_ = cmd.Wait()
	return errors.Join(fmt.Errorf("intercept process %d: %w", t.pid, err), killErr)
}

// install puts the code over the room and leads Syscall6 over it.
func (t *Target) install(redirect Redirect) error {
	front := make([]byte, len(frontOf))
	if err := readAt(t.pid, t.at.syscall, front); err != nil {
		return err
	}
	if !bytes.Equal(front, frontOf) {
		return fmt.Errorf("%s begins with %x, not with %x", symbolSyscall, front, frontOf)
	}
	syscallAddr, clockAddr := codeAddrs()
	back := t.at.syscall + uint64(len(frontOf))
	code, err := pieceOf(syscallAddr, t.at.words, back, 0)
	if err != nil {
		return err
	}
	clock, err := pieceOf(clockAddr, t.at.words, 0, 0)
	if err != nil {
		return err
	}
	codeAt := t.at.words + wordsSize
	clockAt := codeAt + uint64(len(code))
	if clockAt+uint64(len(clock)) > t.at.room+t.at.roomSize {
		return fmt.Errorf("no room for %d + %d bytes of code", len(code), len(clock))
	}
	words := make([]byte, wordsSize)
	if redirect.Port != 0 {
		binary.LittleEndian.PutUint64(words[wordFromPort:], onWire(redirect.Port))
		binary.LittleEndian.PutUint64(words[wordToPort:], onWire(redirect.To))
		binary.LittleEndian.PutUint64(words[wordLast:], uint64(redirect.LastNumber))
	}
	jump := []byte{0xe9, 0, 0, 0, 0} // a jump by 32 bits, counted from its end
	binary.LittleEndian.PutUint32(jump[1:], uint32(codeAt-(t.at.syscall+uint64(len(jump)))))
	return errors.Join(writeAt(t.pid, t.at.words, words), writeAt(t.pid, codeAt, code), writeAt(t.pid, t.at.syscall, jump))
}

func onWire(port uint16) uint64 { return uint64(port>>8 | port<<8) }

// pieceOf reads a piece of code from this process and fills its places in.
func pieceOf(addr, words, back, fronted uint64) ([]byte, error) {
	const atMost = 512
	raw := make([]byte, atMost)
	if err := readAt(os.Getpid(), addr, raw); err != nil {
		return nil, err
	}
	mark := binary.LittleEndian.AppendUint64(nil, endMark)
	end := bytes.Index(raw, mark)
	if end < 0 {
		return nil, errors.New("the code has no end")
	}
	code := raw[:end]
	for digit, value := range map[byte]uint64{0x11: words, 0x22: back, 0x33: fronted} {
		place := bytes.Repeat([]byte{digit}, 8)
		code = bytes.ReplaceAll(code, place, binary.LittleEndian.AppendUint64(nil, value))
	}
	return code, nil
}

// StepClock adds to what the process takes for the time of day, in whole seconds; its
// monotonic clock goes on.
func (t *Target) StepClock(by time.Duration) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	var word [8]byte
	if err := readAt(t.pid, t.at.words+wordClockStep, word[:]); err != nil {
		return err
	}
	seconds := int64(binary.LittleEndian.Uint64(word[:])) + int64(by/time.Second)
	if err := t.set(wordClockStep, uint64(seconds)); err != nil {
		return err
	}
	return t.frontClock()
}

// frontClock leads reads of the time over the code, once.
func (t *Target) frontClock() error {
	if t.clocked {
		return nil
	}
	var word [8]byte
	if err := readAt(t.pid, t.at.clock, word[:]); err != nil {
		return err
	}
	fronted := binary.LittleEndian.Uint64(word[:])
	if fronted == 0 {
		return errors.New("intercept: the process reads its clock by a system call")
	}
	syscallAddr, clockAddr := codeAddrs()
	before, err := pieceOf(syscallAddr, t.at.words, 0, 0)
	if err != nil {
		return err
	}
	code, err := pieceOf(clockAddr, t.at.words, 0, fronted)
	if err != nil {
		return err
	}
	addr := t.at.words + wordsSize + uint64(len(before))
	if err := writeAt(t.pid, addr, code); err != nil {
		return err
	}
	if err := writeAt(t.pid, t.at.clock, binary.LittleEndian.AppendUint64(nil, addr)); err != nil {
		return err
	}
	t.clocked = true
	return nil
}

// SlowSync makes each sync of a file take so much longer; 0 ends it.
func (t *Target) SlowSync(pause time.Duration) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pause(pause)
}

func (t *Target) pause(pause time.Duration) error {
	return errors.Join(t.set(wordPauseSec, uint64(pause/time.Second)), t.set(wordPauseNano, uint64(pause%time.Second)))
}

// StallSync makes syncs of files wait until it is called with false.
func (t *Target) StallSync(stalled bool) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !stalled {
		return errors.Join(t.set(wordStalled, 0), t.pause(0))
	}
	return errors.Join(t.pause(stallPoll), t.set(wordStalled, 1))
}

// FailSync makes syncs of files fail with an I/O error until it is called with false.
func (t *Target) FailSync(failing bool) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !failing {
		return t.set(wordSyncError, 0)
	}
	return t.set(wordSyncError, uint64(syscall.EIO))
}

// FillDisk makes all writes that make files longer fail until it is called with false.
// The kernel does this: no file of the process may be longer than nothing.
func (t *Target) FillDisk(full bool) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case full && t.limit == nil:
		limit := &syscall.Rlimit{}
		if err := prlimit(t.pid, nil, limit); err != nil {
			return err
		}
		t.limit = limit
		return prlimit(t.pid, &syscall.Rlimit{Cur: 0, Max: limit.Max}, nil)
	case !full && t.limit != nil:
		limit := t.limit
		t.limit = nil
		return prlimit(t.pid, limit, nil)
	}
	return nil
}

func prlimit(pid int, set, old *syscall.Rlimit) error {
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_FSIZE,
		uintptr(unsafe.Pointer(set)), uintptr(unsafe.Pointer(old)), 0, 0)
	if errno != 0 {
		return fmt.Errorf("limit the files of process %d: %w", pid, errno)
	}
	return nil
}

func (t *Target) set(offset, value uint64) error {
	return writeAt(t.pid, t.at.words+offset, binary.LittleEndian.AppendUint64(nil, value))
}

func readAt(pid int, addr uint64, data []byte) error {
	mem, err := os.Open(memPath(pid))
	if err != nil {
		return err
	}
	defer mem.Close()
	if _, err := mem.ReadAt(data, int64(addr)); err != nil {
		return fmt.Errorf("read memory of process %d: %w", pid, err)
	}
	return nil
}

func writeAt(pid int, addr uint64, data []byte) error {
	mem, err := os.OpenFile(memPath(pid), os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer mem.Close()
	if _, err := mem.WriteAt(data, int64(addr)); err != nil {
		return fmt.Errorf("write memory of process %d: %w", pid, err)
	}
	return nil
}

func memPath(pid int) string { return fmt.Sprintf("/proc/%d/mem", pid) }
