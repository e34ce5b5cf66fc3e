package lookup

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthrack/jacinthrack/config"
)

// Instance is an entry instance as a caller sees it.
type Instance struct {
	Name string `json:"name"`
	// Address is the IP:port that serves callers.
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// MemberStatus says whether an entry instance takes new callers.
type MemberStatus int

// Statuses. Only live instances are in answers.
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

// MembershipView is the membership as the order of instances needs it: the live instances,
// grouped by their distance from each zone. It is immutable and safe for
// concurrent use.
type MembershipView struct {
	zones      []zone
	zoneByName map[string]int
	instances  []Instance // live ones, by name
	hashes     []uint64   // of the names of instances
	zoneOf     []int      // positions of the zones of instances
	version    uint64
}

// zone is an availability zone with the live instances in order of distance.
type zone struct {
	name   string
	region string
	hash   uint64
	live   bool // has a live instance
	// tiers holds positions of instances: first the zone's own, then those of
	// the other zones of its region, then those of each other region. Every
	// live instance is in one tier.
	tiers [][]int
}

// NewMembershipView groups the live members by the zones, regions and link latencies of the
// document. Members in a zone that the document does not have count as a far
// region: they still serve when nothing else does.
func NewMembershipView(doc *config.Document, members []Member) *MembershipView {
	v := &MembershipView{zoneByName: make(map[string]int)}
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
		z := v.zoneByName[instance.Zone]
		v.zones[z].live = true
		v.zoneOf = append(v.zoneOf, z)
		v.hashes = append(v.hashes, hashName(instance.Name))
	}
	distances := newDistances(doc.Links)
	for i := range v.zones {
		v.zones[i].tiers = v.tiersOf(&v.zones[i], distances)
	}
	v.version = v.hashVersion()
	return v
}

func (v *MembershipView) addZone(name, region string) {
	if _, known := v.zoneByName[name]; known {
		return
	}
	v.zoneByName[name] = len(v.zones)
	v.zones = append(v.zones, zone{name: name, region: region, hash: hashName(name)})
}

// tier names a group of instances at the same distance.
type tier struct {
	class   int // 0 own zone, 1 own region, 2 other regions
	latency time.Duration
	region  string
}

func compareTiers(a, b tier) int {
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.latency, b.latency), cmp.Compare(a.region, b.region))
}

func (v *MembershipView) tiersOf(from *zone, d distances) [][]int {
	byZone := make([]tier, len(v.zones))
	for i := range v.zones {
		byZone[i] = d.tier(from, &v.zones[i])
	}
	order := slices.Clone(byZone)
	slices.SortFunc(order, compareTiers)
	order = slices.Compact(order)
	place := make([]int, len(v.zones))
	for i, t := range byZone {
		place[i], _ = slices.BinarySearchFunc(order, t, compareTiers)
	}
	tiers := make([][]int, len(order))
	for i, z := range v.zoneOf {
		tiers[place[z]] = append(tiers[place[z]], i)
	}
	return slices.DeleteFunc(tiers, func(members []int) bool { return len(members) == 0 })
}

// distances holds the latency between regions.
type distances map[[2]string]time.Duration

// unknownLatency sorts regions without a link after all others.
const unknownLatency = time.Duration(math.MaxInt64)

func newDistances(links []config.Link) distances {
	d := make(distances, len(links))
	for _, l := range links {
		d[[2]string{l.From, l.To}] = l.Latency.Std()
	}
	return d
}

// latency returns that of the link, or of the link in the other direction if
// only that one is configured.
func (d distances) latency(from, to string) time.Duration {
	if l, ok := d[[2]string{from, to}]; ok {
		return l
	}
	if l, ok := d[[2]string{to, from}]; ok {
		return l
	}
	return unknownLatency
}

func (d distances) tier(from, to *zone) tier {
	switch {
	case from.name == to.name:
		return tier{class: 0}
	case from.region == to.region && from.region != "":
		return tier{class: 1}
	default:
		return tier{class: 2, latency: d.latency(from.region, to.region), region: to.region}
	}
}

// hashVersion returns a hash of the live instances, which is the
// same in all entry instances with the same view.
func (v *MembershipView) hashVersion() uint64 {
	digest := xxhash.New()
	for _, instance := range v.instances {
		for _, field := range []string{instance.Name, instance.Address, instance.Zone} {
			// Digest.Write never fails.
			_, _ = digest.WriteString(field)
			_, _ = digest.Write([]byte{0})
		}
	}
	return digest.Sum64()
}

// InstancesHash identifies the set of live instances. Views with the same configuration
// and the same version give the same orders.
func (v *MembershipView) InstancesHash() uint64 { return v.version }

// InstanceCount returns the number of live instances.
func (v *MembershipView) InstanceCount() int { return len(v.instances) }

// HasZone reports whether the zone is in the configuration or has an instance.
func (v *MembershipView) HasZone(name string) bool {
	_, ok := v.zoneByName[name]
	return ok
}
