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

// testDocument has a region for each count, whose zones are named like "r1z0" and
// whose distance from region 0 rises with the number.
func testDocument(zones ...int) *config.Document {
	doc := &config.Document{}
	for r, count := range zones {
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

func orderOf(v *MembershipView, block netip.Prefix, zone string) []Instance {
	return v.AppendInstances(nil, Location{Block: block, Zone: zone})
}

func testBlock(i int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 0}), 24)
}

// Guards against lists that start far away, repeat an instance, exceed the bound,
// contain a draining or dead instance, or leave out the only usable one.
func TestOrderProperties(t *testing.T) {
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
		order := orderOf(view, testBlock(rapid.IntRange(0, 1<<16).Draw(t, "block")), from.Name)
		if len(order) != min(view.InstanceCount(), MaxAnswerInstances) {
			t.Fatalf("list of %d with %d live instances", len(order), view.InstanceCount())
		}
		seen := make(map[string]bool)
		distance := 0
		for _, instance := range order {
			if seen[instance.Name] || !live[instance.Name] {
				t.Fatalf("%s is repeated or not live", instance.Name)
			}
			seen[instance.Name] = true
			d := testDistance(from, instance)
			if d < distance {
				t.Fatalf("%v is nearer than its predecessor in %v", instance, order)
			}
			distance = d
		}
	})
}

// testDistance restates the order of groups: own zone, own region, other regions
// by latency and then by name.
func testDistance(from config.Zone, instance Instance) int {
	if instance.Zone == from.Name {
		return 0
	}
	region := instance.Zone[:2]
	if region == from.Region {
		return 1
	}
	apart := int(from.Region[1]) - int(region[1])
	return 10*max(apart, -apart) + int(region[1]-'0')
}

// Guards against answers that depend on which entry instance gives them: views
// differ in the order in which members became known.
func TestOrderIsDeterministic(t *testing.T) {
	doc := testDocument(2, 2, 2)
	members := testMembers(doc, 3)
	rng := rand.New(rand.NewPCG(1, 1))
	want := NewMembershipView(doc, members)
	for i := range 100 {
		rng.Shuffle(len(members), func(a, b int) { members[a], members[b] = members[b], members[a] })
		view := NewMembershipView(doc, members)
		must.EqOp(t, want.InstancesHash(), view.InstancesHash())
		must.Eq(t, orderOf(want, testBlock(i), "r1z0"), orderOf(view, testBlock(i), "r1z0"))
	}
}

// Guards against an instance that leaves and moves clients between the instances
// that stay.
func TestLeavingInstanceMovesOnlyItsBlocks(t *testing.T) {
	doc := testDocument(1)
	members := testMembers(doc, 7)
	before := NewMembershipView(doc, members)
	members[3].Status = StatusDraining
	after := NewMembershipView(doc, members)
	must.NotEqOp(t, before.InstancesHash(), after.InstancesHash())
	moved := 0
	for i := range 2000 {
		was, is := orderOf(before, testBlock(i), "r0z0"), orderOf(after, testBlock(i), "r0z0")
		without := slices.DeleteFunc(slices.Clone(was), func(i Instance) bool { return i.Name == members[3].Name })
		must.Eq(t, without, is)
		if was[0] != is[0] {
			moved++
		}
	}
	must.Positive(t, moved)
}

// Guards against lists that a single zone fills: a caller could then not survive
// the failure of that zone.
func TestOrderLeavesPlacesForOtherZones(t *testing.T) {
	doc := testDocument(3, 3, 3)
	order := orderOf(NewMembershipView(doc, testMembers(doc, 17)), testBlock(1), "r1z1")
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

// Guards against clients that get no answer because their block, site or zone is
// unknown, and against all of them meeting in one zone.
func TestLocate(t *testing.T) {
	doc := testDocument(2, 2)
	doc.Sites = append(doc.Sites, config.Site{Name: "lost", Zone: "removed"})
	doc.ClientBlocks = []config.ClientBlock{
		{Prefix: netip.MustParsePrefix("10.0.0.0/8"), Site: "site-r1z1"},
		{Prefix: netip.MustParsePrefix("11.0.0.0/8"), Site: "lost"},
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
		{"zone first", "10.1.1.1", "r0z1", "site-r1z1", "r0z1", false},
		{"unknown zone", "10.1.1.1", "nowhere", "site-r1z1", "r1z1", false},
		{"site in an unknown zone", "11.1.1.1", "", "lost", "", true},
		{"no block", "2001:db8::1", "", "", "", true},
	}
	for _, tc := range cases {
		place := Locate(table, view, Query{Client: netip.MustParseAddr(tc.client), Zone: tc.zone})
		must.EqOp(t, tc.wantSite, place.Site, must.Sprint(tc.name))
		if !tc.anyZone {
			must.EqOp(t, tc.wantZone, place.Zone, must.Sprint(tc.name))
		}
		must.Len(t, 4, view.AppendInstances(nil, place), must.Sprint(tc.name))
	}
	zones := make(map[string]int)
	for i := range 1000 {
		client := netip.AddrFrom4([4]byte{172, 16, byte(i >> 2), byte(i << 6)})
		zones[Locate(table, view, Query{Client: client}).Zone]++
	}
	must.MapLen(t, 4, zones)
}

// Guards against allocations for each answer in the ordering itself.
func TestOrderDoesNotAllocate(t *testing.T) {
	doc := testDocument(3, 3, 3)
	view := NewMembershipView(doc, testMembers(doc, 17))
	dst := make([]Instance, 0, MaxAnswerInstances)
	must.Zero(t, testing.AllocsPerRun(100, func() { orderInto(dst, view) }))
}

func orderInto(dst []Instance, v *MembershipView) { v.AppendInstances(dst, Location{Block: testBlock(1), Zone: "r0z0"}) }
