package staging

import (
	"sync"
	"time"
)

// verificationReuse is how long after its beginning a verification is reused, so that an order to load
// need not wait until all pieces have been read again. It is shorter than verificationMaxAge, within
// which the order must be sent.
const verificationReuse = 1 * time.Second

// verification records when the pieces staged at the engine were last verified to be one
// complete version.
type verification struct {
	mu sync.Mutex
	of key
	// began is when the verification began, changed when the staged pieces last began to
	// be replaced.
	began, changed time.Time
}

// stagingBegan records that the pieces of a version are being staged, and drops the verification
// of another version.
func (v *verification) stagingBegan(k key, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.of != k {
		v.of, v.began = key{}, time.Time{}
	}
	v.changed = now
}

// record stores a successful verification that began at this time. It is ignored if staging
// by anything else has begun since.
func (v *verification) record(k key, began time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !began.Before(v.changed) {
		v.of, v.began = k, began
	}
}

// recent returns when the verification of a version began, and whether it may be reused now.
func (v *verification) recent(k key, now time.Time) (time.Time, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.began, v.of == k && now.Sub(v.began) <= verificationReuse
}

// invalidate drops the verification, and any that began before now: the digests that it was based on are replaced.
func (v *verification) invalidate(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.of, v.began = key{}, time.Time{}
	v.changed = now
}

// reset drops the verification after a restart of the engine.
func (v *verification) reset() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.of, v.began = key{}, time.Time{}
}
