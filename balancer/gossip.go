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

// Loads returns this instance's use of the backend servers of its region, for
// peers in the region. Servers without use are left out; a report of any server
// says that the others are idle.
func (b *Balancer) Loads() []*peerpb.ServerLoad {
	s := b.current()
	if s == nil {
		return nil
	}
	var out []*peerpb.ServerLoad
	for _, load := range s.book.Loads() {
		region, _ := s.index.Region(s.servers[load.Server].Zone)
		if region != s.region || load.InUse == 0 {
			continue
		}
		state, _ := b.tracker.State(load.Server)
		out = append(out, &peerpb.ServerLoad{Server: load.Server, Outstanding: uint32(load.InUse), State: uint32(state)})
	}
	return out
}

// MergeLoads takes the use reported by an entry instance of the same region.
func (b *Balancer) MergeLoads(instance string, loads []*peerpb.ServerLoad, age time.Duration, now time.Time) {
	s := b.current()
	if s == nil {
		return
	}
	inUse := make(map[string]int, len(loads))
	for _, load := range loads {
		inUse[load.GetServer()] = int(load.GetOutstanding())
	}
	for name, server := range s.servers {
		if region, _ := s.index.Region(server.Zone); region == s.region {
			s.book.Report(instance, name, inUse[name], age, now)
		}
	}
}

// SameRegion reports whether an availability zone is in the own region.
func (b *Balancer) SameRegion(zone string) bool {
	s := b.current()
	if s == nil {
		return false
	}
	region, ok := s.index.Region(zone)
	return ok && region == s.region
}

// Grants returns the spare capacity that this instance grants to an entry
// instance outside its region. Each call replaces the earlier grant.
func (b *Balancer) Grants(to string, now time.Time) []*peerpb.Reservation {
	s := b.current()
	if s == nil {
		return nil
	}
	outsiders := b.outsiders(s)
	index := sort.SearchStrings(outsiders, to)
	if index == len(outsiders) || outsiders[index] != to {
		return nil
	}
	var out []*peerpb.Reservation
	in := b.localInputs(s)
	for _, service := range s.index.Document().Services {
		limit, inUse := s.book.Capacity(service.Name, in, now)
		granted := s.publisher.Grant(service.Name, to, index, len(outsiders), headroom.Capacity{Limit: limit, InUse: inUse}, now)
		out = append(out, &peerpb.Reservation{Region: s.region, Service: service.Name, PerInstance: uint32(granted)})
	}
	return out
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

// MergeGrants takes grants from the reply of an entry instance. age is an upper
// bound of the time since they were made.
func (b *Balancer) MergeGrants(publisher string, grants []*peerpb.Reservation, age time.Duration, now time.Time) {
	s := b.current()
	if s == nil {
		return
	}
	for _, g := range grants {
		s.holder.Report(headroom.Report{
			Publisher: publisher,
			Region:    g.GetRegion(),
			Service:   g.GetService(),
			Requests:  int(g.GetPerInstance()),
			Age:       age,
		}, now)
	}
}

// Quarantined returns the fingerprints to share with other instances.
func (b *Balancer) Quarantined(now time.Time) []*peerpb.Quarantine {
	var out []*peerpb.Quarantine
	for _, e := range b.quarantine.Export(maxSharedQuarantine, now) {
		out = append(out, &peerpb.Quarantine{
			Fingerprint:  uint64(e.Fingerprint),
			Deaths:       uint32(e.Deaths),
			AgeMs:        uint32(e.Age.Milliseconds()),
			ServerHashes: e.Servers,
		})
	}
	return out
}

// MergeQuarantined takes the fingerprints of another instance.
func (b *Balancer) MergeQuarantined(shared []*peerpb.Quarantine, delay time.Duration, now time.Time) {
	entries := make([]quarantine.Entry, 0, len(shared))
	for _, q := range shared {
		entries = append(entries, quarantine.Entry{
			Fingerprint: quarantine.Fingerprint(q.GetFingerprint()),
			Deaths:      int(q.GetDeaths()),
			Age:         time.Duration(q.GetAgeMs()) * time.Millisecond,
			Servers:     q.GetServerHashes(),
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
	InUse   int     `json:"in_use"`
}

// Status returns the backend servers as this instance sees them.
func (b *Balancer) Status(now time.Time) []ServerStatus {
	s := b.current()
	if s == nil {
		return nil
	}
	var out []ServerStatus
	for _, load := range s.book.Loads() {
		server := s.servers[load.Server]
		state, reason := b.tracker.State(load.Server)
		weight, _ := b.tracker.Eligible(load.Server, now)
		out = append(out, ServerStatus{
			Server: load.Server, Service: server.Service, Zone: server.Zone,
			State: state.String(), Reason: reason.String(), Weight: weight, InUse: load.InUse,
		})
	}
	return out
}

// ObservePlatform feeds what the platform's list says about a backend server.
func (b *Balancer) ObservePlatform(server string, listing serverstate.Listing, now time.Time) {
	b.observe(serverstate.Event{Server: server, Kind: serverstate.KindPlatform, At: now, Listing: listing})
}
