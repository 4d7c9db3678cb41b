package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"
)

const (
	// stopTime bounds the wait for requests in progress after SIGTERM.
	stopTime = 60 * time.Second
	// headerTime bounds the wait for the header of a request.
	headerTime = 10 * time.Second
)

// listenFlags are the flags that all fakes have.
type listenFlags struct {
	listen string
	faults string
}

func (l *listenFlags) set(f *flag.FlagSet, faultsHelp string) {
	f.StringVar(&l.listen, "listen", "127.0.0.1:0", "IP number and port to listen on; port 0 picks one")
	f.StringVar(&l.faults, "faults", "", "fault settings as JSON: "+faultsHelp)
}

// decodeFaults reads the -faults flag into the settings.
func (l *listenFlags) decodeFaults(into any) error {
	if l.faults == "" {
		return nil
	}
	decoder := json.NewDecoder(bytes.NewReader([]byte(l.faults)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("flag -faults: %w", err)
	}
	return nil
}

// usage reports a wrong flag.
func usage(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitUsageError
}

// failure reports an error at work.
func failure(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitFailure
}

// printLine writes one line of JSON to standard output.
func printLine(value any) {
	_ = json.NewEncoder(os.Stdout).Encode(value)
}

// serve runs the handler until the context ends, then waits for the requests
// in progress.
func serve(ctx context.Context, name, addr string, handler http.Handler) subcommands.ExitStatus {
	logger := zerolog.New(os.Stderr).With().Timestamp().Str("standin", name).Logger()
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return failure(fmt.Errorf("listen: %w", err))
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTime}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	printLine(struct {
		Listening string `json:"listening"`
	}{listener.Addr().String()})
	logger.Info().Str("addr", listener.Addr().String()).Msg("listening")
	select {
	case err := <-served:
		return failure(fmt.Errorf("serve: %w", err))
	case <-ctx.Done():
	}
	logger.Info().Msg("stopping")
	return shutdown(server, logger)
}

// shutdown waits for the requests in progress, up to stopTime.
func shutdown(server *http.Server, logger zerolog.Logger) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		logger.Warn().Msg("requests cut at the end of the stop time")
		return subcommands.ExitFailure
	}
	if err != nil {
		return failure(fmt.Errorf("shutdown: %w", err))
	}
	logger.Info().Msg("stopped")
	return subcommands.ExitSuccess
}
