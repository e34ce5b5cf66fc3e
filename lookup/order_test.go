package lookup

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/jacinthrack/jacinthrack/config"
)

// testDocument returns a document with one region for each argument, which is the number
// of its zones. Zones are named like "r1z0". Each zone has a site. The latency between
// two regions is 1 ms times the difference of their numbers.
func testDocument(zoneCounts ...int) *config.Document {
	doc := &config.Document{}
	for r, count := range zoneCounts {
		region := fmt.Sprintf("r%d", r)
		doc.Regions = append(doc.Regions, config.Region{Name: region})
		for z := range count {
			doc.Zones = append(doc.Zones, config.Zone{Name: fmt.Sprintf("%sz%d", region, z), Region: region})
		}
		for other := range r {
			latency := config.Duration(time.Duration(r-other) * time.Millisecond)
			doc.Links = append(doc.Links, config.Link{From: fmt.Sprintf("r%d", other), To: region, Latency: latency})
		}
	}
	for _, z := range doc.Zones {
		doc.Sites = append(doc.Sites, config.Site{Name: "site-" + z.Name, Zone: z.Name})
	}
	return doc
}

// testMembers returns live members, perZone of them in each zone of the document.
func testMembers(doc *config.Document, perZone int) []Member {
	var members []Member
	for _, z := range doc.Zones {
		for i := range perZone {
			name := fmt.Sprintf("%s-%d", z.Name, i)
			members = append(members, Member{Instance: Instance{Name: name, Address: "127.0.0.1:1", Zone: z.Name}})
		}
	}
	return members
}

func orderedInstances(v *MembershipView, block netip.Prefix, zone string) []Instance {
	return v.AppendInstances(nil, Location{Block: block, Zone: zone})
}

// testBlock returns a different /24 block for each i below 65536.
func testBlock(i int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 0}), 24)
}

// The list must have as many live instances as exist up to the maximum, none of them
// twice, none of them draining or dead, and the nearest first.
func TestOrderedInstancesProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc := testDocument(rapid.IntRange(1, 3).Draw(t, "zones 0"), 2, 1)
		members := testMembers(doc, rapid.IntRange(0, 9).Draw(t, "per zone"))
		live := make(map[string]bool)
		for i := range members {
			members[i].Status = rapid.SampledFrom([]MemberStatus{StatusLive, StatusDraining, StatusDead}).Draw(t, "status")
			live[members[i].Name] = members[i].Status == StatusLive
		}
		view := NewMembershipView(doc, members)
		from := rapid.SampledFrom(doc.Zones).Draw(t, "zone")
		order := orderedInstances(view, testBlock(rapid.IntRange(0, 1<<16).Draw(t, "block")), from.Name)
		if len(order) != min(view.InstanceCount(), MaxAnswerInstances) {
			t.Fatalf("list has %d instances, but %d are live", len(order), view.InstanceCount())
		}
		seen := make(map[string]bool)
		distance := 0
		for _, instance := range order {
			if seen[instance.Name] || !live[instance.Name] {
				t.Fatalf("instance %s in the list is repeated or not live", instance.Name)
			}
			seen[instance.Name] = true
			d := testDistance(from, instance)
			if d < distance {
				t.Fatalf("instance %v is nearer than its predecessor in list %v", instance, order)
			}
			distance = d
		}
	})
}

// testDistance is an independent implementation of the order of tiers: own zone, own
// region, other regions by latency and then by name.
func testDistance(from config.Zone, instance Instance) int {
	if instance.Zone == from.Name {
		return 0
	}
	region := instance.Zone[:2]
	if region == from.Region {
		return 1
	}
	difference := int(from.Region[1]) - int(region[1])
	return 10*max(difference, -difference) + int(region[1]-'0')
}

// All entry instances must give the same answers, although they learn of the members in
// different order.
func TestOrderIsDeterministic(t *testing.T) {
	doc := testDocument(2, 2, 2)
	members := testMembers(doc, 3)
	rng := rand.New(rand.NewPCG(1, 1))
	want := NewMembershipView(doc, members)
	for i := range 100 {
		rng.Shuffle(len(members), func(a, b int) { members[a], members[b] = members[b], members[a] })
		view := NewMembershipView(doc, members)
		must.EqOp(t, want.InstancesHash(), view.InstancesHash())
		must.Eq(t, orderedInstances(want, testBlock(i), "r1z0"), orderedInstances(view, testBlock(i), "r1z0"))
	}
}

// When an instance leaves, only its own clients may move to another instance. The order
// of the other instances must stay the same.
func TestLeavingInstanceMovesOnlyItsBlocks(t *testing.T) {
	doc := testDocument(1)
	members := testMembers(doc, 7)
	before := NewMembershipView(doc, members)
	members[3].Status = StatusDraining
	after := NewMembershipView(doc, members)
	must.NotEqOp(t, before.InstancesHash(), after.InstancesHash())
	moved := 0
	for i := range 2000 {
		listBefore, listAfter := orderedInstances(before, testBlock(i), "r0z0"), orderedInstances(after, testBlock(i), "r0z0")
		remaining := slices.DeleteFunc(slices.Clone(listBefore), func(i Instance) bool { return i.Name == members[3].Name })
		must.Eq(t, remaining, listAfter)
		if listBefore[0] != listAfter[0] {
			moved++
		}
	}
	must.Positive(t, moved)
}

// Even if one zone has enough instances to fill the list, the list must contain instances
// of other zones and regions, so that callers survive the failure of that zone.
func TestOrderIncludesOtherZonesAndRegions(t *testing.T) {
	doc := testDocument(3, 3, 3)
	order := orderedInstances(NewMembershipView(doc, testMembers(doc, 17)), testBlock(1), "r1z1")
	must.Len(t, MaxAnswerInstances, order)
	zones := make(map[string]bool)
	regions := make(map[string]bool)
	for _, instance := range order {
		zones[instance.Zone] = true
		regions[instance.Zone[:2]] = true
	}
	must.GreaterEq(t, 3, len(zones))
	must.EqOp(t, 2, len(regions))
}

// Clients whose block, site or zone is unknown must get an answer too, and must be spread
// over all zones.
func TestLocateZone(t *testing.T) {
	doc := testDocument(2, 2)
	doc.Sites = append(doc.Sites, config.Site{Name: "site-unknown-zone", Zone: "removed"})
	doc.ClientBlocks = []config.ClientBlock{
		{Prefix: netip.MustParsePrefix("10.0.0.0/8"), Site: "site-r1z1"},
		{Prefix: netip.MustParsePrefix("11.0.0.0/8"), Site: "site-unknown-zone"},
	}
	table, err := NewTableFromDocument(doc)
	must.NoError(t, err)
	members := testMembers(doc, 1)
	members[0].Zone = "unconfigured"
	view := NewMembershipView(doc, members)
	cases := []struct {
		name, client, zone string
		wantSite, wantZone string
		anyZone            bool
	}{
		{"block", "10.1.1.1", "", "site-r1z1", "r1z1", false},
		{"zone of the query takes precedence", "10.1.1.1", "r0z1", "site-r1z1", "r0z1", false},
		{"unknown zone in the query", "10.1.1.1", "nowhere", "site-r1z1", "r1z1", false},
		{"site in an unknown zone", "11.1.1.1", "", "site-unknown-zone", "", true},
		{"no block", "2001:db8::1", "", "", "", true},
	}
	for _, tc := range cases {
		location := Locate(table, view, Query{Client: netip.MustParseAddr(tc.client), Zone: tc.zone})
		must.EqOp(t, tc.wantSite, location.Site, must.Sprint(tc.name))
		if !tc.anyZone {
			must.EqOp(t, tc.wantZone, location.Zone, must.Sprint(tc.name))
		}
		must.Len(t, 4, view.AppendInstances(nil, location), must.Sprint(tc.name))
	}
	zones := make(map[string]int)
	for i := range 1000 {
		client := netip.AddrFrom4([4]byte{172, 16, byte(i >> 2), byte(i << 6)})
		zones[Locate(table, view, Query{Client: client}).Zone]++
	}
	must.MapLen(t, 4, zones)
}

// Ordering the instances of an answer must not allocate memory.
func TestAppendInstancesDoesNotAllocate(t *testing.T) {
	doc := testDocument(3, 3, 3)
	view := NewMembershipView(doc, testMembers(doc, 17))
	dst := make([]Instance, 0, MaxAnswerInstances)
	must.Zero(t, testing.AllocsPerRun(100, func() { appendInstances(dst, view) }))
}

func appendInstances(dst []Instance, v *MembershipView) {
	v.AppendInstances(dst, Location{Block: testBlock(1), Zone: "r0z0"})
}
