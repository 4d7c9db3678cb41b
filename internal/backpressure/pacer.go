package backpressure

import (
	"math/rand/v2"
	"time"
)

const (
	// burstSpan times its rate is how many requests an entry may send at once, but at least minBurst:
	// requests arrive at random, and with bursts of one much of a small limit would remain unused.
	burstSpan = 500 * time.Millisecond
	minBurst  = 2
	// window is the span over which an entry's requests are counted, including those sent before the
	// limit was named; it consists of steps of windowStep.
	window      = 4 * time.Second
	windowStep  = 500 * time.Millisecond
	windowSteps = int(window/windowStep) + 1
	// probeSpan is how long a due probe may be sent. A probe without a request by then expires:
	// after a calm time the probes of many entries would otherwise be sent at once.
	probeSpan = time.Second
)

// Pacer spreads one entry's requests to a limited server over time. The zero value is ready
// to use.
type Pacer struct {
	// tokens as of at, in requests.
	tokens float64
	at     time.Time
	// recent counts requests by steps of the window since origin, the newest at step newest.
	recent [windowSteps]int
	newest int64
	origin time.Time
	// probeDue is when an entry that holds no part may send next.
	probeDue time.Time
}

// Reset empties the pacer when a limit comes into force: entries that receive it at the same moment
// must not all send at once.
func (p *Pacer) Reset(now time.Time) {
	p.tokens, p.at, p.probeDue = 0, now, time.Time{}
}

// NextAt returns when the entry may send next with this part of the limit; now, if it may send
// at once.
func (p *Pacer) NextAt(now time.Time, part Part) time.Time {
	if part.Rate <= 0 {
		return p.probe(now, part.Probe)
	}
	burst := max(minBurst, part.Rate*burstSpan.Seconds())
	if elapsed := now.Sub(p.at); elapsed > 0 {
		p.tokens += part.Rate * elapsed.Seconds()
	}
	p.tokens, p.at = min(p.tokens, burst), now
	earliest := now
	if p.tokens < 1 {
		earliest = now.Add(seconds((1 - p.tokens) / part.Rate))
	}
	if float64(p.sentInWindow(now)+1) > part.Rate*window.Seconds()+burst {
		if next := p.origin.Add(time.Duration(p.newest+1) * windowStep); next.After(earliest) {
			earliest = next
		}
	}
	return earliest
}

// seconds converts a wait that may exceed the range of a Duration.
func seconds(s float64) time.Duration {
	const longest = 24 * time.Hour
	return time.Duration(min(s, longest.Seconds()) * float64(time.Second))
}

// probe returns when the next probe is due, and draws a new time if the last one has expired.
func (p *Pacer) probe(now time.Time, mean time.Duration) time.Time {
	if p.probeDue.IsZero() || now.After(p.probeDue.Add(probeSpan)) {
		p.probeDue = now.Add(mean/2 + rand.N(max(mean, 1)))
	}
	if now.After(p.probeDue) {
		return now
	}
	return p.probeDue
}

// Sent records a request to the server, limited or not.
func (p *Pacer) Sent(now time.Time) {
	p.advance(now)
	p.recent[p.newest%int64(windowSteps)]++
	p.tokens = max(p.tokens-1, -1)
	p.probeDue = time.Time{}
}

// Idle reports whether no request was sent in the last window.
func (p *Pacer) Idle(now time.Time) bool { return p.sentInWindow(now) == 0 }

// sentInWindow counts the requests of the last window, or of up to one step more.
func (p *Pacer) sentInWindow(now time.Time) (n int) {
	p.advance(now)
	for _, step := range p.recent {
		n += step
	}
	return n
}

// advance clears the steps that have left the window.
func (p *Pacer) advance(now time.Time) {
	if p.origin.IsZero() {
		p.origin = now
	}
	step := int64(now.Sub(p.origin) / windowStep)
	if step-p.newest >= int64(windowSteps) {
		p.recent = [windowSteps]int{}
	} else {
		for at := p.newest + 1; at <= step; at++ {
			p.recent[at%int64(windowSteps)] = 0
		}
	}
	p.newest = max(p.newest, step)
}
