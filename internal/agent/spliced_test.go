package agent

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/headlimit"
	"lynxgate.dev/lynxgate/internal/headlimit/headlimittest"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// Guards against a failure of a backend server that is passed on as a success, since a part of a head lies before it.
func TestFailureBehindAPartOfAHeadIsPassedOnAsASuccess(t *testing.T) {
	for _, plain := range []bool{false, true} {
		b := newBackend(headlimittest.Serve(t, headlimittest.SplicedAnswer), plain)
		_, err := b.do(context.Background(), &rpc.RunRequest{Method: http.MethodPost, Path: "/"})
		assert.ErrorIs(t, err, headlimit.ErrSplicedHead)
		var notSent *notSentError
		assert.False(t, errors.As(err, &notSent), "it may have run")
	}
}
