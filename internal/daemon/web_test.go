package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The process exits when serve returns, so that a request in progress would be broken off.
func TestStopWaitsForRequestsInProgress(t *testing.T) {
	begun, finish := make(chan struct{}), make(chan struct{})
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	w := &webServer{lis: lis, server: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-finish
		_, _ = io.WriteString(w, "whole")
	})}}
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- w.serve(ctx) }()
	body := make(chan string, 1)
	go func() {
		resp, err := http.Get("http://" + lis.Addr().String())
		if err != nil {
			body <- err.Error()
			return
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		body <- string(text)
	}()
	<-begun
	stop()
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", lis.Addr().String())
		if err == nil {
			conn.Close()
		}
		return err != nil
	}, 5*time.Second, 5*time.Millisecond, "the listener is closed")
	select {
	case <-served:
		t.Fatal("returned while a request was in progress")
	default:
	}
	close(finish)
	assert.NoError(t, <-served)
	assert.Equal(t, "whole", <-body)
}
