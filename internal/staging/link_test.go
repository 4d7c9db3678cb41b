package staging

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/fleet"
)

// linkFetcher is of an agent on a link on which a piece takes 25 ms.
func linkFetcher() *fetcher {
	f := testFetcher([]byte("a"))
	f.s.cfg.LinkMbps = 8
	f.g.engine = &fleet.Engine{PieceBytes: 25_000}
	f.s.holding.Store(1)
	return f
}

// fetchedIn takes in a fetch that took this long beside others.
func fetchedIn(f *fetcher, took time.Duration, beside int, err error) {
	f.downs = beside
	f.take(fetched{piece: 0, peer: "p", took: took, beside: beside, data: []byte("b"), err: err})
	f.downs = 0
}

func TestOnePieceAtATimeOnANarrowLink(t *testing.T) {
	f := linkFetcher()
	for range 10 {
		fetchedIn(f, 80*time.Millisecond, 3, nil)
	}
	assert.Equal(t, maxDownloads, f.mostDownloads(), "as it should be")
	for range 10 {
		fetchedIn(f, 600*time.Millisecond, 3, nil)
	}
	assert.Equal(t, 1, f.mostDownloads())
	f.origins = 1
	assert.Equal(t, 0, f.mostDownloads(), "the origin sends one")
	f.origins, f.downs = 0, 1
	assert.False(t, f.originsTurn(0, 0, time.Now().Add(time.Minute)), "a peer sends one")
	for range 10 {
		fetchedIn(f, 30*time.Millisecond, 1, nil)
	}
	assert.Equal(t, maxDownloads, f.mostDownloads(), "the link is wide again")
}

func TestFetchesThatTimeOutMakeALinkNarrow(t *testing.T) {
	f := linkFetcher()
	for range 3 { // those that were asked at once
		fetchedIn(f, pieceTimeout, 3, context.DeadlineExceeded)
	}
	assert.Equal(t, 1, f.mostDownloads())
}

func TestOneSlowPeerDoesNotMakeTheLinkNarrow(t *testing.T) {
	f := linkFetcher()
	for i := range 60 {
		took := 80 * time.Millisecond
		if i%6 == 0 {
			took = 600 * time.Millisecond
		}
		fetchedIn(f, took, 3, nil)
		assert.False(t, f.link.narrow())
	}
}

func TestRefusalsOfBusyPeersTellNothingOfTheLink(t *testing.T) {
	f := linkFetcher()
	for range 10 {
		fetchedIn(f, uploadWait, 1, errPeerBusy)
	}
	assert.False(t, f.link.narrow())
}

func TestTimeOnLink(t *testing.T) {
	assert.Equal(t, 25*time.Millisecond, timeOnLink(25_000, 8))
	assert.Equal(t, time.Second, timeOnLink(125, 0.001))
	assert.Zero(t, timeOnLink(0, 8))
}
