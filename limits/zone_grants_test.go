package limits

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// grantInTransit is a grant that was sent to a member and has not arrived.
type grantInTransit struct {
	to          *ZoneMember
	grant       ShareGrant
	requestedAt time.Time
}

// Checks that the members of a zone together use at most the zone's share when grants are
// late, lost or out of order, members pause or restart, and the zone's share shrinks or ends.
func TestZoneMembersStayWithinZoneShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := startTime
		zone := NewZoneGrants(DefaultPolicy())
		var members []*ZoneMember
		started := 0
		startMember := func() *ZoneMember {
			started++
			return NewZoneMember(fmt.Sprint(started), now)
		}
		for range rapid.IntRange(2, 4).Draw(t, "members") {
			members = append(members, startMember())
		}
		var inTransit []grantInTransit
		pick := func(t *rapid.T) *ZoneMember { return rapid.SampledFrom(members).Draw(t, "member") }
		requestShare := func(m *ZoneMember) grantInTransit {
			m.demand.add(float64(rapid.SampledFrom([]int{0, 0, 10, 500}).Draw(t, "offered")))
			return grantInTransit{to: m, grant: zone.Grant(m.NextRequest("keeper", now), now), requestedAt: now}
		}
		drawShare := func(t *rapid.T, name string) Share {
			burst := rapid.SampledFrom([]float64{0, 2, 10, 40}).Draw(t, name)
			return NewShare(burst, burst)
		}
		deliver := func(t *rapid.T, arrives bool) {
			if len(inTransit) == 0 {
				t.Skip("no grant in transit")
			}
			i := rapid.IntRange(0, len(inTransit)-1).Draw(t, "grant")
			if arrives {
				inTransit[i].to.ApplyGrant("keeper", inTransit[i].grant, inTransit[i].requestedAt, now)
			}
			inTransit = append(inTransit[:i], inTransit[i+1:]...)
		}
		t.Repeat(map[string]func(*rapid.T){
			"exchange request and grant": func(t *rapid.T) {
				sent := requestShare(pick(t))
				sent.to.ApplyGrant("keeper", sent.grant, sent.requestedAt, now)
			},
			"rounds of requests": func(t *rapid.T) {
				paused := pick(t)
				for range rapid.IntRange(1, 14).Draw(t, "rounds") {
					now = now.Add(time.Second)
					for _, m := range members {
						if sent := requestShare(m); m != paused {
							m.ApplyGrant("keeper", sent.grant, sent.requestedAt, now)
						}
					}
				}
			},
			"ask for share": func(t *rapid.T) { inTransit = append(inTransit, requestShare(pick(t))) },
			"deliver grant": func(t *rapid.T) { deliver(t, true) },
			"lose grant":    func(t *rapid.T) { deliver(t, false) },
			"pause":         func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(1, 13).Draw(t, "s")) * time.Second) },
			"restart":       func(t *rapid.T) { members[rapid.IntRange(0, len(members)-1).Draw(t, "restarted")] = startMember() },
			"set share": func(t *rapid.T) {
				zone.SetShare(drawShare(t, "floor"), drawShare(t, "lease"), now.Add(time.Hour), now.Add(10*time.Second), now)
			},
			"": func(t *rapid.T) {
				var sum Share
				for _, m := range members {
					sum = sum.Plus(m.ActiveShare(now))
				}
				outstanding := zone.Outstanding(now)
				if !sum.Within(outstanding) || !outstanding.Within(zone.floor.Plus(zone.lease)) {
					t.Fatalf("members use %+v, outstanding grants sum to %+v, the zone has floor %+v and lease %+v", sum, outstanding, zone.floor, zone.lease)
				}
			},
		})
	})
}

// Checks that grants follow demand: the only busy one of 17 members gets all of the zone's share
// but the smallest floors (at least 190 of 200 requests per second), and gets a share again after a
// pause longer than its grant.
func TestZoneGrantsFollowDemand(t *testing.T) {
	now := startTime
	zone := NewZoneGrants(DefaultPolicy())
	must.True(t, zone.SetShare(NewShare(100, 100), NewShare(100, 100), now.Add(time.Hour), now.Add(time.Hour), now))
	members := make([]*ZoneMember, 17)
	for i := range members {
		members[i] = NewZoneMember(fmt.Sprint(i), now)
	}
	for range 8 {
		now = now.Add(time.Second)
		members[3].demand.add(1000)
		for _, m := range members {
			request := m.NextRequest("keeper", now)
			m.ApplyGrant("keeper", zone.Grant(request, now), now, now)
		}
	}
	must.Between(t, MicroRequestsOf(190), members[3].ActiveShare(now).Rate, MicroRequestsOf(200))
	must.True(t, members[0].ActiveShare(now).Rate > 0)
	must.True(t, zone.Demand() > MicroRequestsOf(900))

	now = now.Add(20 * time.Second)
	must.True(t, members[3].ActiveShare(now).IsZero())
	members[3].ApplyGrant("keeper", zone.Grant(members[3].NextRequest("keeper", now), now), now, now)
	must.False(t, members[3].ActiveShare(now).IsZero())
}
