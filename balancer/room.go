package balancer

import "time"

// MaxInFlight returns the number of requests of a service that may be in progress at
// this instance now: those that are, and what it has room for. It sizes the fair
// queue, so that requests wait there in fair order and not at the servers.
func (b *Balancer) MaxInFlight(service string, now time.Time) int {
	s := b.current()
	if s == nil {
		return 0
	}
	inUse := 0
	for _, load := range s.book.UsageByServer(func(string) int { return 0 }, s.index.Document().Policy) {
		if s.servers[load.Server].Service == service {
			inUse += load.InFlight
		}
	}
	return inUse + b.room(s, service, now)
}

// room returns the further requests that this instance has room for: its own
// share of the region that it has not granted, and the grants of other regions.
func (b *Balancer) room(s *state, service string, now time.Time) int {
	room := max(0, s.book.FreeCapacity(service, b.localInputs(s), now)-s.publisher.GrantedRequests(service, now))
	for _, region := range s.index.Document().Regions {
		if region.Name != s.region {
			room += s.holder.AllowedRequests(region.Name, service, now)
		}
	}
	return room
}
