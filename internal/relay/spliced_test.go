package relay

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	dto "github.com/prometheus/client_model/go"
)

// Guards against an answer that counts as begun or whole though its head is a part of one and another's.
func TestSplicedHeadOfTheEngineBeginsNoAnswer(t *testing.T) {
	r := newRig(t)
	entry := r.entry()
	entry.send("a")
	engine := r.accept()
	engine.readRequest()
	const spliced = "HTTP/1.1 200 OK\r\nX-Signature: siHTTP/1.1 500 Internal Server Error\r\nX-Request: a\r\nContent-Length: 6\r\n\r\nfailed"
	engine.write(spliced)
	entry.expect(spliced) // the entry tells by itself that this is no answer
	assert.Zero(t, r.count(resultAnswered))
	require.NoError(t, entry.Close())
	r.counted(1, resultEntryLeft)
	var cuts dto.Metric
	require.NoError(t, r.cfg.Metrics.cuts.WithLabelValues(resultEntryLeft).Write(&cuts))
	assert.Zero(t, cuts.GetCounter().GetValue(), "it had not begun")
	_, err := engine.ends()
	assert.NoError(t, err)
}
