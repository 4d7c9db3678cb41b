package quarantine

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkRecordSize measures the memory of a full table with three crashes per content.
func BenchmarkRecordSize(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := New()
		for i := range maxRecords {
			for j := range 3 {
				table.crashed(fmt.Sprintf("server-%d-%d", i/8, j), 1000*j, content(i))
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/maxRecords, "B/record")
		runtime.KeepAlive(table)
	}
}
