package gateway

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/quarantine"
	"lynxgate.dev/lynxgate/internal/standstill"
)

// keptCrash has a caller leave a request under which its server crashes later, and returns the verdict on it. begin is what the server does first;
// others has another request in progress there.
func keptCrash(t testing.TB, begin http.HandlerFunc, others bool) func() quarantine.Verdict {
	var b *backend
	b = newBackend(t, "b-1", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/stream/sound" {
			keepsAfterOneEvent(w, r)
			return
		}
		begin(w, r)
		time.Sleep(600 * time.Millisecond)
		_ = b.Listener.Close()
		b.CloseClientConnections()
	})
	e := newEntry(t, b)
	e.onlyEngines()
	if others {
		go e.ask(t, http.MethodPost, "/stream/sound")
		require.Eventually(t, func() bool { return len(b.requests()) == 1 }, time.Second, time.Millisecond)
	}
	change, leave := leaves()
	time.AfterFunc(300*time.Millisecond, leave)
	e.ask(t, http.MethodPost, "/stream/deadly", change)
	time.AfterFunc(time.Second, func() { e.ask(t, http.MethodPost, "/stream/next") })
	return func() quarantine.Verdict {
		return e.suspects.judge(time.Now(), []quarantine.Candidate{{Digest: e.contentOf("/stream/deadly")}}).Verdict
	}
}

// Guards against a request that a server goes on with after its caller has left a stream that had begun, and that crashes it unsuspected.
func TestBegunRequestThatIsKeptAndCrashesItsServerIsSuspect(t *testing.T) {
	standstill.Run(t, func(t testing.TB) {
		verdict := keptCrash(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set(headers.Signature, "signed")
			w.Header().Set(headers.Version, "7")
			fmt.Fprint(w, "id: 1\ndata: 1\n\n")
			_ = http.NewResponseController(w).Flush()
		}, true)
		assert.Eventually(t, func() bool { return verdict() == quarantine.Suspect }, 2*time.Second, 10*time.Millisecond)
	})
}

// Guards against a request that crashes its server unsuspected, since nothing else was in progress there when its caller had left.
func TestOnlyRequestThatIsKeptAndCrashesItsServerIsSuspect(t *testing.T) {
	standstill.Run(t, func(t testing.TB) {
		verdict := keptCrash(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }, false)
		assert.Eventually(t, func() bool { return verdict() == quarantine.Suspect }, 2*time.Second, 10*time.Millisecond)
	})
}
