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

	// urgentGap joins urgent changes that follow one another closely.
	urgentGap        = 50 * time.Millisecond
	renewalsPerLease = 3
)

// AnnouncerConfig says what to announce and how often.
type AnnouncerConfig struct {
	Client *Client
	// Request returns what the daemon says of itself now.
	Request func() *rpc.AnnounceRequest
	// Renew is the time between announcements that say nothing new, until the
	// leader has told its lease; from then on it is a third of the lease.
	Renew time.Duration
	// MinGap bounds the wait before a change is announced; it is drawn from
	// the upper half of it, so that daemons which learn of a change together
	// do not announce together, and a run of changes costs the leader few
	// announcements. Urgent changes do not wait for it.
	MinGap time.Duration
	// Superseded is called when another process has taken the name; may be nil.
	Superseded func(known uint64)
	// Answered is called with every answer; may be nil.
	Answered func(*rpc.AnnounceResponse)
	Logger   zerolog.Logger
	// Seed makes the draws repeatable.
	Seed uint64
}

// Announcer renews a daemon's lease and announces its changes.
type Announcer struct {
	cfg  AnnouncerConfig
	rand *rand.Rand
	poke chan struct{}
	// urgent is signalled for changes that the leader's next step waits for.
	urgent chan struct{}
	// failing is true while announcements fail.
	failing bool
}

// NewAnnouncer makes an announcer; run it in one goroutine.
func NewAnnouncer(cfg AnnouncerConfig) *Announcer {
	if cfg.Renew == 0 {
		cfg.Renew = DefaultRenew
	}
	if cfg.MinGap == 0 {
		cfg.MinGap = DefaultMinGap
	}
	return &Announcer{
		cfg:    cfg,
		rand:   rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		poke:   make(chan struct{}, 1),
		urgent: make(chan struct{}, 1),
	}
}

// Changed asks for an announcement soon; it never blocks.
func (a *Announcer) Changed() { signal(a.poke) }

// ChangedUrgently asks for an announcement almost at once: the leader waits
// for this change to take its next step. It never blocks.
func (a *Announcer) ChangedUrgently() { signal(a.urgent) }

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// AnnounceNow announces at once, as before a stop, and returns the error.
func (a *Announcer) AnnounceNow(ctx context.Context) error {
	_, err := a.cfg.Client.Announce(ctx, a.cfg.Request())
	return err
}

// Run announces until the context ends.
func (a *Announcer) Run(ctx context.Context) error {
	for {
		a.announce(ctx)
		renew := time.NewTimer(a.cfg.Renew - time.Duration(a.rand.Int64N(int64(a.cfg.Renew/10)+1)))
		select {
		case <-ctx.Done():
			renew.Stop()
			return ctx.Err()
		case <-renew.C:
		case <-a.poke:
			renew.Stop()
			a.spread(ctx)
		case <-a.urgent:
			renew.Stop()
			pause.For(ctx, urgentGap)
		}
	}
}

// spread waits for up to MinGap, or until an urgent change.
func (a *Announcer) spread(ctx context.Context) {
	half := int64(a.cfg.MinGap / 2)
	timer := time.NewTimer(time.Duration(half + a.rand.Int64N(half+1)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-a.urgent:
	}
}

func (a *Announcer) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.cfg.Renew)
	defer cancel()
	resp, err := a.cfg.Client.Announce(ctx, a.cfg.Request())
	if err != nil {
		a.note(true, err)
		return
	}
	a.note(false, nil)
	a.followLease(resp)
	if a.cfg.Answered != nil {
		a.cfg.Answered(resp)
	}
	if resp.Status == rpc.Status_STATUS_INVALID && a.cfg.Superseded != nil {
		a.cfg.Superseded(resp.KnownIncarnation)
	}
}

// followLease renews three times in a lease.
func (a *Announcer) followLease(resp *rpc.AnnounceResponse) {
	if lease := time.Duration(resp.LeaseMs) * time.Millisecond; lease > 0 {
		a.cfg.Renew = lease / renewalsPerLease
	}
}

// note logs when announcing begins to fail or works again.
func (a *Announcer) note(failing bool, err error) {
	if failing == a.failing {
		return
	}
	a.failing = failing
	if failing {
		a.cfg.Logger.Warn().Err(err).Msg("announcements fail")
		return
	}
	a.cfg.Logger.Info().Msg("announcements work")
}
