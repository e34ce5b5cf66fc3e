package limits

import "math"

// MicroRequests is a number of requests, or of requests per second, in millionths. It is
// an integer so that sums of shares are exact.
type MicroRequests int64

// OneRequest is one request, or one request per second.
const OneRequest MicroRequests = 1_000_000

// MicroRequestsOf converts f, in requests or requests per second, and rounds down. Negative
// values and NaN give 0. Large values are capped so that sums do not overflow.
func MicroRequestsOf(f float64) MicroRequests {
	scaled := f * float64(OneRequest)
	if !(scaled > 0) {
		return 0
	}
	if scaled >= math.MaxInt64/4 {
		return math.MaxInt64 / 4
	}
	return MicroRequests(scaled)
}

// Requests returns m in requests, or in requests per second.
func (m MicroRequests) Requests() float64 { return float64(m) / float64(OneRequest) }

// scale returns m·num/den, the part num/den of m, rounded down and at most m. It returns 0 if
// any of the three values is not positive.
func (m MicroRequests) scale(num, den MicroRequests) MicroRequests {
	if den <= 0 || num <= 0 || m <= 0 {
		return 0
	}
	if num >= den {
		return m
	}
	return min(m, MicroRequests(float64(m)*(float64(num)/float64(den))))
}

// Share is a part of a limit: the rate and burst of a token bucket.
type Share struct {
	Rate  MicroRequests `json:"rate"`  // requests per second
	Burst MicroRequests `json:"burst"` // requests
}

// NewShare returns a share with a rate in requests per second and a burst in requests.
func NewShare(rate, burst float64) Share {
	return Share{Rate: MicroRequestsOf(rate), Burst: MicroRequestsOf(burst)}
}

// IsZero reports whether both rate and burst are 0.
func (s Share) IsZero() bool { return s == Share{} }

// Plus returns the sums of the rates and of the bursts.
func (s Share) Plus(o Share) Share {
	return Share{Rate: s.Rate + o.Rate, Burst: s.Burst + o.Burst}
}

// Minus returns the differences of the rates and of the bursts, each at least 0.
func (s Share) Minus(o Share) Share {
	return Share{Rate: max(0, s.Rate-o.Rate), Burst: max(0, s.Burst-o.Burst)}
}

// Min returns the smaller rate and the smaller burst.
func (s Share) Min(o Share) Share {
	return Share{Rate: min(s.Rate, o.Rate), Burst: min(s.Burst, o.Burst)}
}

// Within reports whether neither rate nor burst of s exceeds that of o.
func (s Share) Within(o Share) bool { return s.Rate <= o.Rate && s.Burst <= o.Burst }

// fraction returns s multiplied by f, which is limited to the range 0 to 1.
func (s Share) fraction(f float64) Share {
	if f >= 1 {
		return s
	}
	return Share{Rate: MicroRequests(float64(s.Rate) * max(0, f)), Burst: MicroRequests(float64(s.Burst) * max(0, f))}
}
