// Package fleet holds the model of a fleet that operators describe by one
// versioned document: routes, services, organisations and their keys, and the
// backend servers that announce themselves. It knows no wire format.
package fleet

import (
	"errors"
	"fmt"
	"time"
)

// Kind says what may be repeated on a route.
type Kind uint8

// The kinds of routes.
const (
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = iota
	// KindSafe requests are idempotent.
	KindSafe
	// KindStream answers are streams of events; at most once unless resumable.
	KindStream
)

// String returns the kind's name in logs.
func (k Kind) String() string { return [...]string{"unsafe", "safe", "stream"}[k] }

// Config is one version of what the operators declare.
type Config struct {
	// Version orders the documents: the highest one is in force.
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Route says where requests of one host and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a
	// stream, is on time; GapObjective the longest pause between events.
	Objective    time.Duration
	GapObjective time.Duration
	// Priority is the rank of the route, 0 first.
	Priority int
	Targets  []Target
	// MaxAttempts is how many backend servers one request may be sent to.
	MaxAttempts int
	// Anonymous routes ask for no key.
	Anonymous bool
	// Resumable streams may go on at another backend server.
	Resumable bool
}

// Idempotent tells whether a request of this route may run more than once.
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
	// MaxConns is how many connections a backend server takes from all callers.
	MaxConns int
	// Engine is set on services of model engines, Origin on origins of weights.
	Engine *Engine
	Origin *Origin
}

// Engine is the cost model of the engines of one service, and the shape of
// their weights.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// Step is the time of one token step; PerSequence is added for each request
	// that is writing, PerContextToken for each token of their contexts.
	Step            time.Duration
	PerSequence     time.Duration
	PerContextToken time.Duration
	// ReadPerSecond is how many prompt tokens are read in a second.
	ReadPerSecond float64
	// Stride is how many steps one pass with writers takes, and so the tokens
	// of one event.
	Stride int
	// UsualPrompt and UsualAnswer are mean sizes in tokens.
	UsualPrompt int
	UsualAnswer int
	// Layers of the model; Pieces and PieceBytes of its weights.
	Layers     int
	Pieces     int
	PieceBytes int
	Models     []string
}

// ReadTime is how long the engine reads a prompt of this many tokens.
func (e *Engine) ReadTime(tokens int) time.Duration {
	if e.ReadPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.ReadPerSecond * float64(time.Second))
}

// Pass is how long one pass takes in which all slots write: a request waits for
// the one in progress.
func (e *Engine) Pass() time.Duration {
	return time.Duration(max(e.Stride, 1)) * (e.Step + time.Duration(e.Slots)*e.PerSequence)
}

// PerRequest is the engine's time for a usual request while all slots are taken:
// its prompt is read alone, its answer written beside the others.
func (e *Engine) PerRequest() time.Duration {
	step := e.Step + time.Duration(e.Slots)*e.PerSequence
	writing := time.Duration(e.UsualAnswer) * step / time.Duration(max(e.Slots, 1))
	return max(e.ReadTime(e.UsualPrompt)+writing, time.Millisecond)
}

// Origin is where the weights come from.
type Origin struct {
	Addr string
	// LinkMbps is the bandwidth of its link in Mbit/s.
	LinkMbps float64
	MaxConns int
}

// Organisation is a customer with the keys of its requests.
type Organisation struct {
	Name string
	Keys []string
	// Priority takes precedence over that of a route; -1 if there is none.
	Priority int
}

// Limits bound what a client may send; zero is no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// ErrInvalid refuses a configuration that can not be put in force.
var ErrInvalid = errors.New("invalid configuration")

// Validate checks a whole configuration. Its errors match ErrInvalid and name
// the field.
func (c *Config) Validate() error {
	services := map[string]bool{}
	for _, s := range c.Services {
		services[s.Name] = true
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
	return c.validateKeys()
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
	return nil
}

func (c *Config) validateKeys() error {
	holders := map[string]string{}
	for _, o := range c.Organisations {
		for _, key := range o.Keys {
			if holder, taken := holders[key]; taken && holder != o.Name {
				return fmt.Errorf("%w: organisations %q and %q share a key", ErrInvalid, holder, o.Name)
			}
			holders[key] = o.Name
		}
	}
	return nil
}
