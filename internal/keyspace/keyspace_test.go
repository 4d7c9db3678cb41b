package keyspace

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "lynxgate.dev/lynxgate/internal/testseed" // the same schedules every run
)

// content maps each key of a view to its value and revision, for comparison.
func content(v *View) map[string]string {
	out := make(map[string]string)
	for _, e := range v.Entries() {
		out[e.Key] = fmt.Sprintf("%s@%d", e.Value, e.Revision)
	}
	return out
}

func drawChanges(t *rapid.T, revision uint64) []*Entry {
	var changes []*Entry
	for i := range rapid.IntRange(0, 4).Draw(t, "changes") {
		changes = append(changes, &Entry{
			Key:      rapid.SampledFrom([]string{"a/1", "a/2", "b/1", "b/2", "c"}).Draw(t, "key"),
			Value:    []byte(fmt.Sprint(i)),
			Revision: revision,
			Deleted:  rapid.IntRange(0, 3).Draw(t, "delete") == 0,
		})
	}
	return changes
}

// TestDeltasLeadToTheView compares views with a plain map, and checks that
// applying the history's changes or a diff to any older view gives the newest.
func TestDeltasLeadToTheView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := map[string]string{}
		views := []*View{NewView(0, nil)}
		history := NewHistory(rapid.IntRange(1, 10).Draw(t, "deltas"), 1<<20)
		for revision := uint64(1); revision <= 20; revision++ {
			changes := drawChanges(t, revision)
			for _, c := range changes {
				model[c.Key] = fmt.Sprintf("%s@%d", c.Value, revision)
				if c.Deleted {
					delete(model, c.Key)
				}
			}
			last := views[len(views)-1]
			view := last.Apply(revision, changes)
			require.Equal(t, model, content(view))
			history.Append(Delta{From: last.Revision(), To: revision, Changes: changes})
			views = append(views, view)
		}
		newest := views[len(views)-1]
		for have, old := range views {
			require.Equal(t, model, content(old.Apply(newest.Revision(), Diff(old, newest))))
			changes, ok := history.Since(uint64(have))
			require.Equal(t, have >= 20-history.Len(), ok, "the history covers one revision per delta")
			if ok {
				require.Equal(t, model, content(old.Apply(newest.Revision(), changes)))
			}
		}
		require.Len(t, newest.Select([]string{"a/", "c"}), len(newest.Prefix("a/"))+len(newest.Prefix("c")))
	})
}

func TestHistoryIsBounded(t *testing.T) {
	h := NewHistory(10, 1000)
	for i := range uint64(100) {
		h.Append(Delta{From: i, To: i + 1, Changes: []*Entry{{Key: "k", Value: make([]byte, 100)}}})
		require.LessOrEqual(t, h.bytes, 1000)
	}
	require.Less(t, h.Len(), 10)
	h.Append(Delta{From: 100, To: 101, Changes: []*Entry{{Key: "k", Value: make([]byte, 2000)}}})
	require.Zero(t, h.Len(), "a delta larger than the bound is not kept")
	h.Append(Delta{From: 5, To: 6})
	h.Append(Delta{From: 8, To: 9})
	_, ok := h.Since(5)
	require.False(t, ok, "no changes across a gap")
}
