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

// Limits of the values in a document.
const (
	maxNameBytes      = 63
	maxSlots          = 1_000_000   // requests at a time
	maxConnections    = 1_000_000   // open connections
	maxRatePerSecond  = 1e9         // requests per second; also the maximum burst in requests
	maxBitsPerSecond  = int64(1e15) // 1 Pbit/s
	maxLinkLatency    = 10 * time.Second
	maxSlowStart      = time.Hour
	minDeadline       = time.Millisecond // the unit of the header Jacinthrack-Timeout
	maxDeadline       = 24 * time.Hour   // slow photo batches take hours
	minKeyStaleness   = time.Second      // digests and platform reads refresh key data once per second
	maxKeyStaleness   = 24 * time.Hour
	maxBodyBytesLimit = int64(1) << 40 // largest allowed max_body_bytes: 1 TiB
	minLookupMaxAge   = time.Second    // Cache-Control: max-age is in whole seconds
	maxLookupMaxAge   = time.Hour
	maxQueueWait      = time.Minute
	maxWeight         = 1e6 // of a customer or of a policy objective; has no unit
)

// validator checks the values of a document that was decoded without type errors or
// built in code.
type validator struct {
	*issueCollector
	doc                      *Document
	regionNames              map[string]bool
	zoneNames                map[string]bool
	serviceNames             map[string]bool
	routeNames               map[string]bool
	siteNames                map[string]bool
	serverPositionsByService map[string][]int // positions of backend servers
}

// validate adds the mistakes in doc to collector.
func validate(doc *Document, collector *issueCollector) {
	v := &validator{issueCollector: collector, doc: doc}
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

// collectNames checks the names of all elements and collects those that others refer
// to.
func (v *validator) collectNames() {
	d := v.doc
	v.regionNames = checkNames(v, "regions", d.Regions, func(r Region) string { return r.Name })
	v.zoneNames = checkNames(v, "zones", d.Zones, func(z Zone) string { return z.Name })
	v.serviceNames = checkNames(v, "services", d.Services, func(s Service) string { return s.Name })
	checkNames(v, "backend_servers", d.BackendServers, func(s BackendServer) string { return s.Name })
	checkNames(v, "customers", d.Customers, func(c Customer) string { return c.Name })
	v.routeNames = checkNames(v, "routes", d.Routes, func(r Route) string { return r.Name })
	checkNames(v, "shifts", d.Shifts, func(s Shift) string { return s.Name })
	v.siteNames = checkNames(v, "sites", d.Sites, func(s Site) string { return s.Name })
	v.serverPositionsByService = make(map[string][]int)
	for i, s := range d.BackendServers {
		v.serverPositionsByService[s.Service] = append(v.serverPositionsByService[s.Service], i)
	}
}

// checkNames checks that the names of the elements of a list are well-formed and
// unique, and returns them.
func checkNames[T any](v *validator, list string, elements []T, name func(T) string) map[string]bool {
	seen := make(map[string]bool, len(elements))
	for i, element := range elements {
		p := rootPath.field(list).element(i).field("name")
		n := name(element)
		switch {
		case !validElementName(n):
			v.add(p, n, "1 to 63 letters, digits, '.', '_' and '-', beginning with a letter or digit")
		case seen[n]:
			v.add(p, n, "a name that no other element of "+list+" has")
		}
		seen[n] = true
	}
	return seen
}

// validElementName reports whether s is a well-formed name of an element. Names are
// used in URL paths and in row keys of the platform, so they must not contain a slash.
func validElementName(s string) bool {
	if len(s) > maxNameBytes || strings.Contains(s, "/") || !selector.ValidName(s) {
		return false
	}
	return !strings.ContainsRune("._-", rune(s[0]))
}

// checkReference checks that value is the name of an element of a list, and returns
// whether it is.
func (v *validator) checkReference(p *path, value string, names map[string]bool, list string) bool {
	if names[value] {
		return true
	}
	v.add(p, value, "the name of an element of "+list)
	return false
}

// checkNumber checks that value is a number and lowest <= value <= highest.
func (v *validator) checkNumber(p *path, value, lowest, highest float64) {
	if math.IsNaN(value) || value < lowest || value > highest {
		v.add(p, value, fmt.Sprintf("a number from %g to %g", lowest, highest))
	}
}

// checkInteger checks that lowest <= value <= highest.
func (v *validator) checkInteger(p *path, value, lowest, highest int64) {
	if value < lowest || value > highest {
		v.add(p, value, fmt.Sprintf("a whole number from %d to %d", lowest, highest))
	}
}

// checkDuration checks that lowest <= value <= highest.
func (v *validator) checkDuration(p *path, value Duration, lowest, highest time.Duration) {
	if value.Std() < lowest || value.Std() > highest {
		v.add(p, value.Std(), fmt.Sprintf("a duration from %s to %s", lowest, highest))
	}
}

// checkLabels checks the characters of label names and values.
func (v *validator) checkLabels(p *path, labels selector.Labels) {
	const allowed = "letters, digits, '.', '_', '-' and '/' in label names and values"
	for _, name := range slices.Sorted(maps.Keys(labels)) {
		value := labels[name]
		if !selector.ValidName(name) {
			v.add(p.field(name), name, allowed)
		} else if !selector.ValidName(value) {
			v.add(p.field(name), value, allowed)
		}
	}
}

// checkNotEmpty checks that a list has elements.
func (v *validator) checkNotEmpty(list string, length int) {
	if length == 0 {
		v.add(rootPath.field(list), "[]", "at least one element")
	}
}

func (v *validator) checkTopology() {
	v.checkNotEmpty("regions", len(v.doc.Regions))
	v.checkNotEmpty("zones", len(v.doc.Zones))
	for i, z := range v.doc.Zones {
		v.checkReference(rootPath.field("zones").element(i).field("region"), z.Region, v.regionNames, "regions")
	}
	seenPairs := make(map[[2]string]bool)
	for i, l := range v.doc.Links {
		p := rootPath.field("links").element(i)
		v.checkReference(p.field("from"), l.From, v.regionNames, "regions")
		v.checkReference(p.field("to"), l.To, v.regionNames, "regions")
		if l.From == l.To {
			v.add(p.field("to"), l.To, "a region other than the one in from")
		}
		if pair := sortedRegionPair(l.From, l.To); seenPairs[pair] {
			v.add(p, l.From+" to "+l.To, "each pair of regions once; a link has its capacity in each direction")
		} else {
			seenPairs[pair] = true
		}
		v.checkInteger(p.field("bits_per_second"), l.BitsPerSecond, 1, maxBitsPerSecond)
		v.checkDuration(p.field("latency"), l.Latency, 0, maxLinkLatency)
	}
}

// sortedRegionPair returns two region names in alphabetical order, so that both
// directions of a link have the same key.
func sortedRegionPair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (v *validator) checkServices() {
	v.checkNotEmpty("services", len(v.doc.Services))
	for i, s := range v.doc.Services {
		p := rootPath.field("services").element(i)
		v.checkLabels(p.field("labels"), s.Labels)
		if s.HealthPath != "" && !strings.HasPrefix(s.HealthPath, "/") {
			v.add(p.field("health_path"), s.HealthPath, "a path that begins with /, or nothing")
		}
		v.checkDuration(p.field("slow_start"), s.SlowStart, 0, maxSlowStart)
	}
}

func (v *validator) checkBackendServers() {
	addresses := make(map[netip.AddrPort]bool, len(v.doc.BackendServers))
	for i, s := range v.doc.BackendServers {
		p := rootPath.field("backend_servers").element(i)
		v.checkReference(p.field("service"), s.Service, v.serviceNames, "services")
		v.checkReference(p.field("zone"), s.Zone, v.zoneNames, "zones")
		v.checkAddress(p.field("address"), s.Address, addresses)
		v.checkInteger(p.field("slots"), int64(s.Slots), 1, maxSlots)
		v.checkInteger(p.field("connections"), int64(s.Connections), 1, maxConnections)
		v.checkLabels(p.field("labels"), s.Labels)
	}
}

// checkAddress checks that value is an address and port that no backend server in
// seen has, and adds it to seen.
func (v *validator) checkAddress(p *path, value string, seen map[netip.AddrPort]bool) {
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
		p := rootPath.field("customers").element(i)
		v.checkLabels(p.field("labels"), c.Labels)
		v.checkNumber(p.field("rate_per_second"), c.RatePerSecond, 0, maxRatePerSecond)
		lowest := 0.0
		if c.RatePerSecond > 0 {
			lowest = 1 // with a smaller burst no request would ever be admitted
		}
		v.checkNumber(p.field("burst"), c.Burst, lowest, maxRatePerSecond)
		v.checkNumber(p.field("weight"), c.Weight, 0, maxWeight)
	}
}

func (v *validator) checkPolicy() {
	p, policy := rootPath.field("policy"), v.doc.Policy
	if policy.LookupMaxAge != 0 {
		v.checkDuration(p.field("lookup_max_age"), policy.LookupMaxAge, minLookupMaxAge, maxLookupMaxAge)
	}
	v.checkDuration(p.field("queue_wait"), policy.QueueWait, 0, maxQueueWait)
	v.checkNumber(p.field("max_utilization"), policy.MaxUtilization, 0, 1)
	v.checkNumber(p.field("latency_weight"), policy.LatencyWeight, 0, maxWeight)
	v.checkNumber(p.field("headroom_weight"), policy.HeadroomWeight, 0, maxWeight)
	v.checkNumber(p.field("drain_time_weight"), policy.DrainTimeWeight, 0, maxWeight)
	v.checkNumber(p.field("refusal_weight"), policy.RefusalWeight, 0, maxWeight)
	v.checkNumber(p.field("worst_customer_weight"), policy.WorstCustomerWeight, 0, maxWeight)
}
