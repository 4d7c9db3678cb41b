package gateway

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestErrorAnswerIsNotWrittenIntoABegunStream(t *testing.T) {
	for _, status := range []int{http.StatusInternalServerError, http.StatusBadRequest} {
		failed := newBackend(t, "b-fails", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headers.Signature, "signed")
			w.WriteHeader(status)
			fmt.Fprint(w, "out of memory")
		})
		e := newEntry(t, newBackend(t, "b-breaks", events(2)), failed)
		e.onlyEngines()
		a := e.ask(t, http.MethodPost, "/stream/x")
		assert.Error(t, a.err, "the stream does not look complete")
		assert.NotContains(t, a.body, "memory")
	}
}
