package config

import "time"

// StalenessBound returns the bound on the age of key data for the route.
func (r Route) StalenessBound() time.Duration {
	if r.KeyStaleness == 0 {
		return DefaultKeyStaleness
	}
	return r.KeyStaleness.Std()
}

// BodyLimit returns the bound on a request body in bytes.
func (r Route) BodyLimit() int64 {
	if r.MaxBodyBytes == 0 {
		return DefaultMaxBodyBytes
	}
	return r.MaxBodyBytes
}

// FairWeight returns the share of the customer relative to other customers.
func (c Customer) FairWeight() float64 {
	if c.Weight == 0 {
		return 1
	}
	return c.Weight
}

// MaxAge returns how long a cached lookup response steers traffic.
func (p Policy) MaxAge() time.Duration {
	if p.LookupMaxAge == 0 {
		return DefaultLookupMaxAge
	}
	return p.LookupMaxAge.Std()
}
