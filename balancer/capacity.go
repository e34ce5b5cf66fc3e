package balancer

import "time"

// MaxInFlight returns the maximum number of requests of a service that this instance may have
// in flight now: those in flight and its free capacity. It sets the size of the fair
// queue, so that requests wait there in fair order and not at the servers.
func (b *Balancer) MaxInFlight(service string, now time.Time) int {
	s := b.currentConfigState()
	if s == nil {
		return 0
	}
	inFlight := 0
	for _, usage := range s.placer.ServerUsages(func(string) int { return 0 }, s.index.Document().Policy) {
		if s.servers[usage.Server].Service == service {
			inFlight += usage.InFlight
		}
	}
	return inFlight + b.freeCapacity(s, service, now)
}

// freeCapacity returns the number of further requests of a service that this instance may
// send now: its free capacity in its own region, less what it has reserved for instances of
// other regions, plus its reservations in other regions.
func (b *Balancer) freeCapacity(s *configState, service string, now time.Time) int {
	capacity := max(0, s.placer.FreeCapacity(service, b.ownRegionInputs(s), now)-s.reservationPublisher.GrantedRequests(service, now))
	for _, region := range s.index.Document().Regions {
		if region.Name != s.region {
			capacity += s.reservationHolder.AllowedRequests(region.Name, service, now)
		}
	}
	return capacity
}
