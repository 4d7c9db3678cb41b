package trace

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// resendAfter is the maximum time until a caller sends a request again.
const resendAfter = 2 * time.Second

// Settings configure the generator.
type Settings struct {
	Deployment Deployment
	Seed       uint64
	// Rate is the mean number of requests per second; gaps between requests are
	// exponentially distributed.
	Rate     float64
	Duration time.Duration
	// Expect is the expectation of requests that may run more than once; empty
	// means AnsweredWhole. All other requests expect AtMostOnce.
	Expect Expectation
	// Burst, if not nil, raises the rate of one organisation for a time.
	Burst *Burst
}

// Burst is a period in which one organisation sends at Factor times its usual rate. From
// and To are offsets from the start of the trace.
type Burst struct {
	Organisation string
	From, To     time.Duration
	Factor       float64
}

// Generate returns a trace sorted by offset; the same settings give the same trace.
func Generate(s Settings) []Request {
	if s.Expect == "" {
		s.Expect = AnsweredWhole
	}
	g := &generator{Settings: s, random: rand.New(rand.NewPCG(s.Seed, 0))}
	g.templates()
	for _, organisation := range s.Deployment.Organisations {
		g.arrivals(organisation)
	}
	slices.SortStableFunc(g.requests, func(a, b Request) int { return cmp.Compare(a.OffsetMS, b.OffsetMS) })
	return g.requests
}

// generator is the state of one call of Generate.
type generator struct {
	Settings
	random   *rand.Rand
	template map[string]string // by organisation and service
	requests []Request
	serial   int // number of the last request of the current organisation
}

// templates generates the start of all prompts, by organisation and service.
func (g *generator) templates() {
	g.template = make(map[string]string)
	for _, organisation := range g.Deployment.Organisations {
		for _, load := range g.Deployment.Loads {
			words := g.words(load.TemplateWords)
			g.template[organisation.Name+"/"+load.Service] = organisation.Name + " " + words
		}
	}
}

// arrivals generates the requests of one organisation.
func (g *generator) arrivals(organisation OrganisationLoad) {
	total := 0.0
	for _, o := range g.Deployment.Organisations {
		total += o.Share
	}
	rate := g.Rate * organisation.Share / total
	g.serial = 0
	for at := time.Duration(0); ; {
		gap := g.random.ExpFloat64() / (rate * g.factor(organisation.Name, at))
		at += time.Duration(gap * float64(time.Second))
		if at >= g.Duration {
			return
		}
		g.add(organisation.Name, g.pick(), at)
	}
}

// factor returns the multiple of its usual rate at which an organisation sends at a time.
func (g *generator) factor(organisation string, at time.Duration) float64 {
	b := g.Burst
	if b == nil || b.Organisation != organisation || at < b.From || at >= b.To {
		return 1
	}
	return b.Factor
}

// pick draws the load of a service, weighted by share.
func (g *generator) pick() Load {
	total := 0.0
	for _, load := range g.Deployment.Loads {
		total += load.Share
	}
	draw := g.random.Float64() * total
	for _, load := range g.Deployment.Loads {
		if draw < load.Share {
			return load
		}
		draw -= load.Share
	}
	return g.Deployment.Loads[len(g.Deployment.Loads)-1]
}

// add generates one request and, for a fraction of the at-most-once requests, the same
// request sent again.
func (g *generator) add(organisation string, load Load, at time.Duration) {
	g.serial++
	request := Request{
		ID:       fmt.Sprintf("%s-%d", organisation, g.serial),
		OffsetMS: at.Milliseconds(), Organisation: organisation, Service: load.Service,
		Method: load.Method, Path: load.Path, Priority: load.Priority,
		DeadlineMS: load.Deadline.Milliseconds(), Expect: g.Expect,
	}
	if request.ForModel() {
		g.fillModel(&request, load)
	} else {
		request.Body = fmt.Sprintf(`{"ref":%q,"note":%q}`, request.ID, g.words(6))
	}
	if load.AtMostOnce {
		request.IdempotencyKey = "key-" + request.ID
		request.Expect = AtMostOnce
	}
	g.requests = append(g.requests, request)
	if load.AtMostOnce && g.random.Float64() < load.Resent {
		request.ID += "-again"
		request.OffsetMS += g.random.Int64N(resendAfter.Milliseconds())
		g.requests = append(g.requests, request)
	}
}

// fillModel sets the prompt, the maximum answer length and streaming.
func (g *generator) fillModel(request *Request, load Load) {
	template := g.template[request.Organisation+"/"+load.Service]
	request.Prompt = template + " " + g.words(g.between(load.PromptWords)) + " " + request.ID
	request.MaxTokens = g.between(load.MaxTokens)
	request.Stream = g.random.Float64() < load.Streamed
}

func (g *generator) between(bounds [2]int) int {
	return bounds[0] + g.random.IntN(bounds[1]-bounds[0]+1)
}

// words draws n words from the topics.
func (g *generator) words(n int) string {
	words := make([]string, n)
	for i := range words {
		words[i] = g.Deployment.Topics[g.random.IntN(len(g.Deployment.Topics))]
	}
	return strings.Join(words, " ")
}
