//go:build review

// Package bed starts a small deployment for the scripts of the review: the daemons as processes with the command of the deploy file,
// and stand-ins of workers, origin, operator and clients on loopback addresses. It records what was sent, answered and run.
package bed

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"lynxgate.dev/lynxgate/platform/standin"
)

// Exit codes of a script.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Bed is a running deployment.
type Bed struct {
	*standin.Fleet
	Origin  *standin.Origin
	Models  []*standin.Worker
	Plain   []*standin.Worker
	Trouble bool

	start  time.Time
	mu     sync.Mutex
	record *os.File
	dir    string
	client *http.Client
	agents []agent
	ends   []func()
	ended  sync.Once
}

// limit is how long a script may run.
const limit = 110 * time.Second

// agent is an agent with the IP number of its machine.
type agent struct{ id, ip string }

// Shape is what a script chooses of a deployment.
type Shape struct {
	Controls, Entries, Models, Plain int
	// Pause is the time between two events of a stream, Work that of a plain request.
	Pause, Work time.Duration
}

// Logf writes a line to the record.
func (b *Bed) Logf(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f "+format+"\n", append([]any{time.Since(b.start).Seconds()}, args...)...)
}

// New starts a deployment; its record is written to record.txt in folder.
func New(folder string, s Shape) (*Bed, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target")
	if err != nil {
		return nil, err
	}
	f, err := standin.NewFleet(dir, program)
	if err != nil {
		return nil, err
	}
	b := &Bed{Fleet: f, Trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: record, dir: dir}
	b.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 12 * time.Second}
	b.Logf("start, disruption: %v", b.Trouble)
	go b.endInTime()
	if err := b.fill(s); err != nil {
		b.End()
		return nil, err
	}
	return b, nil
}

func (b *Bed) fill(s Shape) error {
	b.AddControls(s.Controls)
	b.AddEntries(s.Entries)
	for _, ip := range b.Controls {
		if _, err := b.StartControl(ip, true); err != nil {
			return err
		}
	}
	for _, ip := range b.Entries {
		if _, err := b.StartEntry(ip); err != nil {
			return err
		}
	}
	b.Origin = &standin.Origin{Addr: standin.WorkerAddr(b.IP()), Model: standin.Model, Pieces: standin.Pieces}
	if err := b.Origin.Start(); err != nil {
		return err
	}
	for i := range s.Models {
		ip := b.IP()
		w := &standin.Worker{
			ID: fmt.Sprintf("m-%d", i+1), Service: standin.ModelService, Zone: standin.Zone, Addr: standin.WorkerAddr(ip), Slots: 8,
			Model: standin.Model, Version: 1, Pieces: standin.Pieces, Events: 20, Pause: s.Pause, Control: b.ControlAddrs,
		}
		if err := w.Start(); err != nil {
			return err
		}
		b.Models = append(b.Models, w)
		if err := b.AddAgent(w.ID, ip); err != nil {
			return err
		}
	}
	for i := range s.Plain {
		w, err := b.AddPlain(fmt.Sprintf("p-%d", i+1), s.Work)
		if err != nil {
			return err
		}
		b.Plain = append(b.Plain, w)
	}
	return nil
}

// AddAgent starts the agent on the machine of a model worker.
func (b *Bed) AddAgent(id, ip string) error {
	b.agents = append(b.agents, agent{id, ip})
	_, err := b.StartAgent(id, ip, standin.ModelService)
	return err
}

// AddPlain starts one more worker of the plain service.
func (b *Bed) AddPlain(id string, work time.Duration) (*standin.Worker, error) {
	w := &standin.Worker{
		ID: id, Service: standin.PlainService, Zone: standin.Zone, Addr: standin.WorkerAddr(b.IP()), Slots: 8, Pause: work,
		Control: b.ControlAddrs,
	}
	return w, w.Start()
}

// LogRuns records how often each worker ran a request.
func (b *Bed) LogRuns() {
	for _, w := range append(append([]*standin.Worker{}, b.Models...), b.Plain...) {
		runs := 0
		for _, n := range w.Runs() {
			runs += n
		}
		b.Logf("worker %s of %s ran %d requests", w.ID, w.Service, runs)
	}
}

// AtEnd adds something that ends with the deployment.
func (b *Bed) AtEnd(end func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ends = append(b.ends, end)
}

// endInTime ends everything, and this process, if the script takes too long or is to stop.
func (b *Bed) endInTime() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-stop:
	case <-time.After(limit):
	}
	b.End()
	os.Exit(NotRun)
}

// End ends all processes and removes the temporary folder.
func (b *Bed) End() { b.ended.Do(b.end) }

func (b *Bed) end() {
	b.mu.Lock()
	ends := b.ends
	b.mu.Unlock()
	for _, end := range ends {
		end()
	}
	for _, w := range append(append([]*standin.Worker{}, b.Models...), b.Plain...) {
		w.Stop()
	}
	if b.Origin != nil {
		b.Origin.Stop()
	}
	b.Fleet.Close()
	b.Logf("end")
	_ = os.RemoveAll(b.dir)
}

// Put has the operator put a configuration until it is acknowledged, and returns when that was.
func (b *Bed) Put(document []byte, version int) (time.Time, error) {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); {
		status, body, err := b.Operate(context.Background(), http.MethodPut, "/lynxgate/config", document)
		b.Logf("operator: PUT configuration %d: %d %s %v", version, status, body, err)
		if err == nil {
			if status != http.StatusOK {
				return time.Time{}, fmt.Errorf("configuration %d: %d %s", version, status, body)
			}
			return time.Now(), nil
		}
	}
	return time.Time{}, errors.New("no acknowledgement")
}

// Answer is what a client got.
type Answer struct {
	ID     string
	Status int
	Body   string
	Head   http.Header
	Err    error
	Sent   time.Time
	Took   time.Duration
}

// Request is a request of a client.
type Request struct {
	Entry, Method, Host, Path, ID string
	Body                          []byte
	Deadline                      time.Duration
	Head                          map[string]string
}

// Call sends a request on a connection of its own and records it.
func (b *Bed) Call(r Request) Answer {
	a := Answer{ID: r.ID, Sent: time.Now()}
	req, err := http.NewRequest(r.Method, "http://"+standin.CallersAddr(r.Entry)+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		a.Err = err
		return a
	}
	req.Host = r.Host
	req.Header.Set(standin.HeaderRequestID, r.ID)
	req.Header.Set(standin.HeaderKey, standin.Key)
	if r.Deadline > 0 {
		req.Header.Set("X-Deadline-Ms", strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	}
	for name, value := range r.Head {
		req.Header.Set(name, value)
	}
	resp, err := b.client.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.Status, a.Body, a.Head = resp.StatusCode, string(data), resp.Header
	}
	a.Err, a.Took = err, time.Since(a.Sent)
	b.Logf("client: %s %s%s id %s to %s: %d %q %v after %v", r.Method, r.Host, r.Path, r.ID, b.Name(r.Entry), a.Status, cut(a.Body), a.Err, a.Took.Round(time.Millisecond))
	return a
}

func cut(s string) string {
	if len(s) > 60 {
		return s[:60] + "..."
	}
	return s
}

// KillDaemons kills all daemons.
func (b *Bed) KillDaemons() error {
	b.Logf("all daemons are killed")
	for _, name := range b.daemons() {
		if p := b.Process(name); p != nil {
			if err := p.Kill(); err != nil {
				return err
			}
		}
	}
	return nil
}

// StartDaemons starts all daemons again.
func (b *Bed) StartDaemons() error {
	for _, ip := range b.Controls {
		if _, err := b.StartControl(ip, false); err != nil {
			return err
		}
	}
	for _, ip := range b.Entries {
		if _, err := b.StartEntry(ip); err != nil {
			return err
		}
	}
	for _, a := range b.agents {
		if _, err := b.StartAgent(a.id, a.ip, standin.ModelService); err != nil {
			return err
		}
	}
	b.Logf("all daemons are started again")
	return nil
}

func (b *Bed) daemons() []string {
	var names []string
	for _, ip := range append(append([]string{}, b.Controls...), b.Entries...) {
		names = append(names, b.Name(ip))
	}
	for _, a := range b.agents {
		names = append(names, a.id)
	}
	return names
}

// Job sends an unsafe request of the plain service.
func (b *Bed) Job(entry, id string) Answer {
	return b.Call(Request{Entry: entry, Method: http.MethodPost, Host: standin.PlainHost, Path: "/job/" + id, ID: id, Body: []byte("job"), Deadline: 2 * time.Second})
}

// Draft sends a request for a stream.
func (b *Bed) Draft(entry, id string) Answer {
	return b.Call(Request{Entry: entry, Method: http.MethodPost, Host: standin.StreamHost, Path: "/v1/" + id, ID: id, Body: []byte("draft"), Deadline: 6 * time.Second, Head: map[string]string{standin.HeaderModel: standin.Model, standin.HeaderTokens: "100,20"}})
}

// Ready waits until all entries are ready and serve.
func (b *Bed) Ready(probe func(entry, id string) Answer) error {
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		served := 0
		for _, ip := range b.Entries {
			status, _, err := standin.Call(context.Background(), http.MethodGet, standin.ReadyAddr(ip), "/lynxgate/ready", nil)
			if err == nil && status == http.StatusOK && probe(ip, fmt.Sprintf("warm-%d", time.Now().UnixNano())).Status == http.StatusOK {
				served++
			}
		}
		if served == len(b.Entries) {
			b.Logf("all entries serve")
			return nil
		}
	}
	return errors.New("the entries do not serve")
}

// Main runs a script and exits with its code.
func Main(run func() (int, error)) {
	code, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = NotRun
	}
	os.Exit(code)
}
