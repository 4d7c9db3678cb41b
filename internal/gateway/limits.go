package gateway

import (
	"math/rand/v2"
	"time"
)

const (
	// defaultRetryAfter is told where no objective is known.
	defaultRetryAfter = time.Second
	// streamQueue is how many requests per slot an engine is sent.
	streamQueue = 1.5
	// wholeQueue is the same for plain services, whose work is short.
	wholeQueue = 3
)

// jitter draws a time up to d.
func jitter(d time.Duration) time.Duration { return rand.N(max(d, 1)) }
