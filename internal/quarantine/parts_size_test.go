package quarantine

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkSoundSize measures the memory of all sound parts that a table keeps.
func BenchmarkSoundSize(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := New()
		for i := range maxSound {
			table.RecordSound(at(i), content(i), 1, fmt.Sprintf("server-%d", i%100), true)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/maxSound, "B/part")
		runtime.KeepAlive(table)
	}
}

// BenchmarkSoundAnswer measures what the answer to a request with three shared parts costs an entry while nothing is suspect.
func BenchmarkSoundAnswer(b *testing.B) {
	table := New()
	for b.Loop() {
		for _, part := range []string{"5c1e07a2", "91bd3f06", "e4402b7d"} {
			for _, c := range PartCandidates("organisation", "model", part) {
				table.RecordSound(at(1), c.Digest, 1, "server", true)
			}
		}
	}
}

// BenchmarkJudge measures the verdict on a request with three shared parts and a content, beside a full table.
func BenchmarkJudge(b *testing.B) {
	table := New()
	for i := range maxRecords {
		for j := range 3 {
			table.crashed(fmt.Sprintf("server-%d-%d", i/8, j), 1000*j, content(i))
		}
	}
	var candidates []Candidate
	for _, part := range []string{"5c1e07a2", "91bd3f06", "e4402b7d"} {
		both := PartCandidates("organisation", "model", part)
		candidates = append(candidates, both[:]...)
	}
	candidates = append(candidates, Candidate{Digest: content(maxRecords)})
	b.Run("free", func(b *testing.B) {
		for b.Loop() {
			table.Judge(at(5000), candidates)
		}
	})
	b.Run("quarantined", func(b *testing.B) {
		for i := range 6 {
			table.crashedUnder(fmt.Sprint("server-0-", i), 1500*i, candidates[1])
		}
		table.Merge(at(9000), Update{Digest: candidates[1].Digest, At: at(9000)})
		for b.Loop() {
			table.Judge(at(9500), candidates)
		}
	})
}
