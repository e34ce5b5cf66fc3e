package limits

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// answer is a grant under way to a member.
type answer struct {
	to      *ZoneMember
	grant   ShareGrant
	askedAt time.Time
}

// Guards against instances of a zone that together use more than the zone's
// share, with answers that are late, lost or out of order, instances that pause
// or restart, and a zone whose share shrinks or ends.
func TestZoneStaysWithinItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		z := NewZoneGrants(DefaultPolicy())
		var members []*ZoneMember
		boots := 0
		boot := func() *ZoneMember {
			boots++
			return NewZoneMember(fmt.Sprint(boots), now)
		}
		for range rapid.IntRange(2, 4).Draw(t, "members") {
			members = append(members, boot())
		}
		var answers []answer
		pick := func(t *rapid.T) *ZoneMember { return rapid.SampledFrom(members).Draw(t, "member") }
		ask := func(m *ZoneMember) answer {
			m.demand.add(float64(rapid.SampledFrom([]int{0, 0, 10, 500}).Draw(t, "offered")))
			return answer{to: m, grant: z.Grant(m.NextRequest("keeper", now), now), askedAt: now}
		}
		share := func(t *rapid.T, name string) Share {
			burst := rapid.SampledFrom([]float64{0, 2, 10, 40}).Draw(t, name)
			return NewShare(burst, burst)
		}
		deliver := func(t *rapid.T, keep bool) {
			if len(answers) == 0 {
				t.Skip("no answer under way")
			}
			i := rapid.IntRange(0, len(answers)-1).Draw(t, "answer")
			if keep {
				answers[i].to.ApplyGrant("keeper", answers[i].grant, answers[i].askedAt, now)
			}
			answers = append(answers[:i], answers[i+1:]...)
		}
		t.Repeat(map[string]func(*rapid.T){
			"exchange": func(t *rapid.T) {
				a := ask(pick(t))
				a.to.ApplyGrant("keeper", a.grant, a.askedAt, now)
			},
			"rounds": func(t *rapid.T) {
				paused := pick(t)
				for range rapid.IntRange(1, 14).Draw(t, "rounds") {
					now = now.Add(time.Second)
					for _, m := range members {
						if a := ask(m); m != paused {
							m.ApplyGrant("keeper", a.grant, a.askedAt, now)
						}
					}
				}
			},
			"ask":         func(t *rapid.T) { answers = append(answers, ask(pick(t))) },
			"deliver":     func(t *rapid.T) { deliver(t, true) },
			"lose answer": func(t *rapid.T) { deliver(t, false) },
			"pause":       func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(1, 13).Draw(t, "s")) * time.Second) },
			"restart":     func(t *rapid.T) { members[rapid.IntRange(0, len(members)-1).Draw(t, "restarted")] = boot() },
			"set share": func(t *rapid.T) {
				z.SetShare(share(t, "floor"), share(t, "lease"), now.Add(time.Hour), now.Add(10*time.Second), now)
			},
			"": func(t *rapid.T) {
				var sum Share
				for _, m := range members {
					sum = sum.Plus(m.ActiveShare(now))
				}
				held := z.Outstanding(now)
				if !sum.Within(held) || !held.Within(z.floor.Plus(z.lease)) {
					t.Fatalf("instances use %+v, outstanding are %+v of %+v and %+v", sum, held, z.floor, z.lease)
				}
			},
		})
	})
}

// Guards against a zone that leaves its share unused: one busy instance of 17 must
// get all but the smallest floors, and again after a pause longer than its grant.
func TestZoneFollowsDemand(t *testing.T) {
	now := start
	z := NewZoneGrants(DefaultPolicy())
	must.True(t, z.SetShare(NewShare(100, 100), NewShare(100, 100), now.Add(time.Hour), now.Add(time.Hour), now))
	members := make([]*ZoneMember, 17)
	for i := range members {
		members[i] = NewZoneMember(fmt.Sprint(i), now)
	}
	for range 8 {
		now = now.Add(time.Second)
		members[3].demand.add(1000)
		for _, m := range members {
			asked := m.NextRequest("keeper", now)
			m.ApplyGrant("keeper", z.Grant(asked, now), now, now)
		}
	}
	must.Between(t, MicroRequestsOf(190), members[3].ActiveShare(now).Rate, MicroRequestsOf(200))
	must.True(t, members[0].ActiveShare(now).Rate > 0)
	must.True(t, z.Demand() > MicroRequestsOf(900))

	now = now.Add(20 * time.Second)
	must.True(t, members[3].ActiveShare(now).IsZero())
	members[3].ApplyGrant("keeper", z.Grant(members[3].NextRequest("keeper", now), now), now, now)
	must.False(t, members[3].ActiveShare(now).IsZero())
}
