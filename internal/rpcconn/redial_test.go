package rpcconn

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestRedialTimeoutDoublesToMaximum(t *testing.T) {
	for failed, want := range []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, time.Second, time.Second} {
		assert.Equal(t, want, RedialTimeout(failed))
	}
	assert.Equal(t, maxRedialTimeout, RedialTimeout(1<<20))
}
