package engine

import (
	"net/http"
	"strconv"
	"time"
)

// ExportRequest names the prompt whose KV cache is asked for, either as text
// or by the id of a request in the batch.
type ExportRequest struct {
	Prompt    string `json:"prompt,omitempty"`
	RequestID string `json:"request_id,omitempty"`
}

// KV is an exported KV cache: the blocks of a prompt that the engine holds.
// It is of use only on the weights that made it.
type KV struct {
	Digest string     `json:"digest"`
	Blocks []blockKey `json:"blocks"`
	// Tokens answered so far, when a request was named.
	Tokens int `json:"tokens"`
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var body ExportRequest
	if !decode(w, r, &body) {
		return
	}
	kv, found := e.export(body)
	if !found {
		writeError(w, http.StatusNotFound, "no such request")
		return
	}
	writeJSON(w, http.StatusOK, kv)
}

// export returns the cache of a prompt; false if it names no known request.
func (e *Engine) export(body ExportRequest) (KV, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	kv := KV{Digest: e.state.Digest, Blocks: []blockKey{}}
	blocks := blocksOf(wordsOf(body.Prompt))
	if body.RequestID != "" {
		req := e.batch.find(body.RequestID)
		if req == nil {
			return kv, false
		}
		blocks, kv.Tokens = req.blocks, req.next
	}
	kv.Blocks = append(kv.Blocks, blocks[:e.batch.cache.match(blocks)]...)
	return kv, true
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var kv KV
	if !decode(w, r, &kv) {
		return
	}
	if !e.adopt(kv.Digest, kv.Blocks) {
		writeError(w, http.StatusConflict, "KV cache of other weights")
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Imported int `json:"imported"`
	}{len(kv.Blocks)})
}

// adopt puts the blocks in the cache if they are of the live weights.
func (e *Engine) adopt(digest string, blocks []blockKey) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state.State != StatusLive || digest != e.state.Digest {
		return false
	}
	e.batch.cache.put(blocks)
	return true
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	since := uint64(0)
	if text := r.URL.Query().Get("since"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			writeError(w, http.StatusBadRequest, "since: "+err.Error())
			return
		}
		since = n
	}
	e.mu.Lock()
	events := e.events.since(time.Now(), since)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, events)
}
