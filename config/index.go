package config

import "net/netip"

// Index answers the questions that the request path asks of a document. It is
// immutable and safe for concurrent use. Values that it returns share their
// maps and lists with the index and must not be modified.
type Index struct {
	doc       *Document
	routes    map[string]int
	services  map[string]int
	customers map[string]int
	servers   map[string]int
	byService map[string][]BackendServer
	zones     map[string]string   // zone to region
	regions   map[string][]string // region to zones, in the order of the document
	links     map[[2]string]Link
	sites     map[string]string // site to zone
	shifts    map[string][]Shift
}

// NewIndex returns the index of a valid document, which must not change later.
func NewIndex(doc *Document) *Index {
	x := &Index{
		doc:       doc,
		routes:    positions(doc.Routes, func(r Route) string { return r.Name }),
		services:  positions(doc.Services, func(s Service) string { return s.Name }),
		customers: positions(doc.Customers, func(c Customer) string { return c.Name }),
		servers:   positions(doc.BackendServers, func(s BackendServer) string { return s.Name }),
	}
	x.byService = group(doc.BackendServers, func(s BackendServer) string { return s.Service })
	x.shifts = group(doc.Shifts, func(s Shift) string { return s.Route })
	x.indexTopology()
	return x
}

func (x *Index) indexTopology() {
	x.zones = make(map[string]string, len(x.doc.Zones))
	x.regions = make(map[string][]string, len(x.doc.Regions))
	x.links = make(map[[2]string]Link, len(x.doc.Links))
	x.sites = make(map[string]string, len(x.doc.Sites))
	for _, z := range x.doc.Zones {
		x.zones[z.Name] = z.Region
		x.regions[z.Region] = append(x.regions[z.Region], z.Name)
	}
	for _, l := range x.doc.Links {
		x.links[linkPair(l.From, l.To)] = l
	}
	for _, s := range x.doc.Sites {
		x.sites[s.Name] = s.Zone
	}
}

func positions[T any](list []T, name func(T) string) map[string]int {
	found := make(map[string]int, len(list))
	for i, element := range list {
		found[name(element)] = i
	}
	return found
}

func group[T any](list []T, name func(T) string) map[string][]T {
	found := make(map[string][]T)
	for _, element := range list {
		found[name(element)] = append(found[name(element)], element)
	}
	return found
}

// element returns the element of list that is at the position of name.
func element[T any](list []T, at map[string]int, name string) (T, bool) {
	i, ok := at[name]
	if !ok {
		var none T
		return none, false
	}
	return list[i], true
}

// Document returns the indexed document. It must not be modified.
func (x *Index) Document() *Document { return x.doc }

// Route returns the route with the name.
func (x *Index) Route(name string) (Route, bool) { return element(x.doc.Routes, x.routes, name) }

// Service returns the service with the name.
func (x *Index) Service(name string) (Service, bool) {
	return element(x.doc.Services, x.services, name)
}

// Customer returns the customer with the name.
func (x *Index) Customer(name string) (Customer, bool) {
	return element(x.doc.Customers, x.customers, name)
}

// Server returns the backend server with the name.
func (x *Index) Server(name string) (BackendServer, bool) {
	return element(x.doc.BackendServers, x.servers, name)
}

// ServersOfService returns the backend servers of a service, in the order of the document.
func (x *Index) ServersOfService(service string) []BackendServer { return x.byService[service] }

// ShiftsOfRoute returns the shifts of a route, in the order of the document.
func (x *Index) ShiftsOfRoute(route string) []Shift { return x.shifts[route] }

// RegionOfZone returns the region of an availability zone.
func (x *Index) RegionOfZone(zone string) (string, bool) {
	region, ok := x.zones[zone]
	return region, ok
}

// ZonesOfRegion returns the availability zones of a region, in the order of the document.
func (x *Index) ZonesOfRegion(region string) []string { return x.regions[region] }

// Link returns the link between two regions, in either direction.
func (x *Index) Link(from, to string) (Link, bool) {
	link, ok := x.links[linkPair(from, to)]
	return link, ok
}

// ZoneOfSite returns the availability zone of a site.
func (x *Index) ZoneOfSite(site string) (string, bool) {
	zone, ok := x.sites[site]
	return zone, ok
}

// ClientBlocks calls yield for each client block and its site until yield returns
// false.
func (x *Index) ClientBlocks(yield func(netip.Prefix, string) bool) {
	for _, b := range x.doc.ClientBlocks {
		if !yield(b.Prefix, b.Site) {
			return
		}
	}
}
