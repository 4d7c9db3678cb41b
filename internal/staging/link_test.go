package staging

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/fleet"
)

// linkFetcher returns a fetcher on a link on which a piece takes 25 ms.
func linkFetcher() *fetcher {
	f := testFetcher([]byte("a"))
	f.s.cfg.LinkMbps = 8
	f.g.engine = &fleet.Engine{PieceBytes: 25_000}
	f.s.engineVersion.Store(1)
	return f
}

// handleFetch processes the result of a fetch that took this long, with the given number of
// concurrent fetches.
func handleFetch(f *fetcher, took time.Duration, concurrent int, err error) {
	f.downloads = concurrent
	f.handleResult(fetchResult{piece: 0, peer: "p", took: took, concurrent: concurrent, data: []byte("b"), err: err})
	f.downloads = 0
}

func TestOneFetchAtATimeOnNarrowLink(t *testing.T) {
	f := linkFetcher()
	for range 10 {
		handleFetch(f, 80*time.Millisecond, 3, nil)
	}
	assert.Equal(t, maxDownloads, f.downloadLimit(), "the link has its configured bandwidth")
	for range 10 {
		handleFetch(f, 600*time.Millisecond, 3, nil)
	}
	assert.Equal(t, 1, f.downloadLimit())
	f.originFetches = 1
	assert.Equal(t, 0, f.downloadLimit(), "a fetch from the origin is in flight")
	f.originFetches, f.downloads = 0, 1
	assert.False(t, f.originDue(0, 0, time.Now().Add(time.Minute)), "a fetch from a peer is in flight")
	for range 10 {
		handleFetch(f, 30*time.Millisecond, 1, nil)
	}
	assert.Equal(t, maxDownloads, f.downloadLimit(), "the link is no longer narrow")
}

func TestTimeoutsMakeLinkNarrow(t *testing.T) {
	f := linkFetcher()
	for range 3 { // concurrent fetches
		handleFetch(f, pieceTimeout, 3, context.DeadlineExceeded)
	}
	assert.Equal(t, 1, f.downloadLimit())
}

func TestOneSlowPeerDoesNotMakeLinkNarrow(t *testing.T) {
	f := linkFetcher()
	for i := range 60 {
		took := 80 * time.Millisecond
		if i%6 == 0 {
			took = 600 * time.Millisecond
		}
		handleFetch(f, took, 3, nil)
		assert.False(t, f.link.narrow())
	}
}

func TestBusyPeersDoNotMakeLinkNarrow(t *testing.T) {
	f := linkFetcher()
	for range 10 {
		handleFetch(f, uploadWait, 1, errPeerBusy)
	}
	assert.False(t, f.link.narrow())
}

func TestTimeOnLink(t *testing.T) {
	assert.Equal(t, 25*time.Millisecond, timeOnLink(25_000, 8))
	assert.Equal(t, time.Second, timeOnLink(125, 0.001))
	assert.Zero(t, timeOnLink(0, 8))
}
