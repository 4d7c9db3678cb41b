package server

import (
	"context"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/staging"
)

func gaugeValue(t *testing.T, g prometheus.Gauge) float64 {
	t.Helper()
	var m dto.Metric
	require.NoError(t, g.Write(&m))
	return m.GetGauge().GetValue()
}

// Guards against gauges that do not follow the engine's report; an engine without a pace has the usual one.
func TestGaugesFollowTheEngineReport(t *testing.T) {
	engine := &fleet.Engine{Slots: 12, Stride: 5, Step: 10 * time.Millisecond, ReadPerSecond: 20000, UsualPrompt: 1000, UsualAnswer: 100, Models: []string{"m"}}
	table := fleet.NewTable(&fleet.Config{Services: []fleet.Service{{Name: "s", Engine: engine}}})
	report := staging.Report{Running: 3, Models: []fleet.Loaded{{Model: "m", Version: 7}}}
	m := NewMetrics(prometheus.NewRegistry())
	s := New(Config{
		Service: "s", EngineAddr: "10.0.0.1:80", View: func() *follow.View { return &follow.View{Table: table} }, Logger: zerolog.Nop(), Metrics: m,
		Report: func(context.Context) (staging.Report, error) { return report, nil },
	})
	ask := &rpc.ReserveRequest{Id: "a", Addr: "10.0.0.1:80", Prompt: 1000, BudgetUs: 160_000, LeftUs: 6_000_000}
	got, err := s.Reserve(t.Context(), ask)
	require.NoError(t, err)
	assert.True(t, got.Granted, got.Reason)
	for gauge, want := range map[prometheus.Gauge]float64{m.slots: 12, m.running: 3, m.pace: 1} {
		assert.InDelta(t, want, gaugeValue(t, gauge), 0)
	}
	assert.Equal(t, 1, (*m.held.Load())())
	report.Pace = 2.5
	s.observedAt = time.Time{}
	_, err = s.Reserve(t.Context(), ask)
	require.NoError(t, err)
	assert.InDelta(t, 2.5, gaugeValue(t, m.pace), 0)
}
