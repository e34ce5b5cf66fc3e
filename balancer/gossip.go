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

// maxSharedQuarantine bounds the fingerprints in a digest.
const maxSharedQuarantine = 16

func (b *Balancer) localInputs(s *state) placement.Inputs {
	return placement.Inputs{States: b.tracker, Policy: s.index.Document().Policy}
}

// loads returns this instance's use of all servers, grants to other regions
// included.
func (b *Balancer) loads(s *state, now time.Time) []placement.ServerUsage {
	granted := func(service string) int { return s.publisher.GrantedRequests(service, now) }
	return s.book.UsageByServer(granted, s.index.Document().Policy)
}

// ServerLoads returns this instance's use and view of the backend servers of its
// region, for peers in the region. Servers without use that are serving are left
// out; a report of any server says that the others are idle.
func (b *Balancer) ServerLoads(now time.Time) []*peerpb.ServerLoad {
	s := b.current()
	if s == nil {
		return nil
	}
	var out []*peerpb.ServerLoad
	for _, load := range b.loads(s, now) {
		if !s.inRegion(load.Server) {
			continue
		}
		seen := b.tracker.StateForPeers(load.Server)
		if load.InFlight == 0 && seen != serverstate.Draining {
			continue
		}
		out = append(out, &peerpb.ServerLoad{Server: load.Server, Outstanding: uint32(load.InFlight), State: uint32(seen)})
	}
	return out
}

// inRegion reports whether a backend server is in the own region.
func (s *state) inRegion(server string) bool {
	region, _ := s.index.Region(s.servers[server].Zone)
	return region == s.region
}

// MergeServerLoads takes the use and view of servers reported by an entry instance of
// the same region.
func (b *Balancer) MergeServerLoads(instance string, loads []*peerpb.ServerLoad, age time.Duration, now time.Time) {
	s := b.current()
	if s == nil {
		return
	}
	inUse := make(map[string]int, len(loads))
	for _, load := range loads {
		inUse[load.GetServer()] = int(load.GetOutstanding())
		if serverstate.State(load.GetState()) == serverstate.Draining {
			b.observe(serverstate.Event{Server: load.GetServer(), Kind: serverstate.KindPeerReport, At: now, PeerState: serverstate.Draining})
		}
	}
	for name := range s.servers {
		if s.inRegion(name) {
			s.book.StorePeerUsage(instance, name, inUse[name], age, now)
		}
	}
}

// InOwnRegion reports whether an availability zone is in the own region.
func (b *Balancer) InOwnRegion(zone string) bool {
	s := b.current()
	if s == nil {
		return false
	}
	region, ok := s.index.Region(zone)
	return ok && region == s.region
}

// Reservations returns the spare capacity that this instance grants to an entry
// instance outside its region. Each call replaces the earlier grant.
func (b *Balancer) Reservations(to string, now time.Time) []*peerpb.Reservation {
	s := b.current()
	if s == nil {
		return nil
	}
	outsiders := b.outsiders(s)
	in := b.localInputs(s)
	var out []*peerpb.Reservation
	for _, service := range s.index.Document().Services {
		spare := s.book.FreeCapacity(service.Name, in, now)
		granted := s.publisher.Grant(service.Name, to, outsiders, spare, now)
		if granted > 0 {
			out = append(out, &peerpb.Reservation{Region: s.region, Service: service.Name, PerInstance: uint32(granted)})
		}
	}
	return out
}

// ReservationDemand returns the room that this instance would like to have in other regions.
func (b *Balancer) ReservationDemand(now time.Time) []*peerpb.Want {
	s := b.current()
	if s == nil {
		return nil
	}
	var out []*peerpb.Want
	for _, service := range s.index.Document().Services {
		if wanted := s.holder.Demand(service.Name, now); wanted > 0 {
			out = append(out, &peerpb.Want{Service: service.Name, Requests: uint32(wanted)})
		}
	}
	return out
}

// MergeReservationDemand takes what an instance of another region would like to have.
func (b *Balancer) MergeReservationDemand(instance string, wants []*peerpb.Want, now time.Time) {
	s := b.current()
	if s == nil {
		return
	}
	for _, w := range wants {
		s.publisher.SetDemand(w.GetService(), instance, int(w.GetRequests()), now)
	}
}

// outsiders lists the entry instances of other regions.
func (b *Balancer) outsiders(s *state) []string {
	var names []string
	for _, m := range b.opts.Members() {
		region, _ := s.index.Region(m.Zone)
		if region != s.region {
			names = append(names, m.Name)
		}
	}
	sort.Strings(names)
	return names
}

// MergeReservations takes grants from the reply of an entry instance in zone. A service
// that is not named has none. age is an upper bound of the time since they were
// made.
func (b *Balancer) MergeReservations(publisher, zone string, grants []*peerpb.Reservation, age time.Duration, now time.Time) {
	s := b.current()
	if s == nil {
		return
	}
	region, ok := s.index.Region(zone)
	if !ok || region == s.region {
		return
	}
	granted := make(map[string]int, len(grants))
	for _, g := range grants {
		granted[g.GetService()] = int(g.GetPerInstance())
	}
	for _, service := range s.index.Document().Services {
		s.holder.StoreReservation(headroom.ReceivedReservation{
			Publisher: publisher,
			Region:    region,
			Service:   service.Name,
			Requests:  granted[service.Name],
			Age:       age,
		}, now)
	}
}

// SuspectReports returns the fingerprints to share with other instances.
func (b *Balancer) SuspectReports(now time.Time) []*peerpb.Quarantine {
	var out []*peerpb.Quarantine
	for _, e := range b.quarantine.Export(maxSharedQuarantine, now) {
		out = append(out, &peerpb.Quarantine{
			Fingerprint:  uint64(e.Fingerprint),
			Deaths:       uint32(e.Crashes),
			AgeMs:        uint32(e.Age.Milliseconds()),
			ServerHashes: e.ServerHashes,
		})
	}
	return out
}

// MergeSuspectReports takes the fingerprints of another instance.
func (b *Balancer) MergeSuspectReports(shared []*peerpb.Quarantine, delay time.Duration, now time.Time) {
	entries := make([]quarantine.SuspectReport, 0, len(shared))
	for _, q := range shared {
		entries = append(entries, quarantine.SuspectReport{
			Fingerprint: quarantine.Fingerprint(q.GetFingerprint()),
			Crashes:      int(q.GetDeaths()),
			Age:         time.Duration(q.GetAgeMs()) * time.Millisecond,
			ServerHashes:     q.GetServerHashes(),
		})
	}
	b.quarantine.Import(entries, delay, now)
}

// ServerStatus describes a backend server for operators.
type ServerStatus struct {
	Server  string  `json:"server"`
	Service string  `json:"service"`
	Zone    string  `json:"zone"`
	State   string  `json:"state"`
	Reason  string  `json:"reason"`
	Weight  float64 `json:"weight"`
	InFlight   int     `json:"in_use"`
}

// Status returns the backend servers as this instance sees them.
func (b *Balancer) Status(now time.Time) []ServerStatus {
	s := b.current()
	if s == nil {
		return nil
	}
	var out []ServerStatus
	for _, load := range s.book.UsageByServer(func(string) int { return 0 }, s.index.Document().Policy) {
		server := s.servers[load.Server]
		state, reason := b.tracker.State(load.Server)
		weight, _ := b.tracker.Weight(load.Server, now)
		out = append(out, ServerStatus{
			Server: load.Server, Service: server.Service, Zone: server.Zone,
			State: state.String(), Reason: reason.String(), Weight: weight, InFlight: load.InFlight,
		})
	}
	return out
}

// ObservePlatformListing feeds what the platform's list says about a backend server.
func (b *Balancer) ObservePlatformListing(server string, listing serverstate.PlatformListing, now time.Time) {
	b.observe(serverstate.Event{Server: server, Kind: serverstate.KindPlatformListing, At: now, Listing: listing})
}
