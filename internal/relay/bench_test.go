package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// The stream of BenchmarkRelayedStream: 24 events of 70 bytes, as a usual answer has them.
const (
	benchEvents = 24
	benchHead   = headOf + "a\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// serveBenchStreams answers each request on a connection with a stream whose events are written one by one.
func serveBenchStreams(conn net.Conn) {
	defer conn.Close()
	event := "46\r\n" + strings.Repeat("x", 70) + "\r\n"
	br := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(conn, benchHead)
		for range benchEvents {
			_, _ = io.WriteString(conn, event)
			time.Sleep(time.Millisecond)
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}

// BenchmarkRelayedStream measures the processor time of streams through the relay, entry, engine and test included; one without the
// relay is the sub-benchmark direct.
func BenchmarkRelayedStream(b *testing.B) {
	for _, relayed := range []bool{false, true} {
		name := map[bool]string{false: "direct", true: "relayed"}[relayed]
		b.Run(name, func(b *testing.B) {
			r := newRig(b)
			go func() {
				for {
					conn, err := r.engine.Accept()
					if err != nil {
						return
					}
					go serveBenchStreams(conn)
				}
			}()
			addr := r.engine.Addr().String()
			if relayed {
				addr = r.addr
			}
			before := processorTime()
			b.RunParallel(func(pb *testing.PB) {
				conn, err := net.Dial("tcp", addr)
				if err != nil {
					b.Error(err)
					return
				}
				entry := newPeer(b, conn)
				_ = conn.SetDeadline(time.Time{})
				for pb.Next() {
					if relayed {
						entry.send("a")
					} else {
						entry.write("GET /work HTTP/1.1\r\nHost: h\r\nX-Request: a\r\n\r\n")
					}
					resp, err := http.ReadResponse(entry.br, nil)
					if err != nil {
						b.Error(err)
						return
					}
					_, _ = io.Copy(io.Discard, resp.Body)
				}
			})
			b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(b.N), "cpu-µs/stream")
		})
	}
}

// processorTime returns the processor time of this process so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
