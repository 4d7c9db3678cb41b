package controlclient

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"lynxgate.dev/lynxgate/internal/pause"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// Defaults of AnnouncerConfig.
const (
	DefaultRenew  = 10 * time.Second
	DefaultMinGap = 4 * time.Second

	// urgentDelay is the delay of an urgent change; urgent changes within it share
	// one announcement.
	urgentDelay      = 50 * time.Millisecond
	renewalsPerLease = 3
)

// AnnouncerConfig sets what to announce and how often.
type AnnouncerConfig struct {
	Client *Client
	// Request returns the current announcement of the daemon.
	Request func() *rpc.AnnounceRequest
	// Changes returns a channel that is closed at the next change of the configuration
	// that Request reads; may be nil. A change is announced within MinGap.
	Changes func() <-chan struct{}
	// Renew is the interval between announcements without changes until the
	// leader's first response, which sets the lease; from then on the interval
	// is a third of the lease.
	Renew time.Duration
	// MinGap bounds the delay before a change is announced. The delay is random
	// between half of MinGap and MinGap, so that daemons that get the same update
	// do not announce at the same time, and several changes share one
	// announcement. Urgent changes are not subject to it.
	MinGap time.Duration
	// Superseded is called with the newer incarnation when another process has
	// announced under the same name; may be nil.
	Superseded func(known uint64)
	// Answered is called with every response; may be nil.
	Answered func(*rpc.AnnounceResponse)
	Logger   zerolog.Logger
	// Seed of the random delays, for reproducible tests.
	Seed uint64
}

// Announcer renews a daemon's lease and announces its changes.
type Announcer struct {
	cfg     AnnouncerConfig
	rand    *rand.Rand
	changed chan struct{}
	// urgent is signalled for changes that the leader waits for.
	urgent chan struct{}
	// failing is true while announcements fail.
	failing bool
}

// NewAnnouncer returns an announcer; call Run in one goroutine.
func NewAnnouncer(cfg AnnouncerConfig) *Announcer {
	if cfg.Renew == 0 {
		cfg.Renew = DefaultRenew
	}
	if cfg.MinGap == 0 {
		cfg.MinGap = DefaultMinGap
	}
	return &Announcer{
		cfg:     cfg,
		rand:    rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		changed: make(chan struct{}, 1),
		urgent:  make(chan struct{}, 1),
	}
}

// Changed requests an announcement within MinGap; it never blocks.
func (a *Announcer) Changed() { signal(a.changed) }

// ChangedUrgently requests an announcement within urgentDelay, for a change that
// the leader waits for. It never blocks.
func (a *Announcer) ChangedUrgently() { signal(a.urgent) }

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// AnnounceNow announces synchronously, for example before a stop.
func (a *Announcer) AnnounceNow(ctx context.Context) error {
	_, err := a.cfg.Client.Announce(ctx, a.cfg.Request())
	return err
}

// Run announces until the context ends. An announcement that failed has used up the interval to
// the next one, so the next one follows after retryPause.
func (a *Announcer) Run(ctx context.Context) error {
	for {
		// Got before the request is built, so that a change during the announcement is announced too.
		changes := a.changes()
		if !a.announce(ctx) {
			if !pause.For(ctx, retryPause) {
				return ctx.Err()
			}
			continue
		}
		renew := time.NewTimer(a.cfg.Renew - time.Duration(a.rand.Int64N(int64(a.cfg.Renew/10)+1)))
		select {
		case <-ctx.Done():
			renew.Stop()
			return ctx.Err()
		case <-renew.C:
		case <-changes:
			renew.Stop()
			a.delayChange(ctx)
		case <-a.changed:
			renew.Stop()
			a.delayChange(ctx)
		case <-a.urgent:
			renew.Stop()
			pause.For(ctx, urgentDelay)
		}
	}
}

// changes returns the channel of cfg.Changes, or nil.
func (a *Announcer) changes() <-chan struct{} {
	if a.cfg.Changes == nil {
		return nil
	}
	return a.cfg.Changes()
}

// delayChange waits for a random time between half of MinGap and MinGap, or until
// an urgent change.
func (a *Announcer) delayChange(ctx context.Context) {
	half := int64(a.cfg.MinGap / 2)
	timer := time.NewTimer(time.Duration(half + a.rand.Int64N(half+1)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-a.urgent:
	}
}

// announce reports whether a control server responded within the renewal interval.
func (a *Announcer) announce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, a.cfg.Renew)
	defer cancel()
	resp, err := a.cfg.Client.Announce(ctx, a.cfg.Request())
	if err != nil {
		a.logTransition(true, err)
		return false
	}
	a.logTransition(false, nil)
	a.followLease(resp)
	if a.cfg.Answered != nil {
		a.cfg.Answered(resp)
	}
	if resp.Status == rpc.Status_STATUS_INVALID && a.cfg.Superseded != nil {
		a.cfg.Superseded(resp.KnownIncarnation)
	}
	return true
}

// followLease sets the renewal interval to a third of the lease.
func (a *Announcer) followLease(resp *rpc.AnnounceResponse) {
	if lease := time.Duration(resp.LeaseMs) * time.Millisecond; lease > 0 {
		a.cfg.Renew = lease / renewalsPerLease
	}
}

// logTransition logs when announcements begin to fail or succeed again.
func (a *Announcer) logTransition(failing bool, err error) {
	if failing == a.failing {
		return
	}
	a.failing = failing
	if failing {
		a.cfg.Logger.Warn().Err(err).Msg("announcements to the control servers fail")
		return
	}
	a.cfg.Logger.Info().Msg("announcements to the control servers succeed again")
}
