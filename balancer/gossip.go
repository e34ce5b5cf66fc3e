package balancer

import (
	"sort"
	"time"

	"github.com/jacinthrack/jacinthrack/headroom"
	"github.com/jacinthrack/jacinthrack/peer/peerpb"
	"github.com/jacinthrack/jacinthrack/placement"
	"github.com/jacinthrack/jacinthrack/quarantine"
	"github.com/jacinthrack/jacinthrack/serverstate"
)

// maxSuspectReports is the maximum number of suspect fingerprints in a digest.
const maxSuspectReports = 16

func (b *Balancer) ownRegionInputs(s *configState) placement.Inputs {
	return placement.Inputs{States: b.tracker, Policy: s.index.Document().Policy}
}

// usageWithReservations returns this instance's requests in flight by server. Requests
// for which it has granted reservations to other regions count as in flight.
func (b *Balancer) usageWithReservations(s *configState, now time.Time) []placement.ServerUsage {
	granted := func(service string) int { return s.reservationPublisher.GrantedRequests(service, now) }
	return s.placer.ServerUsages(granted, s.index.Document().Policy)
}

// ServerLoads returns, for the other entry instances of the region, this instance's
// requests in flight at the region's backend servers, granted reservations included, and
// the states of the servers. Servers without requests are left out unless they are
// draining; a receiver takes a server that is missing to have no requests.
func (b *Balancer) ServerLoads(now time.Time) []*peerpb.ServerLoad {
	s := b.currentConfigState()
	if s == nil {
		return nil
	}
	var out []*peerpb.ServerLoad
	for _, usage := range b.usageWithReservations(s, now) {
		if !s.inOwnRegion(usage.Server) {
			continue
		}
		state := b.tracker.StateForPeers(usage.Server)
		if usage.InFlight == 0 && state != serverstate.Draining {
			continue
		}
		out = append(out, &peerpb.ServerLoad{Server: usage.Server, Outstanding: uint32(usage.InFlight), State: uint32(state)})
	}
	return out
}

// inOwnRegion reports whether a backend server is in the region of this instance.
func (s *configState) inOwnRegion(server string) bool {
	region, _ := s.index.RegionOfZone(s.servers[server].Zone)
	return region == s.region
}

// MergeServerLoads stores the requests in flight and server states reported by another entry
// instance of the region. age is the age of the report.
func (b *Balancer) MergeServerLoads(instance string, loads []*peerpb.ServerLoad, age time.Duration, now time.Time) {
	s := b.currentConfigState()
	if s == nil {
		return
	}
	inFlight := make(map[string]int, len(loads))
	for _, load := range loads {
		inFlight[load.GetServer()] = int(load.GetOutstanding())
		if serverstate.State(load.GetState()) == serverstate.Draining {
			b.observe(serverstate.Event{Server: load.GetServer(), Kind: serverstate.KindPeerReport, At: now, PeerState: serverstate.Draining})
		}
	}
	for name := range s.servers {
		if s.inOwnRegion(name) {
			s.placer.StorePeerUsage(instance, name, inFlight[name], age, now)
		}
	}
}

// InOwnRegion reports whether an availability zone is in the region of this instance.
func (b *Balancer) InOwnRegion(zone string) bool {
	s := b.currentConfigState()
	if s == nil {
		return false
	}
	region, ok := s.index.RegionOfZone(zone)
	return ok && region == s.region
}

// Reservations returns the free capacity that this instance reserves for an entry instance
// of another region. Each call replaces the reservations of the previous one.
func (b *Balancer) Reservations(to string, now time.Time) []*peerpb.Reservation {
	s := b.currentConfigState()
	if s == nil {
		return nil
	}
	otherInstances := b.instancesOutsideRegion(s)
	in := b.ownRegionInputs(s)
	var out []*peerpb.Reservation
	for _, service := range s.index.Document().Services {
		freeCapacity := s.placer.FreeCapacity(service.Name, in, now)
		granted := s.reservationPublisher.Grant(service.Name, to, otherInstances, freeCapacity, now)
		if granted > 0 {
			out = append(out, &peerpb.Reservation{Region: s.region, Service: service.Name, PerInstance: uint32(granted)})
		}
	}
	return out
}

// ReservationDemand returns the capacity that this instance would like to use in other regions.
func (b *Balancer) ReservationDemand(now time.Time) []*peerpb.Want {
	s := b.currentConfigState()
	if s == nil {
		return nil
	}
	var out []*peerpb.Want
	for _, service := range s.index.Document().Services {
		if demand := s.reservationHolder.Demand(service.Name, now); demand > 0 {
			out = append(out, &peerpb.Want{Service: service.Name, Requests: uint32(demand)})
		}
	}
	return out
}

// MergeReservationDemand stores the capacity that an entry instance of another region would like
// to use here.
func (b *Balancer) MergeReservationDemand(instance string, demand []*peerpb.Want, now time.Time) {
	s := b.currentConfigState()
	if s == nil {
		return
	}
	for _, w := range demand {
		s.reservationPublisher.SetDemand(w.GetService(), instance, int(w.GetRequests()), now)
	}
}

// instancesOutsideRegion returns the sorted names of the live entry instances of other
// regions.
func (b *Balancer) instancesOutsideRegion(s *configState) []string {
	var names []string
	for _, m := range b.opts.Members() {
		region, _ := s.index.RegionOfZone(m.Zone)
		if region != s.region {
			names = append(names, m.Name)
		}
	}
	sort.Strings(names)
	return names
}

// MergeReservations stores the reservations granted by an entry instance in zone, as received
// in its reply. A service that is not in reservations has no reservation. age is an upper
// bound of the time since they were granted.
func (b *Balancer) MergeReservations(publisher, zone string, reservations []*peerpb.Reservation, age time.Duration, now time.Time) {
	s := b.currentConfigState()
	if s == nil {
		return
	}
	region, ok := s.index.RegionOfZone(zone)
	if !ok || region == s.region {
		return
	}
	granted := make(map[string]int, len(reservations))
	for _, r := range reservations {
		granted[r.GetService()] = int(r.GetPerInstance())
	}
	for _, service := range s.index.Document().Services {
		s.reservationHolder.StoreReservation(headroom.ReceivedReservation{
			Publisher: publisher,
			Region:    region,
			Service:   service.Name,
			Requests:  granted[service.Name],
			Age:       age,
		}, now)
	}
}

// SuspectReports returns reports of the suspect fingerprints for other entry instances.
func (b *Balancer) SuspectReports(now time.Time) []*peerpb.Quarantine {
	var out []*peerpb.Quarantine
	for _, e := range b.quarantine.Export(maxSuspectReports, now) {
		out = append(out, &peerpb.Quarantine{
			Fingerprint:  uint64(e.Fingerprint),
			Deaths:       uint32(e.Crashes),
			AgeMs:        uint32(e.Age.Milliseconds()),
			ServerHashes: e.ServerHashes,
		})
	}
	return out
}

// MergeSuspectReports merges the suspect fingerprints reported by another entry instance.
// delay is an upper bound of the time since the report was made.
func (b *Balancer) MergeSuspectReports(received []*peerpb.Quarantine, delay time.Duration, now time.Time) {
	reports := make([]quarantine.SuspectReport, 0, len(received))
	for _, q := range received {
		reports = append(reports, quarantine.SuspectReport{
			Fingerprint:  quarantine.Fingerprint(q.GetFingerprint()),
			Crashes:      int(q.GetDeaths()),
			Age:          time.Duration(q.GetAgeMs()) * time.Millisecond,
			ServerHashes: q.GetServerHashes(),
		})
	}
	b.quarantine.Import(reports, delay, now)
}

// ServerStatus is the state of a backend server as shown to operators.
type ServerStatus struct {
	Server   string  `json:"server"`
	Service  string  `json:"service"`
	Zone     string  `json:"zone"`
	State    string  `json:"state"`
	Reason   string  `json:"reason"`
	Weight   float64 `json:"weight"`
	InFlight int     `json:"in_use"`
}

// Status returns the states of all backend servers at this instance, with the number
// of requests in flight from this instance.
func (b *Balancer) Status(now time.Time) []ServerStatus {
	s := b.currentConfigState()
	if s == nil {
		return nil
	}
	var out []ServerStatus
	for _, usage := range s.placer.ServerUsages(func(string) int { return 0 }, s.index.Document().Policy) {
		server := s.servers[usage.Server]
		state, reason := b.tracker.State(usage.Server)
		weight, _ := b.tracker.Weight(usage.Server, now)
		out = append(out, ServerStatus{
			Server: usage.Server, Service: server.Service, Zone: server.Zone,
			State: state.String(), Reason: reason.String(), Weight: weight, InFlight: usage.InFlight,
		})
	}
	return out
}

// ObservePlatformListing records what the platform's list of servers says about a backend
// server.
func (b *Balancer) ObservePlatformListing(server string, listing serverstate.PlatformListing, now time.Time) {
	b.observe(serverstate.Event{Server: server, Kind: serverstate.KindPlatformListing, At: now, Listing: listing})
}
