package config

import (
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/jacinthrack/jacinthrack/selector"
)

// Limits of the values.
const (
	maxNameBytes      = 63
	maxSlots          = 1_000_000
	maxConnections    = 1_000_000
	maxRatePerSecond  = 1e9
	maxBitsPerSecond  = int64(1e15)
	maxLinkLatency    = 10 * time.Second
	maxSlowStart      = time.Hour
	minDeadline       = time.Millisecond // the unit of Jacinthrack-Timeout
	maxDeadline       = 24 * time.Hour   // slow photo batches take hours
	minKeyStaleness   = time.Second      // digests and platform reads come once a second
	maxKeyStaleness   = 24 * time.Hour
	maxBodyBytesLimit = int64(1) << 40
	minLookupMaxAge   = time.Second // Cache-Control: max-age has whole seconds
	maxLookupMaxAge   = time.Hour
	maxQueueWait      = time.Minute
	maxWeight         = 1e6
)

// validator checks a document whose values have the right types.
type validator struct {
	*issues
	doc       *Document
	regions   map[string]bool
	zones     map[string]bool
	services  map[string]bool
	routes    map[string]bool
	sites     map[string]bool
	byService map[string][]int // backend servers
}

func validate(doc *Document, found *issues) {
	v := &validator{issues: found, doc: doc}
	v.collectNames()
	v.checkTopology()
	v.checkServices()
	v.checkBackendServers()
	v.checkCustomers()
	v.checkRoutes()
	v.checkShifts()
	v.checkSites()
	v.checkClientBlocks()
	v.checkPolicy()
}

func (v *validator) collectNames() {
	d := v.doc
	v.regions = uniqueNames(v, "regions", d.Regions, func(r Region) string { return r.Name })
	v.zones = uniqueNames(v, "zones", d.Zones, func(z Zone) string { return z.Name })
	v.services = uniqueNames(v, "services", d.Services, func(s Service) string { return s.Name })
	uniqueNames(v, "backend_servers", d.BackendServers, func(s BackendServer) string { return s.Name })
	uniqueNames(v, "customers", d.Customers, func(c Customer) string { return c.Name })
	v.routes = uniqueNames(v, "routes", d.Routes, func(r Route) string { return r.Name })
	uniqueNames(v, "shifts", d.Shifts, func(s Shift) string { return s.Name })
	v.sites = uniqueNames(v, "sites", d.Sites, func(s Site) string { return s.Name })
	v.byService = make(map[string][]int)
	for i, s := range d.BackendServers {
		v.byService[s.Service] = append(v.byService[s.Service], i)
	}
}

// uniqueNames checks the names of a list and returns them.
func uniqueNames[T any](v *validator, list string, elements []T, name func(T) string) map[string]bool {
	seen := make(map[string]bool, len(elements))
	for i, element := range elements {
		p := root.at(list).item(i).at("name")
		n := name(element)
		switch {
		case !validName(n):
			v.add(p, n, "1 to 63 letters, digits, '.', '_' and '-', beginning with a letter or digit")
		case seen[n]:
			v.add(p, n, "a name that no other element of "+list+" has")
		}
		seen[n] = true
	}
	return seen
}

// validName reports whether s can name an element. Names are parts of URL paths
// and of platform row keys, so they hold no slash.
func validName(s string) bool {
	if len(s) > maxNameBytes || strings.Contains(s, "/") || !selector.ValidName(s) {
		return false
	}
	return !strings.ContainsRune("._-", rune(s[0]))
}

// reference checks that value names an element of a list.
func (v *validator) reference(p *path, value string, known map[string]bool, list string) bool {
	if known[value] {
		return true
	}
	v.add(p, value, "the name of an element of "+list)
	return false
}

// number checks that lowest <= value <= highest.
func (v *validator) number(p *path, value, lowest, highest float64) {
	if math.IsNaN(value) || value < lowest || value > highest {
		v.add(p, value, fmt.Sprintf("a number from %g to %g", lowest, highest))
	}
}

// whole checks that lowest <= value <= highest.
func (v *validator) whole(p *path, value, lowest, highest int64) {
	if value < lowest || value > highest {
		v.add(p, value, fmt.Sprintf("a whole number from %d to %d", lowest, highest))
	}
}

// duration checks that lowest <= value <= highest.
func (v *validator) duration(p *path, value Duration, lowest, highest time.Duration) {
	if value.Std() < lowest || value.Std() > highest {
		v.add(p, value.Std(), fmt.Sprintf("a duration from %s to %s", lowest, highest))
	}
}

func (v *validator) labels(p *path, labels selector.Labels) {
	const allowed = "letters, digits, '.', '_', '-' and '/' in label names and values"
	for _, name := range slices.Sorted(maps.Keys(labels)) {
		value := labels[name]
		if !selector.ValidName(name) {
			v.add(p.at(name), name, allowed)
		} else if !selector.ValidName(value) {
			v.add(p.at(name), value, allowed)
		}
	}
}

func (v *validator) nonEmpty(list string, length int) {
	if length == 0 {
		v.add(root.at(list), "[]", "at least one element")
	}
}

func (v *validator) checkTopology() {
	v.nonEmpty("regions", len(v.doc.Regions))
	v.nonEmpty("zones", len(v.doc.Zones))
	for i, z := range v.doc.Zones {
		v.reference(root.at("zones").item(i).at("region"), z.Region, v.regions, "regions")
	}
	seen := make(map[[2]string]bool)
	for i, l := range v.doc.Links {
		p := root.at("links").item(i)
		v.reference(p.at("from"), l.From, v.regions, "regions")
		v.reference(p.at("to"), l.To, v.regions, "regions")
		if l.From == l.To {
			v.add(p.at("to"), l.To, "a region other than the one in from")
		}
		if pair := linkPair(l.From, l.To); seen[pair] {
			v.add(p, l.From+" to "+l.To, "each pair of regions once; a link has its capacity in each direction")
		} else {
			seen[pair] = true
		}
		v.whole(p.at("bits_per_second"), l.BitsPerSecond, 1, maxBitsPerSecond)
		v.duration(p.at("latency"), l.Latency, 0, maxLinkLatency)
	}
}

// linkPair returns two region names in a fixed order.
func linkPair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (v *validator) checkServices() {
	v.nonEmpty("services", len(v.doc.Services))
	for i, s := range v.doc.Services {
		p := root.at("services").item(i)
		v.labels(p.at("labels"), s.Labels)
		if s.HealthPath != "" && !strings.HasPrefix(s.HealthPath, "/") {
			v.add(p.at("health_path"), s.HealthPath, "a path that begins with /, or nothing")
		}
		v.duration(p.at("slow_start"), s.SlowStart, 0, maxSlowStart)
	}
}

func (v *validator) checkBackendServers() {
	addresses := make(map[netip.AddrPort]bool, len(v.doc.BackendServers))
	for i, s := range v.doc.BackendServers {
		p := root.at("backend_servers").item(i)
		v.reference(p.at("service"), s.Service, v.services, "services")
		v.reference(p.at("zone"), s.Zone, v.zones, "zones")
		v.address(p.at("address"), s.Address, addresses)
		v.whole(p.at("slots"), int64(s.Slots), 1, maxSlots)
		v.whole(p.at("connections"), int64(s.Connections), 1, maxConnections)
		v.labels(p.at("labels"), s.Labels)
	}
}

func (v *validator) address(p *path, value string, seen map[netip.AddrPort]bool) {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		v.add(p, value, `an IP address and port such as "10.0.0.1:8080"`)
		return
	}
	if seen[address] {
		v.add(p, value, "an address that no other backend server has")
	}
	seen[address] = true
}

func (v *validator) checkCustomers() {
	for i, c := range v.doc.Customers {
		p := root.at("customers").item(i)
		v.labels(p.at("labels"), c.Labels)
		v.number(p.at("rate_per_second"), c.RatePerSecond, 0, maxRatePerSecond)
		lowest := 0.0
		if c.RatePerSecond > 0 {
			lowest = 1 // a smaller burst would never admit a whole request
		}
		v.number(p.at("burst"), c.Burst, lowest, maxRatePerSecond)
		v.number(p.at("weight"), c.Weight, 0, maxWeight)
	}
}

func (v *validator) checkPolicy() {
	p, policy := root.at("policy"), v.doc.Policy
	if policy.LookupMaxAge != 0 {
		v.duration(p.at("lookup_max_age"), policy.LookupMaxAge, minLookupMaxAge, maxLookupMaxAge)
	}
	v.duration(p.at("queue_wait"), policy.QueueWait, 0, maxQueueWait)
	v.number(p.at("max_utilization"), policy.MaxUtilization, 0, 1)
	v.number(p.at("latency_weight"), policy.LatencyWeight, 0, maxWeight)
	v.number(p.at("headroom_weight"), policy.HeadroomWeight, 0, maxWeight)
	v.number(p.at("drain_time_weight"), policy.DrainTimeWeight, 0, maxWeight)
	v.number(p.at("refusal_weight"), policy.RefusalWeight, 0, maxWeight)
	v.number(p.at("worst_customer_weight"), policy.WorstCustomerWeight, 0, maxWeight)
}
