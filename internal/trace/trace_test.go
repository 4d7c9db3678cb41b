package trace_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lynxgate.dev/lynxgate/internal/trace"

	_ "lynxgate.dev/lynxgate/internal/testseed" // fixed seed for rapid
)

func TestGeneratedTraces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := trace.Settings{
			Deployment: rapid.SampledFrom(trace.Deployments()).Draw(t, "deployment"),
			Seed:       rapid.Uint64().Draw(t, "seed"),
			Rate:       10, Duration: 5 * time.Second,
		}
		requests := trace.Generate(settings)
		require.Equal(t, requests, trace.Generate(settings), "the same settings give the same trace")
		var written bytes.Buffer
		require.NoError(t, trace.Write(&written, requests))
		read, err := trace.Read(&written)
		require.NoError(t, err, "every request is valid")
		require.Equal(t, requests, read)

		ids := make(map[string]bool)
		bodies := make(map[string]string)
		last := int64(0)
		for _, r := range requests {
			require.False(t, ids[r.ID])
			ids[r.ID] = true
			require.GreaterOrEqual(t, r.OffsetMS, last)
			last = r.OffsetMS
			if r.IdempotencyKey == "" {
				continue
			}
			if body, sent := bodies[r.IdempotencyKey]; sent {
				require.Equal(t, body, r.Body, "a request sent again has the same body")
			}
			bodies[r.IdempotencyKey] = r.Body
		}
	})
}

func TestLargeOrganisationsAndBurstsSendMore(t *testing.T) {
	settings := trace.Settings{
		Deployment: trace.Deployments()[1], Seed: 3, Rate: 100, Duration: 60 * time.Second,
		Burst: &trace.Burst{Organisation: "limhamn", From: 20 * time.Second, To: 40 * time.Second, Factor: 30},
	}
	inBurst, counts := 0, make(map[string]int)
	for _, r := range trace.Generate(settings) {
		counts[r.Organisation]++
		if r.Organisation == "limhamn" && r.OffsetMS >= 20_000 && r.OffsetMS < 40_000 {
			inBurst++
		}
	}
	require.Len(t, counts, 10)
	require.Greater(t, counts["hallvakt"], 4*counts["vasa-drift"])
	require.Greater(t, inBurst, 4*(counts["limhamn"]-inBurst))
}

// The committed traces match the output of the generator.
func TestCommittedTraces(t *testing.T) {
	for _, deployment := range trace.Deployments() {
		var made bytes.Buffer
		settings := trace.Settings{Deployment: deployment, Seed: 1, Rate: 10, Duration: 10 * time.Second}
		require.NoError(t, trace.Write(&made, trace.Generate(settings)))
		path := filepath.Join("..", "..", "testdata", "traces", deployment.Name+".jsonl")
		committed, err := os.ReadFile(path)
		require.NoError(t, err)
		require.Equal(t, made.String(), string(committed), path)
	}
}

func TestReadErrorsContainLineNumber(t *testing.T) {
	const good = `{"id":"a","offset_ms":0,"organisation":"o","service":"s","method":"POST","path":"/x","expect":"answered-whole"}`
	cases := map[string]string{
		`{`:                                   "line 2",
		`{"id":"a","colour":1}`:               `unknown field "colour"`,
		strings.Replace(good, `"a"`, `""`, 1): "id, organisation",
		strings.Replace(good, "answered-whole", "fine", 1):         `unknown expectation "fine"`,
		strings.Replace(good, "answered-whole", "at-most-once", 1): "idempotency_key",
		strings.Replace(good, "/x", "/v1/completions", 1):          "prompt and max_tokens",
	}
	for line, problem := range cases {
		_, err := trace.Read(strings.NewReader(good + "\n" + line))
		require.ErrorContains(t, err, problem)
		require.ErrorContains(t, err, "line 2")
	}
}
