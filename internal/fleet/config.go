// Package fleet is the data model of a fleet: the routes, services, organisations
// and keys that operators declare in one versioned document, and the backend
// servers that announce themselves. It is independent of wire formats.
package fleet

import (
	"errors"
	"fmt"
	"math"
	"time"

	"golang.org/x/net/http/httpguts"
)

// Kind says which requests of a route may be retried.
type Kind uint8

// The kinds of routes.
const (
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = iota
	// KindSafe requests are idempotent.
	KindSafe
	// KindStream requests are answered with a stream of events. They run at most
	// once unless the route is resumable.
	KindStream
)

// String returns the kind's name in logs.
func (k Kind) String() string { return [...]string{"unsafe", "safe", "stream"}[k] }

// Config is one version of the operators' configuration document.
type Config struct {
	// Version orders the documents: the highest one is in force.
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	// Open: requests need no key, as the document has no list of organisations. An empty list lets nobody in.
	Open   bool
	Limits Limits
}

// Route assigns the requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller waits for its answer.
	Timeout time.Duration
	// Objective is the target latency of an answer, or of the first event of a
	// stream; GapObjective is the target for the longest pause between events.
	Objective    time.Duration
	GapObjective time.Duration
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	Targets  []Target
	// MaxAttempts is how many backend servers one request may be dispatched to.
	MaxAttempts int
	// Anonymous routes require no key.
	Anonymous bool
	// Resumable streams may be continued at another backend server.
	Resumable bool
	// Regions are those in which its requests may be served; all if it is empty.
	Regions []string
}

// Idempotent reports whether a request of this route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == KindSafe || (r.Kind == KindStream && r.Resumable)
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Service is a group of backend servers.
type Service struct {
	Name string
	// HealthPath answers 200 while a backend server considers itself healthy.
	HealthPath string
	// MaxConns is how many connections a backend server accepts from all callers.
	MaxConns int
	// ColdStart is for how long a backend server is slow after its start. ColdRate is how many requests
	// a second it tolerates meanwhile from all entries together; 0 is no limit.
	ColdStart time.Duration
	ColdRate  float64
	// Engine is set on services of model engines, Origin on origins of weights.
	Engine *Engine
	Origin *Origin
}

// Engine is the cost model of the engines of one service, and the shape of
// their weights.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// Step is the duration of one decoding step. PerSequence is added for each
	// request that is decoded, PerContextToken for each token of their contexts.
	Step            time.Duration
	PerSequence     time.Duration
	PerContextToken time.Duration
	// ReadPerSecond is the prefill rate in prompt tokens per second.
	ReadPerSecond float64
	// Stride is how many decoding steps one pass consists of, and so how many
	// tokens one event carries.
	Stride int
	// UsualPrompt and UsualAnswer are mean sizes in tokens.
	UsualPrompt int
	UsualAnswer int
	// Layers is the number of layers of the model. Pieces is the number of pieces
	// of its weights, PieceBytes the size of one.
	Layers     int
	Pieces     int
	PieceBytes int
	Models     []string
}

// PrefillTime returns how long the engine takes to prefill a prompt of this many tokens.
func (e *Engine) PrefillTime(tokens int) time.Duration {
	if e.ReadPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.ReadPerSecond * float64(time.Second))
}

// PassTime returns the duration of one pass while all slots decode. A new request
// waits for the pass in progress.
func (e *Engine) PassTime() time.Duration {
	return time.Duration(max(e.Stride, 1)) * (e.Step + time.Duration(e.Slots)*e.PerSequence)
}

// RequestTime returns the engine time that a usual request takes while all slots
// are in use: its prompt is prefilled alone, its answer decoded together with the
// others.
func (e *Engine) RequestTime() time.Duration {
	step := e.Step + time.Duration(e.Slots)*e.PerSequence
	decoding := time.Duration(e.UsualAnswer) * step / time.Duration(max(e.Slots, 1))
	return max(e.PrefillTime(e.UsualPrompt)+decoding, time.Millisecond)
}

// Origin is the server from which the weights are fetched.
type Origin struct {
	Addr string
	// LinkMbps is the bandwidth of its link in Mbit/s.
	LinkMbps float64
	MaxConns int
}

// Organisation is an organisation that sends requests, with its keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority takes precedence over the route's; -1 if it is not set.
	Priority int
	// Regions are those in which its requests may be served; all if it is empty.
	Regions []string
}

// Limits bounds what a client may send; zero is no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// ErrInvalid is the error for a configuration that cannot be put in force.
var ErrInvalid = errors.New("invalid configuration")

// ErrUnknownZone is the error for an order about a zone that neither the settings nor any backend
// server names.
var ErrUnknownZone = errors.New("unknown zone")

// Validate checks a whole configuration. Its errors match ErrInvalid and name
// the field.
func (c *Config) Validate() error {
	services := map[string]bool{}
	for _, s := range c.Services {
		services[s.Name] = true
		if s.ColdStart < 0 || !(s.ColdRate >= 0) || math.IsInf(s.ColdRate, 0) {
			return fmt.Errorf("%w: service %q: negative cold start or rate", ErrInvalid, s.Name)
		}
	}
	places := map[[2]string]string{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := r.validate(services); err != nil {
			return err
		}
		place := [2]string{r.Host, r.Prefix}
		if other, taken := places[place]; taken {
			return fmt.Errorf("%w: routes %q and %q share host %q and prefix %q", ErrInvalid, other, r.Name, r.Host, r.Prefix)
		}
		places[place] = r.Name
	}
	return c.validateOrganisations()
}

func (r *Route) validate(services map[string]bool) error {
	if r.Timeout <= 0 {
		return fmt.Errorf("%w: route %q: timeout is 0", ErrInvalid, r.Name)
	}
	sum := 0
	for _, t := range r.Targets {
		if !services[t.Service] {
			return fmt.Errorf("%w: route %q: unknown service %q", ErrInvalid, r.Name, t.Service)
		}
		if t.Weight < 0 {
			return fmt.Errorf("%w: route %q: negative weight of service %q", ErrInvalid, r.Name, t.Service)
		}
		sum += t.Weight
	}
	if sum <= 0 {
		return fmt.Errorf("%w: route %q: weights add up to 0", ErrInvalid, r.Name)
	}
	return validateRegions("route", r.Name, r.Regions)
}

func (c *Config) validateOrganisations() error {
	holders := map[string]string{}
	for _, o := range c.Organisations {
		if !httpguts.ValidHeaderFieldValue(o.Name) {
			return fmt.Errorf("%w: the name of organisation %q can't be sent in a header field", ErrInvalid, o.Name)
		}
		if err := validateRegions("organisation", o.Name, o.Regions); err != nil {
			return err
		}
		for _, key := range o.Keys {
			if holder, taken := holders[key]; taken && holder != o.Name {
				return fmt.Errorf("%w: organisations %q and %q share a key", ErrInvalid, holder, o.Name)
			}
			holders[key] = o.Name
		}
	}
	return nil
}
