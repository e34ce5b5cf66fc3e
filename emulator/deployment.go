package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Deployment describes a fleet with one service, and its load.
type Deployment struct {
	ServersByZone    [][]int       // by region, the number of servers of each availability zone
	InstancesPerZone int           // entry instances
	Slots            int           // requests that a server runs at the same time
	ServerQueue      int           // requests that may wait at a server
	CacheObjects     int           // objects in the cache of a server
	CacheGain        float64       // fraction of the service time that is saved if the object is cached
	ObjectsPerRegion int           // objects that the callers of a region ask for
	ServiceTime      time.Duration // mean, of an object that is not cached
	Objective        time.Duration // latency objective
	Deadline         time.Duration // time for which a caller waits
	RegionRoundTrip  time.Duration // round trip between regions
	// Load is the requested work as a fraction of the capacity of all servers, if all objects
	// are cached.
	Load     float64
	Duration time.Duration // simulated time during which requests arrive
	Seed     uint64
}

// InvalidDeploymentError reports a deployment that cannot be played.
type InvalidDeploymentError struct{ Reason string }

func (e *InvalidDeploymentError) Error() string {
	return fmt.Sprintf("invalid deployment: %s", e.Reason)
}

// Validate returns an *InvalidDeploymentError unless the deployment can be played.
func (d Deployment) Validate() error {
	for _, check := range []struct {
		ok     bool
		reason string
	}{
		{d.Servers() > 0, "there are no servers"},
		{d.InstancesPerZone > 0, "there are no entry instances"},
		{d.Slots > 0, "servers have no slots"},
		{d.ServerQueue >= 0, "the queue of servers is negative"},
		{d.CacheObjects > 0, "servers cache no objects"},
		{d.CacheGain >= 0 && d.CacheGain < 1, "the gain of a cached object is not in [0, 1)"},
		{d.ObjectsPerRegion > 0, "there are no objects"},
		{d.ServiceTime > 0 && d.Objective > 0 && d.Deadline >= d.Objective, "a time is not positive, or the deadline is before the objective"},
		{d.RegionRoundTrip >= 0, "the round trip is negative"},
		{d.Load > 0 && d.Duration > 0, "there is no load"},
	} {
		if !check.ok {
			return &InvalidDeploymentError{Reason: check.reason}
		}
	}
	return nil
}

// Servers returns the number of servers.
func (d Deployment) Servers() int {
	n := 0
	for _, zones := range d.ServersByZone {
		for _, servers := range zones {
			n += servers
		}
	}
	return n
}

// cachedServiceTime returns the mean service time of a cached object.
func (d Deployment) cachedServiceTime() time.Duration {
	return time.Duration(float64(d.ServiceTime) * (1 - d.CacheGain))
}

// requestsPerSecond returns the rate of new requests of all callers.
func (d Deployment) requestsPerSecond() float64 {
	return d.Load * float64(d.Servers()*d.Slots) / d.cachedServiceTime().Seconds()
}

// Generate returns a deployment drawn from a seed. Regions differ up to five-fold in servers
// and not in load. load is the fraction of the capacity.
func Generate(seed uint64, load float64) Deployment {
	rng := rand.New(rand.NewPCG(seed, 1))
	between := func(low, high int) int { return low + rng.IntN(high-low+1) }
	serviceTime := time.Duration(between(50, 900)) * time.Millisecond
	// The objective is between half and ten times the service time of an uncached object.
	objective := time.Duration(float64(serviceTime) * (0.5 + 9.5*rng.Float64()*rng.Float64()))
	deployment := Deployment{
		InstancesPerZone: between(1, 2),
		Slots:            between(1, 8),
		ServerQueue:      between(4, 24),
		CacheObjects:     between(5, 100),
		CacheGain:        0.9 * rng.Float64(),
		ServiceTime:      serviceTime,
		Objective:        objective,
		Deadline:         objective + 4*serviceTime,
		RegionRoundTrip:  time.Duration(between(2, 80)) * time.Millisecond,
		Load:             load,
		Duration:         12 * time.Second,
		Seed:             seed,
	}
	zones := between(1, 3)
	for range between(1, 3) {
		region := make([]int, zones)
		for i := range region {
			region[i] = between(1, 5)
		}
		deployment.ServersByZone = append(deployment.ServersByZone, region)
	}
	// All objects together take between a twentieth and a half of the space in all caches.
	cached := deployment.Servers() * deployment.CacheObjects
	deployment.ObjectsPerRegion = max(1, between(cached/20, cached/2)/len(deployment.ServersByZone))
	return deployment
}
