package config

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/jacinthrack/jacinthrack/selector"
)

// allowedMethods are the HTTP methods that a route may forward. CONNECT and
// TRACE make no sense through a forwarding instance.
var allowedMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func (v *validator) checkRoutes() {
	for i, r := range v.doc.Routes {
		p := root.at("routes").item(i)
		if v.reference(p.at("service"), r.Service, v.services, "services") {
			v.matches(p.at("selector"), r.Service, r.Selector)
		}
		v.labels(p.at("labels"), r.Labels)
		v.methods(p.at("methods"), r.Methods)
		v.access(p, r)
		v.duration(p.at("deadline"), r.Deadline, minDeadline, maxDeadline)
		v.whole(p.at("max_body_bytes"), r.MaxBodyBytes, 0, maxBodyBytesLimit)
	}
}

func (v *validator) methods(p *path, methods []string) {
	if len(methods) == 0 {
		v.add(p, "[]", "at least one method")
	}
	for i, m := range methods {
		if !slices.Contains(allowedMethods, m) {
			v.add(p.item(i), m, "one of "+strings.Join(allowedMethods, ", "))
		} else if slices.Contains(methods[:i], m) {
			v.add(p.item(i), m, "each method once")
		}
	}
}

func (v *validator) access(p *path, r Route) {
	if r.Access != AccessKeyed && r.Access != AccessOpen {
		v.add(p.at("access"), r.Access, `"keyed" or "open"`)
	}
	if r.KeyStaleness == 0 {
		return
	}
	if r.Access == AccessOpen {
		v.add(p.at("key_staleness"), r.KeyStaleness.Std(), "nothing on an open route")
		return
	}
	v.duration(p.at("key_staleness"), r.KeyStaleness, minKeyStaleness, maxKeyStaleness)
}

// matches checks that a selector matches a backend server of the service. A
// mistyped label would otherwise leave a route without servers.
func (v *validator) matches(p *path, service string, s selector.Selector) {
	for _, i := range v.byService[service] {
		if s.Matches(v.doc.BackendServers[i].Labels) {
			return
		}
	}
	v.add(p, s.String(), fmt.Sprintf("a selector that matches a backend server of service %s", service))
}

func (v *validator) checkShifts() {
	services := make(map[string]string, len(v.doc.Routes))
	for _, r := range v.doc.Routes {
		services[r.Name] = r.Service
	}
	for i, s := range v.doc.Shifts {
		p := root.at("shifts").item(i)
		if v.reference(p.at("route"), s.Route, v.routes, "routes") && v.services[services[s.Route]] {
			v.matches(p.at("from"), services[s.Route], s.From)
			v.matches(p.at("to"), services[s.Route], s.To)
		}
		v.number(p.at("fraction"), s.Fraction, 0, 1)
		v.number(p.at("cap_per_second"), s.CapPerSecond, 0, maxRatePerSecond)
	}
}

func (v *validator) checkSites() {
	for i, s := range v.doc.Sites {
		v.reference(root.at("sites").item(i).at("zone"), s.Zone, v.zones, "zones")
	}
}

func (v *validator) checkClientBlocks() {
	list := root.at("client_blocks")
	order := make([]int, 0, len(v.doc.ClientBlocks))
	for i, b := range v.doc.ClientBlocks {
		if !v.sites[b.Site] {
			v.reference(list.item(i).at("site"), b.Site, v.sites, "sites")
		}
		if v.prefix(list, i, b.Prefix) {
			order = append(order, i)
		}
	}
	v.duplicates(list, order)
}

// prefix checks the form of one block.
func (v *validator) prefix(list *path, i int, prefix netip.Prefix) bool {
	if prefix.IsValid() && prefix == prefix.Masked() && !prefix.Addr().Is4In6() {
		return true
	}
	v.add(list.item(i).at("prefix"), prefix, `an address block without host bits, such as "10.1.0.0/24"`)
	return false
}

// duplicates reports blocks that are listed twice. A block may lie within another
// one: look-ups take the longest prefix.
func (v *validator) duplicates(list *path, order []int) {
	blocks := v.doc.ClientBlocks
	slices.SortStableFunc(order, func(a, b int) int {
		return comparePrefixes(blocks[a].Prefix, blocks[b].Prefix)
	})
	for n := 1; n < len(order); n++ {
		first, second := order[n-1], order[n]
		if blocks[first].Prefix != blocks[second].Prefix {
			continue
		}
		allowed := fmt.Sprintf("a block other than the one at %s", list.item(first))
		v.add(list.item(second).at("prefix"), blocks[second].Prefix, allowed)
	}
}

// comparePrefixes orders blocks by address, then by length.
func comparePrefixes(a, b netip.Prefix) int {
	if c := a.Addr().Compare(b.Addr()); c != 0 {
		return c
	}
	return a.Bits() - b.Bits()
}
