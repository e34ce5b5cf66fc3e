package lookup

import "net/netip"

// Bounds of an ordered list.
const (
	// MaxAnswerInstances bounds the list. A caller that fails over more often than
	// this within one max-age finds a wider failure.
	MaxAnswerInstances = 8
	// zoneQuota and tierQuota leave places for other zones and regions when a
	// zone alone could fill the list, so that callers survive its failure.
	zoneQuota = 4
	tierQuota = 2
)

// Implicit block lengths for clients that no block contains.
const (
	implicitBits4 = 24
	implicitBits6 = 48
)

// Query asks for the entry instances of a client.
type Query struct {
	Client netip.Addr
	// Zone is the caller's own zone, if it knows it. It takes precedence over
	// the site of the client block.
	Zone string
}

// Location is where a query steers the client, and why.
type Location struct {
	// Site is the name of the site, empty if no block contains the client.
	Site string
	// Block is the client block or, without one, the implicit block.
	Block netip.Prefix
	// Zone is the zone that the order starts from, empty if none is known.
	Zone string
}

// Locate returns the place of the query's client. An unknown zone in the query is
// ignored. A client without a block, or whose site is in an unknown zone, is
// spread over the zones that have live instances by its implicit block.
func Locate(t *Table, v *MembershipView, q Query) Location {
	client := q.Client.Unmap()
	place := Location{}
	if match, ok := t.Lookup(client); ok {
		site := t.Site(match.Site)
		place = Location{Site: site.Name, Block: match.Block, Zone: site.Zone}
	} else {
		place.Block = implicitBlock(client)
	}
	if q.Zone != "" && v.HasZone(q.Zone) {
		place.Zone = q.Zone
	}
	if place.Zone == "" || !v.HasZone(place.Zone) {
		place.Zone = v.homeZone(place.Block)
	}
	return place
}

func implicitBlock(client netip.Addr) netip.Prefix {
	if !client.IsValid() {
		return netip.Prefix{}
	}
	length := implicitBits6
	if client.Is4() {
		length = implicitBits4
	}
	// The length fits the family, so Prefix cannot fail.
	block, _ := client.Prefix(length)
	return block
}

// homeZone returns the zone with the highest rendezvous score among those that
// have live instances, or "".
func (v *MembershipView) homeZone(block netip.Prefix) string {
	h := hashBlock(block)
	var best *zone
	var bestScore uint64
	for i := range v.zones {
		z := &v.zones[i]
		if !z.live {
			continue
		}
		s := score(h, z.hash)
		if best == nil || s > bestScore || s == bestScore && z.name < best.name {
			best, bestScore = z, s
		}
	}
	if best == nil {
		return ""
	}
	return best.name
}

// AppendInstances appends the entry instances for a place to dst, best first, and returns
// it: those of the zone, then those of the other zones of its region, then those
// of other regions in order of link latency. Within each group the order is that
// of rendezvous hashing of the client block. At most MaxAnswerInstances are appended,
// none of them twice. It does not allocate if dst has room.
func (v *MembershipView) AppendInstances(dst []Instance, place Location) []Instance {
	i, ok := v.zoneByName[place.Zone]
	if !ok {
		return dst
	}
	z := &v.zones[i]
	h := hashBlock(place.Block)
	extra := MaxAnswerInstances - z.quotaUsed()
	room := MaxAnswerInstances
	for n, members := range z.tiers {
		if room == 0 {
			break
		}
		take := min(z.quota(n), len(members), room)
		more := min(extra, len(members)-take)
		extra -= more
		take += more
		room -= take
		dst = v.appendBest(dst, members, h, take)
	}
	return dst
}

func (z *zone) quota(tier int) int {
	if tier == 0 && z.live {
		return zoneQuota
	}
	return tierQuota
}

// quotaUsed returns the places that the quotas fill. The places left go to the
// nearest groups.
func (z *zone) quotaUsed() int {
	used := 0
	for n, members := range z.tiers {
		used += min(z.quota(n), len(members))
	}
	return min(used, MaxAnswerInstances)
}

// appendBest appends the count members with the highest scores.
func (v *MembershipView) appendBest(dst []Instance, members []int, block uint64, count int) []Instance {
	var best ranking
	for _, i := range members {
		best.add(i, score(block, v.hashes[i]), count)
	}
	for _, r := range best.ranks[:best.n] {
		dst = append(dst, v.instances[r.instance])
	}
	return dst
}

// ranking holds the best instances seen, best first.
type ranking struct {
	ranks [MaxAnswerInstances]rank
	n     int
}

type rank struct {
	instance int
	score    uint64
}

// add inserts an instance and keeps at most count of them. Instances come in the
// order of their names, so equal scores keep that order.
func (r *ranking) add(instance int, score uint64, count int) {
	at := r.n
	for at > 0 && r.ranks[at-1].score < score {
		at--
	}
	if at >= count {
		return
	}
	r.n = min(r.n+1, count)
	copy(r.ranks[at+1:r.n], r.ranks[at:])
	r.ranks[at] = rank{instance: instance, score: score}
}
