package replica

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// BenchmarkPropose measures accepted proposals of 128 bytes on three servers
// in one process, each with its own synced log.
func BenchmarkPropose(b *testing.B) {
	for _, proposers := range []int{1, 64} {
		b.Run(fmt.Sprintf("proposers=%d", proposers), func(b *testing.B) {
			c := newCluster(b, 3, func(cfg *Config) { cfg.TickInterval = DefaultTickInterval })
			c.propose("first")
			leader := c.leader()
			syncs := leader.counter("lynxgate_consensus_log_syncs_total")
			command := make([]byte, 128)
			var left atomic.Int64
			left.Store(int64(b.N))
			b.ResetTimer()
			var wg sync.WaitGroup
			for range proposers {
				wg.Add(1)
				go func() {
					defer wg.Done()
					for left.Add(-1) >= 0 {
						_, err := leader.node.Propose(context.Background(), command)
						require.NoError(b, err)
					}
				}()
			}
			wg.Wait()
			b.StopTimer()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
			b.ReportMetric((leader.counter("lynxgate_consensus_log_syncs_total")-syncs)/float64(b.N), "syncs/proposal")
		})
	}
}

// BenchmarkIdle measures the traffic of an idle cluster of three servers. One
// operation is one second.
func BenchmarkIdle(b *testing.B) {
	for _, heartbeat := range []int{2, DefaultHeartbeatTicks} {
		b.Run(fmt.Sprintf("heartbeat=%v", time.Duration(heartbeat)*DefaultTickInterval), func(b *testing.B) {
			benchmarkIdle(b, heartbeat)
		})
	}
}

func benchmarkIdle(b *testing.B, heartbeatTicks int) {
	c := newCluster(b, 3, func(cfg *Config) {
		cfg.TickInterval = DefaultTickInterval
		cfg.HeartbeatTicks = heartbeatTicks
	})
	c.propose("first")
	leader := c.leader()
	// sent returns a counter of the leader and the average over the followers.
	sent := func(name string) (leading, following float64) {
		for _, s := range c.servers {
			if s == leader {
				leading = s.counter(name)
				continue
			}
			following += s.counter(name) / 2
		}
		return leading, following
	}
	const messages, bytes = "lynxgate_consensus_messages_sent_total", "lynxgate_consensus_connection_sent_bytes_total"
	leaderMessages, followerMessages := sent(messages)
	leaderBytes, followerBytes := sent(bytes)
	b.ResetTimer()
	time.Sleep(time.Duration(b.N) * time.Second)
	b.StopTimer()
	perSecond := func(name string, leaderBefore, followerBefore float64, unit string) {
		leading, following := sent(name)
		b.ReportMetric((leading-leaderBefore)/b.Elapsed().Seconds(), "leader_"+unit+"/s")
		b.ReportMetric((following-followerBefore)/b.Elapsed().Seconds(), "follower_"+unit+"/s")
	}
	perSecond(messages, leaderMessages, followerMessages, "messages")
	perSecond(bytes, leaderBytes, followerBytes, "bytes")
}
