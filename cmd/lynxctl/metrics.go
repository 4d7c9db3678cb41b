package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

const (
	// metricsTimeout bounds reading the metrics of one daemon, maxMetricsBytes their size.
	metricsTimeout  = 5 * time.Second
	maxMetricsBytes = 64 << 20
)

// metricsSource splits an argument into the name and the file or URL. Without a name it is the host of the URL, or
// the name of the file without its extension.
func metricsSource(arg string) (name, source string) {
	if before, after, named := strings.Cut(arg, "="); named && before != "" && !strings.Contains(before, "/") {
		return before, after
	}
	if parsed, err := url.Parse(arg); err == nil && parsed.Host != "" {
		return parsed.Host, arg
	}
	return strings.TrimSuffix(filepath.Base(arg), filepath.Ext(arg)), arg
}

// readMetrics reads the metrics at a file or URL.
func readMetrics(ctx context.Context, source string) (map[string]*dto.MetricFamily, error) {
	body, err := openMetrics(ctx, source)
	if err != nil {
		return nil, err
	}
	defer body.Close()
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(io.LimitReader(body, maxMetricsBytes))
	if err != nil {
		return nil, fmt.Errorf("read metrics: %w", err)
	}
	return families, nil
}

func openMetrics(ctx context.Context, source string) (io.ReadCloser, error) {
	if !strings.Contains(source, "://") {
		return os.Open(source)
	}
	if _, err := baseURLs("capacity", source); err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, source, nil)
	if err != nil {
		return nil, err
	}
	client := http.Client{Timeout: metricsTimeout}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, fmt.Errorf("status %d", response.StatusCode)
	}
	return response.Body, nil
}

// label returns the value of a label of a metric.
func label(m *dto.Metric, name string) string {
	for _, pair := range m.GetLabel() {
		if pair.GetName() == name {
			return pair.GetValue()
		}
	}
	return ""
}

// value returns the value of a counter or a gauge.
func value(m *dto.Metric) float64 {
	return m.GetCounter().GetValue() + m.GetGauge().GetValue() + m.GetUntyped().GetValue()
}

// total returns the sum of a family, 0 if it is missing.
func total(f *dto.MetricFamily) (sum float64) {
	for _, m := range f.GetMetric() {
		sum += value(m)
	}
	return sum
}

// addByResult adds the values of a family to those by result.
func addByResult(results map[string]float64, f *dto.MetricFamily) {
	for _, m := range f.GetMetric() {
		results[label(m, "result")] += value(m)
	}
}

// count formats a number without decimals.
func count(n float64) string { return strconv.FormatFloat(n, 'f', 0, 64) }

// headings returns column headings for results, counts the cells below them.
func headings(results []string) []string {
	upper := make([]string, len(results))
	for i, r := range results {
		upper[i] = strings.ToUpper(r)
	}
	return upper
}

func counts(results []string, n map[string]float64) []string {
	cells := make([]string, len(results))
	for i, r := range results {
		cells[i] = count(n[r])
	}
	return cells
}
