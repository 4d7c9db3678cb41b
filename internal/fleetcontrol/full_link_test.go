package fleetcontrol

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"google.golang.org/protobuf/proto"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/rpc"
)

const (
	linkStep = 10 * time.Millisecond
	// linkRate is in bytes a second: half of 27 Mbit/s, which two control servers of a region share.
	linkRate = 27e6 / 8 / 2
	// socketBytes is what one connection takes before its writer waits.
	socketBytes = 64 << 10
	// announcedEvery is the time between two announcements of a server, reportedEvery that between two reports of its agent.
	announcedEvery = 1200 * time.Millisecond
	reportedEvery  = 500 * time.Millisecond
	// leaveCallTimeout is how long a server waits for the answer to its leave.
	leaveCallTimeout = time.Second
	// linkSettleTime is how long a link has a rate before a server leaves.
	linkSettleTime = 2 * time.Second
)

// linkSeeds is the number of seeds of TestSeriesOfLeavesIsAcknowledgedOnChangingLinks.
var linkSeeds = flag.Uint64("link.seeds", 3, "seeds of changing links")

// fullLink is a link between a control server and the entries of another region, in virtual time. Its rate is shared in the order
// sent.
type fullLink struct {
	hub       *hub
	followers []*follower
	servers   int
	// rate is in bytes a second.
	rate  float64
	now   time.Duration
	queue []sentOnLink
	// queued are the bytes of each follower in the queue.
	queued map[*follower]int
	// credit are bytes that the link could have carried by now; negative while the first update in the queue is being carried.
	credit float64
}

type sentOnLink struct {
	to     *follower
	number uint64
	size   int
}

func newFullLink(entries, servers int) *fullLink {
	l := &fullLink{hub: testHub(), servers: servers, rate: linkRate, queued: map[*follower]int{}}
	began := clock.Now()
	l.hub.now = func() time.Time { return began.Add(l.now) }
	for range entries {
		l.followers = append(l.followers, l.hub.join(&rpc.FollowerMessage{Name: "e", Role: RoleEntry, Zone: "z"}))
	}
	for i := range servers {
		l.announce(i, 1, fleet.StateReady)
	}
	return l
}

func (l *fullLink) announce(server int, seq uint64, state fleet.State) {
	l.hub.mu.Lock()
	defer l.hub.mu.Unlock()
	l.hub.merge(fleet.BackendServer{
		ID: testServer(server), Service: "s", Addr: testServerAddr(server), Zone: "z", Slots: 8, Seq: seq, State: state, SeenAt: clock.Now(),
	}, "test")
}

// step lets a time pass: presence of the servers comes to the control server, updates are sent to followers whose connection takes
// them, and the link carries what its rate allows.
func (l *fullLink) step() {
	for i := range l.servers {
		if seq, due := l.due(i, announcedEvery); due {
			l.announce(i, seq+1, fleet.StateReady)
		}
		if seq, due := l.due(i, reportedEvery); due {
			l.hub.mergeReport(&rpc.AgentReport{Addr: testServerAddr(i), Epoch: 1, Seq: seq, Running: 3, Waiting: 1, Pace: 1.1, Relays: true})
		}
	}
	for _, f := range l.followers {
		if l.queued[f] > socketBytes {
			continue
		}
		if u := l.hub.next(f); u != nil {
			size := proto.Size(u)
			l.queue = append(l.queue, sentOnLink{to: f, number: u.Number, size: size})
			l.queued[f] += size
		}
	}
	l.credit += l.rate * linkStep.Seconds()
	for len(l.queue) > 0 && l.credit > 0 {
		first := l.queue[0]
		l.queue = l.queue[1:]
		l.queued[first.to] -= first.size
		l.credit -= float64(first.size)
		l.hub.acknowledge(first.to, &rpc.FollowerMessage{Acknowledged: first.number})
	}
	if len(l.queue) == 0 {
		l.credit = min(l.credit, 0)
	}
	l.now += linkStep
}

// due reports whether something that a server does at an interval is due in this step, and how often it was before.
func (l *fullLink) due(server int, every time.Duration) (times uint64, due bool) {
	offset := every * time.Duration(server) / time.Duration(l.servers)
	at := l.now + every - offset
	return uint64(at / every), at%every < linkStep
}

// leave announces that a server leaves, and returns how long it takes until all followers have acknowledged that.
func (l *fullLink) leave(server int) time.Duration {
	l.announce(server, 1_000_000, fleet.StateDraining)
	began := l.now
	numbers := map[*follower]uint64{}
	for _, f := range l.followers {
		numbers[f] = f.number + 1 // the next update holds the leave
	}
	for len(numbers) > 0 && l.now-began < time.Minute {
		l.step()
		for f, number := range numbers {
			if f.acked >= number {
				delete(numbers, f)
			}
		}
	}
	return l.now - began
}

// Guards against leaves that are acknowledged late, or before all followers know them, while renewals and reports fill a link.
func TestLeaveIsAcknowledgedWhilePresenceFillsTheLink(t *testing.T) {
	for _, entries := range []int{65, 130} {
		l := newFullLink(entries, 728)
		for l.now < 5*time.Second {
			l.step()
		}
		took := l.leave(0)
		t.Logf("%d entries: acknowledged by all after %v", entries, took)
		assert.Less(t, took, leaveTimeout, "%d entries", entries)
	}
}

// Guards against the same on links that narrow and widen while servers leave one after the other.
func TestSeriesOfLeavesIsAcknowledgedOnChangingLinks(t *testing.T) {
	for seed := range *linkSeeds {
		r := rand.New(rand.NewPCG(seed, 0))
		entries := 10 + r.IntN(60)
		l := newFullLink(entries, 200)
		for server := range 8 {
			l.rate = linkRate / (1 + 9*r.Float64())
			settled := l.now + linkSettleTime
			for l.now < settled {
				l.step()
			}
			took := l.leave(server)
			t.Logf("seed %d, %d entries, leave %d at %.2f Mbit/s: acknowledged by all after %v", seed, entries, server, l.rate*8/1e6, took)
			assert.Less(t, took, leaveCallTimeout, "seed %d, %d entries, leave %d at %.2f Mbit/s", seed, entries, server, l.rate*8/1e6)
		}
	}
}

// Guards against presence that is sent on to a link that has just narrowed, before which acknowledgements no longer come, so that
// a leave waits behind it.
func TestLeaveIsAcknowledgedSoonAfterALinkNarrows(t *testing.T) {
	const entries, wideFor, narrowedFor = 50, 10 * time.Second, 300 * time.Millisecond
	for _, share := range []float64{1, 0.6, 0.4, 0.3, 0.2} {
		l := newFullLink(entries, 200)
		l.rate = linkRate * share
		for l.now < wideFor {
			l.step()
		}
		l.rate = linkRate / 10
		for until := l.now + narrowedFor; l.now < until; {
			l.step()
		}
		took := l.leave(0)
		t.Logf("from %.1f to %.1f Mbit/s: acknowledged by all after %v", linkRate*share*8/1e6, l.rate*8/1e6, took)
		assert.Less(t, took, leaveCallTimeout)
	}
}
