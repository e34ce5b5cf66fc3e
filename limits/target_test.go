package limits

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func noneUnresponsive(string) bool { return false }

// Guards against targets that together exceed the limit, or shares that are too
// small to admit a request, for any demand and number of holders.
func TestDivideLimitStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := DefaultPolicy()
		p.FloorFraction = rapid.Float64Range(0, 1).Draw(t, "floor fraction")
		p.MinFloorFraction = p.FloorFraction * rapid.Float64Range(0, 1).Draw(t, "yield")
		l := Ledger{Limit: ShareOf(rapid.Float64Range(0, 1e6).Draw(t, "rate"), rapid.Float64Range(0, 1e6).Draw(t, "burst"))}
		for i := range rapid.IntRange(1, 24).Draw(t, "holders") {
			demand := AmountOf(rapid.Float64Range(0, 2e6).Draw(t, "demand"))
			l.Holders = append(l.Holders, Entry{ID: fmt.Sprint(i), Demand: demand})
		}
		var sum Share
		target := divideLimit(l, p, noneUnresponsive)
		for i := range l.Holders {
			for _, s := range []Share{target.floors[i], target.leases[i]} {
				if s.Rate < 0 || (!s.IsZero() && s.Burst < One) {
					t.Fatalf("holder %d has the share %+v", i, s)
				}
				sum = sum.Plus(s)
			}
		}
		if !sum.Within(l.Limit) {
			t.Fatalf("targets sum to %+v of %+v", sum, l.Limit)
		}
	})
}

// Guards against a division that starves small holders, lets idle holders keep
// floors that others need, or hands out again what a holder cannot give up.
func TestDivideLimit(t *testing.T) {
	holder := func(id string, demand float64) Entry { return Entry{ID: id, Demand: AmountOf(demand)} }
	cut := Entry{ID: "cut", Floor: ShareOf(40, 40)}
	cases := []struct {
		name    string
		holders []Entry
		want    []Share // floor and lease together
	}{
		{"idle", []Entry{holder("a", 0), holder("b", 0)}, []Share{ShareOf(25, 25), ShareOf(25, 25)}},
		{"one busy", []Entry{holder("a", 30), holder("b", 0)}, []Share{ShareOf(75, 75), ShareOf(25, 25)}},
		{"one overloaded", []Entry{holder("a", 1000), holder("b", 0)}, []Share{ShareOf(95, 95), ShareOf(5, 5)}},
		{"small beside overloaded", []Entry{holder("a", 1000), holder("b", 20)}, []Share{ShareOf(70, 69.2), ShareOf(30, 30.8)}},
		{"one cut off", []Entry{holder("a", 1000), cut}, []Share{ShareOf(60, 60), ShareOf(40, 40)}},
	}
	for _, c := range cases {
		l := Ledger{Limit: ShareOf(100, 100), Holders: c.holders}
		target := divideLimit(l, DefaultPolicy(), func(id string) bool { return id == "cut" })
		for i, want := range c.want {
			got := target.floors[i].Plus(target.leases[i])
			must.Eq(t, want.Rate, got.Rate, must.Sprintf("%s: rate of %s", c.name, c.holders[i].ID))
			must.LessEq(t, One/1000, absDifference(want.Burst, got.Burst), must.Sprintf("%s: burst of %s: %+v", c.name, c.holders[i].ID, got))
		}
	}
}
