package limits

import "math"

// Amount is a number of requests, or of requests per second, in millionths.
// Whole numbers make sums of shares exact.
type Amount int64

// One is one request, or one request per second.
const One Amount = 1_000_000

// AmountOf converts f and rounds down. Negative and undefined values are 0.
func AmountOf(f float64) Amount {
	scaled := f * float64(One)
	if !(scaled > 0) {
		return 0
	}
	if scaled >= math.MaxInt64/4 {
		return math.MaxInt64 / 4
	}
	return Amount(scaled)
}

// Float returns a in requests, or requests per second.
func (a Amount) Float() float64 { return float64(a) / float64(One) }

// scale returns a·num/den rounded down, and 0 when den is not positive.
func (a Amount) scale(num, den Amount) Amount {
	if den <= 0 || num <= 0 || a <= 0 {
		return 0
	}
	if num >= den {
		return a
	}
	return min(a, Amount(float64(a)*(float64(num)/float64(den))))
}

// Share is a part of a limit.
type Share struct {
	Rate  Amount `json:"rate"`  // per second
	Burst Amount `json:"burst"` // requests
}

// ShareOf converts a rate per second and a burst in requests.
func ShareOf(rate, burst float64) Share {
	return Share{Rate: AmountOf(rate), Burst: AmountOf(burst)}
}

// IsZero reports whether s admits nothing.
func (s Share) IsZero() bool { return s == Share{} }

// Plus returns the sum of s and o.
func (s Share) Plus(o Share) Share {
	return Share{Rate: s.Rate + o.Rate, Burst: s.Burst + o.Burst}
}

// Minus returns s without o. Neither part falls below 0.
func (s Share) Minus(o Share) Share {
	return Share{Rate: max(0, s.Rate-o.Rate), Burst: max(0, s.Burst-o.Burst)}
}

// Min returns the smaller of each part.
func (s Share) Min(o Share) Share {
	return Share{Rate: min(s.Rate, o.Rate), Burst: min(s.Burst, o.Burst)}
}

// Within reports whether no part of s exceeds that of o.
func (s Share) Within(o Share) bool { return s.Rate <= o.Rate && s.Burst <= o.Burst }

// fraction returns the share f of s, for f from 0 to 1.
func (s Share) fraction(f float64) Share {
	if f >= 1 {
		return s
	}
	return Share{Rate: Amount(float64(s.Rate) * max(0, f)), Burst: Amount(float64(s.Burst) * max(0, f))}
}
