package balancer

import "time"

// MaxInFlight returns the maximum number of requests of a service that this instance may have
// in flight now: those in flight and its free capacity. It sets the size of the fair
// queue, so that requests wait there in fair order and not at the servers.
func (b *Balancer) MaxInFlight(service string, now time.Time) int {
	s := b.currentState()
	if s == nil {
		return 0
	}
	inFlight := 0
	for _, load := range s.placer.ServerUsages(func(string) int { return 0 }, s.index.Document().Policy) {
		if s.servers[load.Server].Service == service {
			inFlight += load.InFlight
		}
	}
	return inFlight + b.freeCapacity(s, service, now)
}

// freeCapacity returns the number of further requests that this instance may have in
// flight: the free part of its share of the region that it has not reserved for other
// regions, and its reservations in other regions.
func (b *Balancer) freeCapacity(s *configState, service string, now time.Time) int {
	capacity := max(0, s.placer.FreeCapacity(service, b.ownRegionInputs(s), now)-s.reservationPublisher.GrantedRequests(service, now))
	for _, region := range s.index.Document().Regions {
		if region.Name != s.region {
			capacity += s.reservationHolder.AllowedRequests(region.Name, service, now)
		}
	}
	return capacity
}
