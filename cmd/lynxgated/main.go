// Lynxgated is the daemon of lynxgate. Its TOML settings select its roles:
// control, entry or agent.
//
// Exit codes: 0 after a graceful stop, 1 after a failure or a forced stop, 2 if
// the settings are not valid.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"lynxgate.dev/lynxgate/internal/daemon"
	"lynxgate.dev/lynxgate/internal/settings"
)

const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() { os.Exit(run()) }

func run() int {
	path := flag.String("settings", "", "TOML settings `file`")
	check := flag.Bool("check", false, "check the settings and exit")
	onPlatform := flag.Bool("platform", false, "run on the users' platform, which says where the settings are unless -settings does")
	flag.Parse()
	if *onPlatform {
		return servePlatform(*path)
	}
	if *path == "" || flag.NArg() > 0 {
		flag.Usage()
		return exitSettings
	}
	s, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if *check {
		fmt.Printf("%s: valid settings of %s\n", *path, s.Name)
		return exitOK
	}
	return serve(s)
}

func serve(s *settings.Settings) int {
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("daemon", s.Name).Logger()
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := daemon.Run(stop, s, log); err != nil {
		log.Error().Err(err).Msg("stopped with an error")
		return exitFailed
	}
	log.Info().Msg("stopped")
	return exitOK
}
