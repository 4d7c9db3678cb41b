package main

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "lynxgate.dev/lynxgate/internal/testseed" // the same schedules every run
)

func TestFitLineFindsTheLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := line{
			Intercept: rapid.Float64Range(-1e3, 1e3).Draw(t, "intercept"),
			Slope:     rapid.Float64Range(-1e3, 1e3).Draw(t, "slope"),
		}
		xs := rapid.SliceOfNDistinct(rapid.IntRange(0, 500), 2, 8, rapid.ID[int]).Draw(t, "xs")
		var points []point
		for _, x := range xs {
			points = append(points, point{float64(x), want.at(float64(x))})
		}
		got := fitLine(points)
		require.InDelta(t, want.Slope, got.Slope, 1e-6)
		require.InDelta(t, want.Intercept, got.Intercept, 1e-3)
		require.InDelta(t, 0, got.Residual, 1e-3)
	})
}

func TestFitLineOfScatteredPoints(t *testing.T) {
	got := fitLine([]point{{0, 0}, {1, 2}, {2, 1}, {3, 3}})
	require.InDelta(t, 0.8, got.Slope, 1e-12)
	require.InDelta(t, 0.3, got.Intercept, 1e-12)
	require.InDelta(t, 0.6708, got.Residual, 1e-4)
}

func TestFitLineWithoutSpread(t *testing.T) {
	require.Equal(t, line{}, fitLine(nil))
	got := fitLine([]point{{5, 1}, {5, 3}})
	require.Equal(t, line{Intercept: 2, Residual: 1}, got)
}
