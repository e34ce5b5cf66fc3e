package quarantine

import "time"

const (
	// vouchTime is the least time for which a completion speaks for a fingerprint.
	// It ends at the latest after twice that time.
	vouchTime = 5 * time.Second
	// maxVouched bounds the fingerprints recorded per vouchTime. The others are
	// counted at a server's death as if they had not completed.
	maxVouched = 8192
)

// vouches records the fingerprints that completed lately, in two generations.
type vouches struct {
	start    time.Time // start of the current generation
	current  map[Fingerprint]struct{}
	previous map[Fingerprint]struct{}
}

func (v *vouches) add(f Fingerprint, now time.Time) {
	v.rotate(now)
	if len(v.current) < maxVouched {
		v.current[f] = struct{}{}
	}
}

func (v *vouches) has(f Fingerprint, now time.Time) bool {
	v.rotate(now)
	if _, ok := v.current[f]; ok {
		return true
	}
	_, ok := v.previous[f]
	return ok
}

func (v *vouches) rotate(now time.Time) {
	age := now.Sub(v.start)
	if v.current != nil && age < vouchTime {
		return
	}
	v.previous = v.current
	if age >= 2*vouchTime {
		v.previous = nil
	}
	v.current = make(map[Fingerprint]struct{})
	v.start = now
}
