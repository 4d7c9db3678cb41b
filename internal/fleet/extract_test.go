package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestServicesRoundTripWithoutKeys(t *testing.T) {
	c := &Config{
		Version: 7, Routes: []Route{{Name: "r"}}, Organisations: []Organisation{{Name: "o", Keys: []string{"secret"}}},
		Services: []Service{
			{Name: "drafts", HealthPath: "/health", MaxConns: 5, Engine: &Engine{Slots: 8, Step: 10 * time.Millisecond, ReadPerSecond: 20.4, Models: []string{"m"}, Pieces: 96}},
			{Name: "origin", Origin: &Origin{Addr: "127.0.0.1:1", LinkMbps: 4.38, MaxConns: 48}}, {Name: "plain"},
		},
	}
	data, err := EncodeServices(c)
	require.NoError(t, err)
	assert.NotContains(t, string(data), "secret")
	got, err := DecodeServices(data)
	require.NoError(t, err)
	assert.Equal(t, &Config{Version: 7, Services: c.Services}, got)
	_, err = DecodeServices([]byte("{"))
	assert.Error(t, err)
}
