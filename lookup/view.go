package lookup

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthrack/jacinthrack/config"
)

// Instance is an entry instance as answers describe it to callers.
type Instance struct {
	Name string `json:"name"`
	// Address is the IP:port where the instance serves callers.
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// MemberStatus is the state of an entry instance, which decides whether answers contain
// it.
type MemberStatus int

// States of entry instances. Answers contain live ones only.
const (
	StatusLive MemberStatus = iota
	StatusDraining
	StatusDead
)

// Member is an entry instance with its status in the membership view.
type Member struct {
	Instance
	Status MemberStatus
}

// MembershipView is the set of live instances, grouped by their distance from each zone.
// It is immutable and safe for concurrent use.
type MembershipView struct {
	zones           []zone
	zoneIndexByName map[string]int // in zones
	instances       []Instance     // live instances, sorted by name
	instanceHashes  []uint64       // hash of the name of each element of instances
	instanceZones   []int          // index in zones of the zone of each element of instances
	instancesHash   uint64         // see InstancesHash
}

// zone is an availability zone with the live instances in order of their distance from
// it.
type zone struct {
	name    string
	region  string
	hash    uint64 // of the name
	hasLive bool   // whether the zone has a live instance
	// tiers are groups of indexes in MembershipView.instances: first the zone's own
	// instances, then those of the other zones of its region, then those of each
	// other region by link latency. Every live instance is in one tier. No tier is
	// empty.
	tiers [][]int
}

// NewMembershipView returns the view of the live members with the zones, regions and link
// latencies of the document. Zones that are not in the document count as a region
// without links: their instances come after those of linked regions, but still serve
// if no others are live.
func NewMembershipView(doc *config.Document, members []Member) *MembershipView {
	v := &MembershipView{zoneIndexByName: make(map[string]int)}
	for _, z := range doc.Zones {
		v.addZone(z.Name, z.Region)
	}
	for _, m := range members {
		if m.Status == StatusLive {
			v.instances = append(v.instances, m.Instance)
		}
	}
	slices.SortFunc(v.instances, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	v.instances = slices.CompactFunc(v.instances, func(a, b Instance) bool { return a.Name == b.Name })
	for _, instance := range v.instances {
		v.addZone(instance.Zone, "")
		z := v.zoneIndexByName[instance.Zone]
		v.zones[z].hasLive = true
		v.instanceZones = append(v.instanceZones, z)
		v.instanceHashes = append(v.instanceHashes, hashName(instance.Name))
	}
	latencies := newLinkLatencies(doc.Links)
	for i := range v.zones {
		v.zones[i].tiers = v.buildTiers(&v.zones[i], latencies)
	}
	v.instancesHash = v.hashInstances()
	return v
}

// addZone adds a zone unless the view has one of this name.
func (v *MembershipView) addZone(name, region string) {
	if _, exists := v.zoneIndexByName[name]; exists {
		return
	}
	v.zoneIndexByName[name] = len(v.zones)
	v.zones = append(v.zones, zone{name: name, region: region, hash: hashName(name)})
}

// tierKey identifies a tier: the instances at the same distance from a zone.
type tierKey struct {
	level int // 0: own zone, 1: other zones of the region, 2: other regions
	// latency and region are those of another region. They are zero at levels 0
	// and 1.
	latency time.Duration
	region  string
}

// compareTierKeys orders tiers from the nearest to the farthest.
func compareTierKeys(a, b tierKey) int {
	return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(a.latency, b.latency), cmp.Compare(a.region, b.region))
}

// buildTiers returns the tiers of a zone.
func (v *MembershipView) buildTiers(from *zone, latencies linkLatencies) [][]int {
	keyByZone := make([]tierKey, len(v.zones))
	for i := range v.zones {
		keyByZone[i] = latencies.keyOf(from, &v.zones[i])
	}
	keys := slices.Clone(keyByZone)
	slices.SortFunc(keys, compareTierKeys)
	keys = slices.Compact(keys)
	tierByZone := make([]int, len(v.zones))
	for i, key := range keyByZone {
		tierByZone[i], _ = slices.BinarySearchFunc(keys, key, compareTierKeys)
	}
	tiers := make([][]int, len(keys))
	for i, z := range v.instanceZones {
		tiers[tierByZone[z]] = append(tiers[tierByZone[z]], i)
	}
	return slices.DeleteFunc(tiers, func(instances []int) bool { return len(instances) == 0 })
}

// linkLatencies maps pairs of regions, from and to, to the latency of their link.
type linkLatencies map[[2]string]time.Duration

// unknownLatency is the latency between regions without a link. It sorts them after
// all others.
const unknownLatency = time.Duration(math.MaxInt64)

func newLinkLatencies(links []config.Link) linkLatencies {
	latencies := make(linkLatencies, len(links))
	for _, l := range links {
		latencies[[2]string{l.From, l.To}] = l.Latency.Std()
	}
	return latencies
}

// latency returns the latency of the link between two regions. If only the opposite
// direction is configured, that link counts.
func (m linkLatencies) latency(from, to string) time.Duration {
	if latency, ok := m[[2]string{from, to}]; ok {
		return latency
	}
	if latency, ok := m[[2]string{to, from}]; ok {
		return latency
	}
	return unknownLatency
}

// keyOf returns the key of the tier that the instances of zone to have in zone from.
func (m linkLatencies) keyOf(from, to *zone) tierKey {
	switch {
	case from.name == to.name:
		return tierKey{level: 0}
	case from.region == to.region && from.region != "":
		return tierKey{level: 1}
	default:
		return tierKey{level: 2, latency: m.latency(from.region, to.region), region: to.region}
	}
}

// hashInstances returns a hash of the live instances, which is the same in all entry
// instances with the same view.
func (v *MembershipView) hashInstances() uint64 {
	digest := xxhash.New()
	for _, instance := range v.instances {
		for _, field := range []string{instance.Name, instance.Address, instance.Zone} {
			// Writing to a Digest never fails.
			_, _ = digest.WriteString(field)
			_, _ = digest.Write([]byte{0})
		}
	}
	return digest.Sum64()
}

// InstancesHash returns a hash that identifies the set of live instances. Views of the
// same configuration with the same hash order the instances alike.
func (v *MembershipView) InstancesHash() uint64 { return v.instancesHash }

// InstanceCount returns the number of live instances.
func (v *MembershipView) InstanceCount() int { return len(v.instances) }

// HasZone reports whether the zone is in the configuration or has a live instance.
func (v *MembershipView) HasZone(name string) bool {
	_, ok := v.zoneIndexByName[name]
	return ok
}
