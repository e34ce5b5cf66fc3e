package config

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/jacinthrack/jacinthrack/selector"
)

// allowedMethods are the HTTP methods that a route may forward. CONNECT and TRACE are
// excluded, since they are not useful through a reverse proxy.
var allowedMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func (v *validator) checkRoutes() {
	for i, r := range v.doc.Routes {
		p := rootPath.field("routes").element(i)
		if v.checkReference(p.field("service"), r.Service, v.serviceNames, "services") {
			v.checkSelectorMatches(p.field("selector"), r.Service, r.Selector)
		}
		v.checkLabels(p.field("labels"), r.Labels)
		v.checkMethods(p.field("methods"), r.Methods)
		v.checkAccess(p, r)
		v.checkDuration(p.field("deadline"), r.Deadline, minDeadline, maxDeadline)
		v.checkInteger(p.field("max_body_bytes"), r.MaxBodyBytes, 0, maxBodyBytesLimit)
	}
}

func (v *validator) checkMethods(p *path, methods []string) {
	if len(methods) == 0 {
		v.add(p, "[]", "at least one method")
	}
	for i, m := range methods {
		if !slices.Contains(allowedMethods, m) {
			v.add(p.element(i), m, "one of "+strings.Join(allowedMethods, ", "))
		} else if slices.Contains(methods[:i], m) {
			v.add(p.element(i), m, "each method once")
		}
	}
}

// checkAccess checks the access type of a route and the staleness bound of its key
// data, which only a keyed route may have.
func (v *validator) checkAccess(p *path, r Route) {
	if r.Access != AccessKeyed && r.Access != AccessOpen {
		v.add(p.field("access"), r.Access, `"keyed" or "open"`)
	}
	if r.KeyStaleness == 0 {
		return
	}
	if r.Access == AccessOpen {
		v.add(p.field("key_staleness"), r.KeyStaleness.Std(), "nothing on an open route")
		return
	}
	v.checkDuration(p.field("key_staleness"), r.KeyStaleness, minKeyStaleness, maxKeyStaleness)
}

// checkSelectorMatches checks that a selector matches at least one backend server of
// the service. Otherwise a mistyped label would leave a route without servers.
func (v *validator) checkSelectorMatches(p *path, service string, s selector.Selector) {
	for _, i := range v.serverPositionsByService[service] {
		if s.Matches(v.doc.BackendServers[i].Labels) {
			return
		}
	}
	v.add(p, s.String(), fmt.Sprintf("a selector that matches a backend server of service %s", service))
}

func (v *validator) checkShifts() {
	serviceByRoute := make(map[string]string, len(v.doc.Routes))
	for _, r := range v.doc.Routes {
		serviceByRoute[r.Name] = r.Service
	}
	for i, s := range v.doc.Shifts {
		p := rootPath.field("shifts").element(i)
		if v.checkReference(p.field("route"), s.Route, v.routeNames, "routes") && v.serviceNames[serviceByRoute[s.Route]] {
			v.checkSelectorMatches(p.field("from"), serviceByRoute[s.Route], s.From)
			v.checkSelectorMatches(p.field("to"), serviceByRoute[s.Route], s.To)
		}
		v.checkNumber(p.field("fraction"), s.Fraction, 0, 1)
		v.checkNumber(p.field("cap_per_second"), s.CapPerSecond, 0, maxRatePerSecond)
	}
}

func (v *validator) checkSites() {
	for i, s := range v.doc.Sites {
		v.checkReference(rootPath.field("sites").element(i).field("zone"), s.Zone, v.zoneNames, "zones")
	}
}

func (v *validator) checkClientBlocks() {
	list := rootPath.field("client_blocks")
	positions := make([]int, 0, len(v.doc.ClientBlocks))
	for i, b := range v.doc.ClientBlocks {
		if !v.siteNames[b.Site] {
			v.checkReference(list.element(i).field("site"), b.Site, v.siteNames, "sites")
		}
		if v.checkPrefix(list, i, b.Prefix) {
			positions = append(positions, i)
		}
	}
	v.checkDuplicateBlocks(list, positions)
}

// checkPrefix checks that the prefix of the client block at position i of list has no
// host bits and is not an IPv4-mapped IPv6 address.
func (v *validator) checkPrefix(list *path, i int, prefix netip.Prefix) bool {
	if prefix.IsValid() && prefix == prefix.Masked() && !prefix.Addr().Is4In6() {
		return true
	}
	v.add(list.element(i).field("prefix"), prefix, `an address block without host bits, such as "10.1.0.0/24"`)
	return false
}

// checkDuplicateBlocks reports client blocks that are listed more than once. positions
// are those of the blocks with a valid prefix. A block may be nested in another one:
// look-ups use the longest matching prefix.
func (v *validator) checkDuplicateBlocks(list *path, positions []int) {
	blocks := v.doc.ClientBlocks
	slices.SortStableFunc(positions, func(a, b int) int {
		return comparePrefixes(blocks[a].Prefix, blocks[b].Prefix)
	})
	for n := 1; n < len(positions); n++ {
		first, second := positions[n-1], positions[n]
		if blocks[first].Prefix != blocks[second].Prefix {
			continue
		}
		allowed := fmt.Sprintf("a block other than the one at %s", list.element(first))
		v.add(list.element(second).field("prefix"), blocks[second].Prefix, allowed)
	}
}

// comparePrefixes orders prefixes by address, then by length.
func comparePrefixes(a, b netip.Prefix) int {
	if c := a.Addr().Compare(b.Addr()); c != 0 {
		return c
	}
	return a.Bits() - b.Bits()
}
