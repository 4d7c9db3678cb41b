package engine

import (
	"encoding/hex"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"lukechampine.com/blake3"
)

// manifestFile in a weights folder is not part of the weights.
const manifestFile = "manifest.json"

// Order is the body of the orders to the engine. Each kind of order uses the
// fields it needs.
type Order struct {
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	// Path of the weights file, or of a folder of weights files.
	Path string `json:"path,omitempty"`
	// Role is "mixed", "prefill" or "decode".
	Role string `json:"role,omitempty"`
	// Adapter is the name of an adapter at Path.
	Adapter string `json:"adapter,omitempty"`
	Fence   uint64 `json:"fence"`
}

// take checks the fencing number of an order; the caller holds the mutex.
func (e *Engine) take(order Order) bool {
	if e.cfg.CheckFencing && order.Fence < e.state.Fence {
		return false
	}
	e.state.Fence = order.Fence
	return true
}

// refuseOld answers an order with an old fencing number.
func (e *Engine) refuseOld(w http.ResponseWriter, text string) {
	writeJSON(w, http.StatusConflict, Error{Error: text, Fence: e.Snapshot().Fence})
}

// serveLoad answers when the load has ended. The load goes on when the caller
// leaves. Requests in progress wait for it, and go on with the new weights.
func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !decode(w, r, &order) {
		return
	}
	if _, err := os.Stat(order.Path); err != nil {
		writeError(w, http.StatusBadRequest, "weights path: "+err.Error())
		return
	}
	number, taken := e.begin(order)
	if !taken {
		e.refuseOld(w, "old fencing number")
		return
	}
	digest, err := e.readWeights(order.Path)
	if !e.finish(order, number, digest, err) {
		e.refuseOld(w, "superseded by a newer order")
		return
	}
	if err != nil {
		writeError(w, http.StatusInternalServerError, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, e.Snapshot())
}

// begin takes a load order, drops the weights in use and numbers the change
// of weights.
func (e *Engine) begin(order Order) (number uint64, taken bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.take(order) {
		return 0, false
	}
	e.state.State = StatusLoading
	e.state.Model, e.state.Version, e.state.Digest = order.Model, order.Version, ""
	e.state.Adapters = nil
	e.batch.cache.clear()
	e.change++
	return e.change, true
}

// readWeights takes the time of a load and returns the digest of what was read.
func (e *Engine) readWeights(path string) (string, error) {
	time.Sleep(e.cfg.LoadTime)
	runs := func(f Faults) bool { return !f.HangLoad }
	if err := e.faults.Wait(e.ctx, runs); err != nil {
		return "", fmt.Errorf("load hung: %w", err)
	}
	if text := e.faults.Get().LoadError; text != "" {
		return "", fmt.Errorf("load: %s", text)
	}
	return DigestPath(path)
}

// finish makes the weights live. It reports false if a newer order has taken
// over, which only engines that check fencing look at.
func (e *Engine) finish(order Order, number uint64, digest string, err error) bool {
	defer e.signal()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.CheckFencing && number != e.change {
		return false
	}
	if err != nil {
		e.empty()
		return true
	}
	e.state.State = StatusLive
	e.state.Model, e.state.Version, e.state.Digest = order.Model, order.Version, digest
	return true
}

// empty drops weights and requests; the caller holds the mutex.
func (e *Engine) empty() {
	e.state.State = StatusEmpty
	e.state.Model, e.state.Version, e.state.Digest = "", "", ""
	e.state.Adapters = nil
	e.batch.cache.clear()
	e.batch.cutAll()
	e.recordLoad()
}

func (e *Engine) serveUnload(w http.ResponseWriter, r *http.Request) {
	e.serveOrder(w, r, func(Order) string {
		e.change++
		e.empty()
		return ""
	})
}

func (e *Engine) serveRole(w http.ResponseWriter, r *http.Request) {
	e.serveOrder(w, r, func(order Order) string {
		if !slices.Contains([]string{"mixed", "prefill", "decode"}, order.Role) {
			return "unknown role"
		}
		e.state.Role = order.Role
		return ""
	})
}

func (e *Engine) serveAdapter(w http.ResponseWriter, r *http.Request) {
	e.serveOrder(w, r, func(order Order) string {
		if e.state.State != StatusLive {
			return "no weights are live"
		}
		if _, err := os.Stat(order.Path); err != nil {
			return "adapter path: " + err.Error()
		}
		if !slices.Contains(e.state.Adapters, order.Adapter) {
			e.state.Adapters = append(slices.Clone(e.state.Adapters), order.Adapter)
		}
		return ""
	})
}

// serveOrder carries out an order that takes no time. The order runs under
// the mutex and returns why it failed, or "".
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request, run func(Order) string) {
	var order Order
	if !decode(w, r, &order) {
		return
	}
	e.mu.Lock()
	taken, problem := e.take(order), ""
	if taken {
		problem = run(order)
	}
	state := e.snapshot()
	e.mu.Unlock()
	if !taken {
		e.refuseOld(w, "old fencing number")
		return
	}
	if problem != "" {
		writeError(w, http.StatusBadRequest, problem)
		return
	}
	writeJSON(w, http.StatusOK, state)
}

// DigestPath returns the hex BLAKE3 digest of a file, or of the files of a
// folder one after the other by name, without its manifest.json.
func DigestPath(path string) (string, error) {
	whole := blake3.New(32, nil)
	err := filepath.WalkDir(path, func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || entry.Name() == manifestFile {
			return err
		}
		return copyFile(whole, name)
	})
	if err != nil {
		return "", fmt.Errorf("read weights: %w", err)
	}
	return hex.EncodeToString(whole.Sum(nil)), nil
}

func copyFile(to io.Writer, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	_, err = io.Copy(to, file)
	return err
}
