package engine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lynxgate.dev/lynxgate/internal/standin/tokens"

	_ "lynxgate.dev/lynxgate/internal/testseed" // the same schedules every run
)

func newBatch(slots, cacheBlocks int) *batch {
	cache := newPrefixCache(cacheBlocks, func(bool, blockKey) {})
	return &batch{slots: slots, prefillWords: 32, cache: cache}
}

func testRequest(prompt string, priority, limit int) *request {
	words := wordsOf(prompt)
	return &request{
		priority: priority, prompt: tokens.HashPrompt(prompt), words: len(words), blocks: blocksOf(words),
		last: limit, out: make(chan token, limit), cut: make(chan struct{}),
	}
}

// words returns a prompt of n different words.
func words(name string, n int) string {
	var prompt strings.Builder
	for i := range n {
		fmt.Fprintf(&prompt, "%s%d ", name, i)
	}
	return prompt.String()
}

// stepsToFirst adds the request and returns the steps until its first token.
func stepsToFirst(b *batch, r *request) int {
	b.add(r)
	for steps := 1; ; steps++ {
		b.step("d")
		if len(r.out) > 0 {
			return steps
		}
	}
}

func TestFirstTokenDependsOnUncachedPrompt(t *testing.T) {
	b := newBatch(4, 100)
	cases := []struct {
		prompt string
		steps  int
		cached int
	}{
		{words("a", 8), 1, 0},
		{words("a", 320), 10, 0},
		{words("a", 320), 1, 320},
		{words("a", 320) + words("b", 64), 2, 320},
		{words("b", 320), 10, 0},
	}
	for i, c := range cases {
		r := testRequest(c.prompt, 0, 1)
		require.Equal(t, c.steps, stepsToFirst(b, r), "case %d", i)
		require.Equal(t, c.cached, r.cached, "case %d", i)
	}
}

func TestCacheDropsLeastRecentlyUsed(t *testing.T) {
	b := newBatch(4, 20)
	stepsToFirst(b, testRequest(words("a", 160), 0, 1))
	stepsToFirst(b, testRequest(words("b", 160), 0, 1))
	stepsToFirst(b, testRequest(words("a", 160), 0, 1))
	stepsToFirst(b, testRequest(words("c", 80), 0, 1))
	require.Equal(t, 10, b.cache.match(blocksOf(wordsOf(words("a", 160)))))
	require.Equal(t, 5, b.cache.match(blocksOf(wordsOf(words("b", 160)))), "the end of the prefix goes first")
}

func TestUrgentRequestsAreAdmittedFirst(t *testing.T) {
	b := newBatch(1, 1)
	draft, second, urgent := testRequest("a", 5, 2), testRequest("b", 5, 1), testRequest("c", 0, 1)
	b.add(draft)
	b.step("d")
	b.add(second)
	b.add(urgent)
	b.step("d")
	require.Len(t, draft.out, 2, "a running request keeps its slot")
	b.step("d")
	require.Len(t, urgent.out, 1)
	require.Empty(t, second.out)
}

// Every request gets its own tokens in order, whatever joins and leaves, and
// no step gives a request more than one token.
func TestBatchProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBatch(rapid.IntRange(1, 4).Draw(t, "slots"), 8)
		var live []*request
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "add") {
				prompt := words(rapid.StringMatching("[a-c]").Draw(t, "name"), rapid.IntRange(0, 100).Draw(t, "words"))
				r := testRequest(prompt, rapid.IntRange(0, 2).Draw(t, "priority"), rapid.IntRange(1, 9).Draw(t, "limit"))
				b.add(r)
				live = append(live, r)
			}
			if len(live) > 0 && rapid.IntRange(0, 9).Draw(t, "cancel") == 0 {
				b.remove(live[rapid.IntRange(0, len(live)-1).Draw(t, "which")])
			}
			before := make([]int, len(live))
			for i, r := range live {
				before[i] = len(r.out)
			}
			b.step("d")
			require.LessOrEqual(t, len(b.running), b.slots)
			require.LessOrEqual(t, b.cache.order.Len(), b.cache.capacity)
			for i, r := range live {
				require.LessOrEqual(t, len(r.out)-before[i], 1)
			}
		}
		for _, r := range live {
			for i := 0; len(r.out) > 0; i++ {
				require.Equal(t, token{index: i, text: tokens.Token("d", r.prompt, i), digest: "d"}, <-r.out)
			}
		}
	})
}

func TestEventsComeLateAndWithGaps(t *testing.T) {
	log := eventLog{delay: time.Second, loseEvery: 3}
	start := time.Unix(0, 0)
	for i := range 6 {
		log.add(start.Add(time.Duration(i)*time.Second), true, blockKey(i))
	}
	require.Empty(t, log.since(start, 0).Events)
	seen := log.since(start.Add(4*time.Second), 0)
	require.Equal(t, uint64(4), seen.Next)
	require.Equal(t, []uint64{1, 2, 4}, []uint64{seen.Events[0].Seq, seen.Events[1].Seq, seen.Events[2].Seq})
	require.Len(t, log.since(start.Add(time.Minute), seen.Next).Events, 1)
}

func TestLoadReportLags(t *testing.T) {
	report := loadReport{lag: 2 * time.Second}
	start := time.Unix(0, 0)
	for i := range 4 {
		report.record(start.Add(time.Duration(i)*time.Second), i, 0)
	}
	require.Equal(t, 1, report.at(start.Add(3*time.Second)).running)
	require.Equal(t, 3, report.at(start.Add(time.Minute)).running)
	require.Len(t, report.samples, 1)
}
