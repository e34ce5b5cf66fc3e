package config

import "time"

// EffectiveKeyStaleness returns the bound on the age of key data for the route.
func (r Route) EffectiveKeyStaleness() time.Duration {
	if r.KeyStaleness == 0 {
		return DefaultKeyStaleness
	}
	return r.KeyStaleness.Std()
}

// EffectiveMaxBodyBytes returns the bound on a request body in bytes.
func (r Route) EffectiveMaxBodyBytes() int64 {
	if r.MaxBodyBytes == 0 {
		return DefaultMaxBodyBytes
	}
	return r.MaxBodyBytes
}

// EffectiveWeight returns the share of the customer relative to other customers.
func (c Customer) EffectiveWeight() float64 {
	if c.Weight == 0 {
		return 1
	}
	return c.Weight
}

// EffectiveLookupMaxAge returns how long a cached lookup response steers traffic.
func (p Policy) EffectiveLookupMaxAge() time.Duration {
	if p.LookupMaxAge == 0 {
		return DefaultLookupMaxAge
	}
	return p.LookupMaxAge.Std()
}
