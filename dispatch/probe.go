package dispatch

import (
	"slices"
	"strings"
	"time"
)

// ServersAcrossZones returns up to count random servers that the platform and the operator let get
// requests, in as many zones as possible.
func (d *Dispatcher) ServersAcrossZones(count int) []*Server {
	byZone := make(map[string][]*Server)
	for _, s := range d.servers {
		if s.listedForUse() {
			byZone[s.Zone] = append(byZone[s.Zone], s)
		}
	}
	zones := make([]string, 0, len(byZone))
	for zone, servers := range byZone {
		zones = append(zones, zone)
		slices.SortFunc(servers, func(a, b *Server) int { return strings.Compare(a.ID, b.ID) })
		d.rng.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	}
	slices.Sort(zones)
	d.rng.Shuffle(len(zones), func(i, j int) { zones[i], zones[j] = zones[j], zones[i] })
	var chosen []*Server
	for place := 0; len(chosen) < count; place++ {
		before := len(chosen)
		for _, zone := range zones {
			if place < len(byZone[zone]) && len(chosen) < count {
				chosen = append(chosen, byZone[zone][place])
			}
		}
		if len(chosen) == before {
			break
		}
	}
	return chosen
}

// ListedServerCount returns the number of servers that the platform and the operator let get
// requests.
func (d *Dispatcher) ListedServerCount() int {
	count := 0
	for _, s := range d.servers {
		if s.listedForUse() {
			count++
		}
	}
	return count
}

// Server returns the server with an ID, nil if it is not known.
func (d *Dispatcher) Server(id string) *Server { return d.servers[id] }

// ForgetUnreachable lets the servers that could not be reached get requests at once.
func (d *Dispatcher) ForgetUnreachable() {
	for _, s := range d.servers {
		s.consecutiveFailures, s.ejectedUntil = 0, time.Time{}
	}
}
