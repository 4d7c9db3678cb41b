package origin

import (
	"math/rand/v2"
	"net/http"
	"strconv"

	"golang.org/x/time/rate"
)

// damage is the fault that hits one response.
type damage int

const (
	damageNone damage = iota
	damageCorrupt
	damageStall
	damageDie
)

// draw counts one request for weights and decides the fault that hits it.
func (o *Origin) draw(version string) damage {
	o.mu.Lock()
	o.bytes.Requests[version]++
	o.draws++
	random := rand.New(rand.NewPCG(o.cfg.Seed, o.draws)).Float64()
	o.mu.Unlock()
	f := o.faults.Get()
	switch {
	case random < f.Corrupt:
		return damageCorrupt
	case random < f.Corrupt+f.Stall:
		return damageStall
	case random < f.Corrupt+f.Stall+f.Die:
		return damageDie
	}
	return damageNone
}

// linkWriter sends a response at the rate of the link, counts its bytes and
// applies the damage. The damage takes effect at half of the response.
type linkWriter struct {
	http.ResponseWriter
	origin  *Origin
	request *http.Request
	version string
	damage  damage
	half    int64 // bytes before the damage
	sent    int64
}

// WriteHeader implements http.ResponseWriter.
func (l *linkWriter) WriteHeader(status int) {
	length, err := strconv.ParseInt(l.Header().Get("Content-Length"), 10, 64)
	if err == nil {
		l.half = length / 2
	}
	l.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (l *linkWriter) Write(p []byte) (int, error) {
	hit := l.damage != damageNone && l.sent <= l.half && l.half < l.sent+int64(len(p))
	if !hit {
		return l.send(p)
	}
	before := l.half - l.sent
	if l.damage == damageCorrupt {
		damaged := append([]byte(nil), p...)
		damaged[before] ^= 0xff
		return l.send(damaged)
	}
	if n, err := l.send(p[:before]); err != nil {
		return n, err
	}
	_ = http.NewResponseController(l.ResponseWriter).Flush()
	if l.damage == damageStall {
		<-l.request.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

// send waits for the link and passes the bytes on.
func (l *linkWriter) send(p []byte) (int, error) {
	if err := l.wait(len(p)); err != nil {
		return 0, err
	}
	n, err := l.ResponseWriter.Write(p)
	l.sent += int64(n)
	l.origin.mu.Lock()
	defer l.origin.mu.Unlock()
	l.origin.bytes.Weights[l.version] += int64(n)
	return n, err
}

// wait takes n bytes from the link; a slow link takes them several times.
func (l *linkWriter) wait(n int) error {
	link := l.origin.link
	if link.Limit() == rate.Inf {
		return nil
	}
	tokens := int(float64(n) * max(1, l.origin.faults.Get().Slow))
	for tokens > 0 {
		part := min(tokens, link.Burst())
		if err := link.WaitN(l.request.Context(), part); err != nil {
			return err
		}
		tokens -= part
	}
	return nil
}
