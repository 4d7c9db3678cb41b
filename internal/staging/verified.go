package staging

import (
	"sync"
	"time"
)

// reliedOn is for how long a verification of what lies at the engine takes the place of
// another one, from its begin: the order to load comes within verifiedFor of it then, and needn't wait
// until all is read once more.
const reliedOn = 1 * time.Second

// verification is when what lies at the engine was last seen to be one version, whole.
type verification struct {
	mu sync.Mutex
	of key
	// began is when the verification began, changed when another version began to be laid.
	began, changed time.Time
}

// laying notes that a version is being laid: what was seen of another one no longer holds.
func (v *verification) laying(k key, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.of != k {
		v.of, v.began = key{}, time.Time{}
	}
	v.changed = now
}

// note takes a verification in that began at this time and found all pieces. One that
// something was laid during, other than by itself, says nothing.
func (v *verification) note(k key, began time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !began.Before(v.changed) {
		v.of, v.began = k, began
	}
}

// lately returns when the verification of a version began that may be relied on now.
func (v *verification) lately(k key, now time.Time) (time.Time, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.began, v.of == k && now.Sub(v.began) <= reliedOn
}

// forget drops what was seen: the engine has started again.
func (v *verification) forget() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.of, v.began = key{}, time.Time{}
}
