package quarantine

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkRecordSize is what a full table takes, with three ends of servers under each piece of work.
func BenchmarkRecordSize(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := New()
		for i := range maxRecords {
			for j := range 3 {
				table.end(fmt.Sprintf("server-%d-%d", i/8, j), 1000*j, work(i))
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/maxRecords, "B/record")
		runtime.KeepAlive(table)
	}
}
