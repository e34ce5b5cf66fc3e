package config

import "time"

// EffectiveKeyStaleness returns the maximum age of the key data that the route's requests
// are checked against: KeyStaleness, or its default when it is zero.
func (r Route) EffectiveKeyStaleness() time.Duration {
	if r.KeyStaleness == 0 {
		return DefaultKeyStaleness
	}
	return r.KeyStaleness.Std()
}

// EffectiveMaxBodyBytes returns the maximum size of a request body in bytes: MaxBodyBytes, or
// its default when it is zero.
func (r Route) EffectiveMaxBodyBytes() int64 {
	if r.MaxBodyBytes == 0 {
		return DefaultMaxBodyBytes
	}
	return r.MaxBodyBytes
}

// EffectiveWeight returns the weight of the customer's share of capacity relative to other
// customers: Weight, or 1 when it is zero.
func (c Customer) EffectiveWeight() float64 {
	if c.Weight == 0 {
		return 1
	}
	return c.Weight
}

// EffectiveLookupMaxAge returns how long clients may use a cached look-up answer: LookupMaxAge,
// or its default when it is zero.
func (p Policy) EffectiveLookupMaxAge() time.Duration {
	if p.LookupMaxAge == 0 {
		return DefaultLookupMaxAge
	}
	return p.LookupMaxAge.Std()
}
