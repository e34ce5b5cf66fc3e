package lookup

import "net/netip"

// Numbers of instances in the list of an answer.
const (
	// MaxAnswerInstances is the maximum length of the list. If a caller has to fail
	// over more often than this within one max-age, the failure is wider than another
	// instance could help with.
	MaxAnswerInstances = 8
	// minOwnZoneEntries and minOtherTierEntries are the minimum numbers of entries
	// for the starting zone and for each other tier (instances at the same distance
	// from that zone), if the tier has as many instances. They apply from the
	// nearest tier on until the list is full, and keep entries for other zones and
	// regions even if one zone could fill the list, so that callers survive the
	// failure of that zone.
	minOwnZoneEntries   = 4
	minOtherTierEntries = 2
)

// Prefix lengths, in bits, of the implicit blocks of IPv4 and IPv6 clients that no
// client block contains.
const (
	implicitPrefixLen4 = 24
	implicitPrefixLen6 = 48
)

// Query is a look-up of the entry instances for a client.
type Query struct {
	Client netip.Addr
	// Zone is the caller's own zone, empty if the caller does not know it. It
	// takes precedence over the zone of the client block's site.
	Zone string
}

// Location is the site, client block and starting zone that a query resolves to.
type Location struct {
	// Site is the name of the site, empty if no block contains the client.
	Site string
	// Block is the client block, or the implicit block if no block contains the
	// client.
	Block netip.Prefix
	// Zone is the starting zone: its instances come first. It is empty if neither
	// the query nor the site has a known zone and no instance is live.
	Zone string
}

// Locate returns the site, block and starting zone of the query's client. An unknown
// zone in the query is ignored. If the client has no block, or its site is in an
// unknown zone, rendezvous hashing of its block selects a zone that has live
// instances, so that such clients are spread over these zones.
func Locate(t *Table, v *MembershipView, q Query) Location {
	client := q.Client.Unmap()
	location := Location{}
	if match, ok := t.Lookup(client); ok {
		site := t.Site(match.Site)
		location = Location{Site: site.Name, Block: match.Block, Zone: site.Zone}
	} else {
		location.Block = implicitBlock(client)
	}
	if q.Zone != "" && v.HasZone(q.Zone) {
		location.Zone = q.Zone
	}
	if location.Zone == "" || !v.HasZone(location.Zone) {
		location.Zone = v.rendezvousZone(location.Block)
	}
	return location
}

// implicitBlock returns the block of a client that no client block contains, or the
// zero prefix if the address is invalid.
func implicitBlock(client netip.Addr) netip.Prefix {
	if !client.IsValid() {
		return netip.Prefix{}
	}
	length := implicitPrefixLen6
	if client.Is4() {
		length = implicitPrefixLen4
	}
	// The length fits the family, so Prefix cannot fail.
	block, _ := client.Prefix(length)
	return block
}

// rendezvousZone returns the zone with the highest rendezvous score for block among
// those that have live instances, or "" if no zone has one.
func (v *MembershipView) rendezvousZone(block netip.Prefix) string {
	blockHash := hashBlock(block)
	var best *zone
	var bestScore uint64
	for i := range v.zones {
		z := &v.zones[i]
		if !z.hasLive {
			continue
		}
		s := score(blockHash, z.hash)
		if best == nil || s > bestScore || s == bestScore && z.name < best.name {
			best, bestScore = z, s
		}
	}
	if best == nil {
		return ""
	}
	return best.name
}

// AppendInstances appends the entry instances for a location to dst in order of
// preference and returns the extended slice: instances of the starting zone, then of the
// other zones of its region, then of other regions in order of link latency. Within each
// of these tiers, instances are ordered by their rendezvous scores for the client block.
// At most MaxAnswerInstances are appended, none of them twice. It does not allocate if
// dst has the capacity.
func (v *MembershipView) AppendInstances(dst []Instance, location Location) []Instance {
	i, ok := v.zoneIndexByName[location.Zone]
	if !ok {
		return dst
	}
	z := &v.zones[i]
	blockHash := hashBlock(location.Block)
	extra := MaxAnswerInstances - z.totalMinEntries()
	remaining := MaxAnswerInstances
	for tier, instances := range z.tiers {
		if remaining == 0 {
			break
		}
		count := min(z.minEntries(tier), len(instances), remaining)
		added := min(extra, len(instances)-count)
		extra -= added
		count += added
		remaining -= count
		dst = v.appendBest(dst, instances, blockHash, count)
	}
	return dst
}

// minEntries returns the minimum number of list entries for the tier with the given
// index. The first tier is the zone's own unless the zone has no live instance.
func (z *zone) minEntries(tier int) int {
	if tier == 0 && z.hasLive {
		return minOwnZoneEntries
	}
	return minOtherTierEntries
}

// totalMinEntries returns the number of list entries that the minimums of all tiers
// fill. The other entries go to the nearest tiers.
func (z *zone) totalMinEntries() int {
	total := 0
	for tier, instances := range z.tiers {
		total += min(z.minEntries(tier), len(instances))
	}
	return min(total, MaxAnswerInstances)
}

// appendBest appends the count instances with the highest scores to dst, best first.
// The instances are given by their indexes.
func (v *MembershipView) appendBest(dst []Instance, instances []int, blockHash uint64, count int) []Instance {
	var best topScores
	for _, i := range instances {
		best.insert(i, score(blockHash, v.instanceHashes[i]), count)
	}
	for _, s := range best.scored[:best.count] {
		dst = append(dst, v.instances[s.index])
	}
	return dst
}

// topScores collects the instances with the highest scores.
type topScores struct {
	scored [MaxAnswerInstances]scoredInstance // sorted, highest score first
	count  int                                // number of entries of scored in use
}

type scoredInstance struct {
	index int // of the instance in MembershipView.instances
	score uint64
}

// insert adds an instance to the sorted list and keeps at most limit of them.
// Instances are inserted in the order of their names, so those with equal scores stay
// in that order.
func (t *topScores) insert(index int, score uint64, limit int) {
	at := t.count
	for at > 0 && t.scored[at-1].score < score {
		at--
	}
	if at >= limit {
		return
	}
	t.count = min(t.count+1, limit)
	copy(t.scored[at+1:t.count], t.scored[at:])
	t.scored[at] = scoredInstance{index: index, score: score}
}
