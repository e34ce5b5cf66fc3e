package config

import "net/netip"

// Index looks up elements of a document for the request path. It is immutable and
// safe for concurrent use. The values that it returns share maps and slices with the
// index and must not be modified.
type Index struct {
	doc               *Document
	routePositions    map[string]int
	servicePositions  map[string]int
	customerPositions map[string]int
	serverPositions   map[string]int
	serversByService  map[string][]BackendServer
	regionByZone      map[string]string   // zone to region
	zonesByRegion     map[string][]string // region to zones, in the order of the document
	linkByRegionPair  map[[2]string]Link
	zoneBySite        map[string]string // site to zone
	shiftsByRoute     map[string][]Shift
}

// NewIndex returns the index of a valid document, which must not be modified
// afterwards.
func NewIndex(doc *Document) *Index {
	x := &Index{
		doc:               doc,
		routePositions:    positionsByName(doc.Routes, func(r Route) string { return r.Name }),
		servicePositions:  positionsByName(doc.Services, func(s Service) string { return s.Name }),
		customerPositions: positionsByName(doc.Customers, func(c Customer) string { return c.Name }),
		serverPositions:   positionsByName(doc.BackendServers, func(s BackendServer) string { return s.Name }),
	}
	x.serversByService = groupBy(doc.BackendServers, func(s BackendServer) string { return s.Service })
	x.shiftsByRoute = groupBy(doc.Shifts, func(s Shift) string { return s.Route })
	x.indexTopology()
	return x
}

func (x *Index) indexTopology() {
	x.regionByZone = make(map[string]string, len(x.doc.Zones))
	x.zonesByRegion = make(map[string][]string, len(x.doc.Regions))
	x.linkByRegionPair = make(map[[2]string]Link, len(x.doc.Links))
	x.zoneBySite = make(map[string]string, len(x.doc.Sites))
	for _, z := range x.doc.Zones {
		x.regionByZone[z.Name] = z.Region
		x.zonesByRegion[z.Region] = append(x.zonesByRegion[z.Region], z.Name)
	}
	for _, l := range x.doc.Links {
		x.linkByRegionPair[sortedRegionPair(l.From, l.To)] = l
	}
	for _, s := range x.doc.Sites {
		x.zoneBySite[s.Name] = s.Zone
	}
}

func positionsByName[T any](list []T, name func(T) string) map[string]int {
	positions := make(map[string]int, len(list))
	for i, element := range list {
		positions[name(element)] = i
	}
	return positions
}

func groupBy[T any](list []T, key func(T) string) map[string][]T {
	groups := make(map[string][]T)
	for _, element := range list {
		groups[key(element)] = append(groups[key(element)], element)
	}
	return groups
}

// elementByName returns the element of list with the name, whose position is in
// positions.
func elementByName[T any](list []T, positions map[string]int, name string) (T, bool) {
	i, ok := positions[name]
	if !ok {
		var none T
		return none, false
	}
	return list[i], true
}

// Document returns the indexed document. It must not be modified.
func (x *Index) Document() *Document { return x.doc }

// Route returns the route with the name.
func (x *Index) Route(name string) (Route, bool) {
	return elementByName(x.doc.Routes, x.routePositions, name)
}

// Service returns the service with the name.
func (x *Index) Service(name string) (Service, bool) {
	return elementByName(x.doc.Services, x.servicePositions, name)
}

// Customer returns the customer with the name.
func (x *Index) Customer(name string) (Customer, bool) {
	return elementByName(x.doc.Customers, x.customerPositions, name)
}

// Server returns the backend server with the name.
func (x *Index) Server(name string) (BackendServer, bool) {
	return elementByName(x.doc.BackendServers, x.serverPositions, name)
}

// ServersOfService returns the backend servers of a service, in the order of the document.
func (x *Index) ServersOfService(service string) []BackendServer { return x.serversByService[service] }

// ShiftsOfRoute returns the shifts of a route, in the order of the document.
func (x *Index) ShiftsOfRoute(route string) []Shift { return x.shiftsByRoute[route] }

// RegionOfZone returns the region of an availability zone.
func (x *Index) RegionOfZone(zone string) (string, bool) {
	region, ok := x.regionByZone[zone]
	return region, ok
}

// ZonesOfRegion returns the availability zones of a region, in the order of the document.
func (x *Index) ZonesOfRegion(region string) []string { return x.zonesByRegion[region] }

// Link returns the link between two regions, whatever their order.
func (x *Index) Link(from, to string) (Link, bool) {
	link, ok := x.linkByRegionPair[sortedRegionPair(from, to)]
	return link, ok
}

// ZoneOfSite returns the availability zone of a site.
func (x *Index) ZoneOfSite(site string) (string, bool) {
	zone, ok := x.zoneBySite[site]
	return zone, ok
}

// ClientBlocks iterates over the prefixes of the client blocks and the names of their
// sites. It stops when yield returns false.
func (x *Index) ClientBlocks(yield func(netip.Prefix, string) bool) {
	for _, b := range x.doc.ClientBlocks {
		if !yield(b.Prefix, b.Site) {
			return
		}
	}
}
