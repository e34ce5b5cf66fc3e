package limits

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func nobody(string) bool { return false }

// Guards against targets that together exceed the limit, or shares that are too
// small to admit a request, for any demand and number of holders.
func TestDivideStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := DefaultPolicy()
		p.FloorFraction = rapid.Float64Range(0, 1).Draw(t, "floor fraction")
		p.MinFloorFraction = p.FloorFraction * rapid.Float64Range(0, 1).Draw(t, "yield")
		l := Ledger{Limit: NewShare(rapid.Float64Range(0, 1e6).Draw(t, "rate"), rapid.Float64Range(0, 1e6).Draw(t, "burst"))}
		for i := range rapid.IntRange(1, 24).Draw(t, "holders") {
			demand := MicroRequestsOf(rapid.Float64Range(0, 2e6).Draw(t, "demand"))
			l.Holders = append(l.Holders, LedgerEntry{ID: fmt.Sprint(i), Demand: demand})
		}
		var sum Share
		target := divide(l, p, nobody)
		for i := range l.Holders {
			for _, s := range []Share{target.floors[i], target.leases[i]} {
				if s.Rate < 0 || (!s.IsZero() && s.Burst < OneRequest) {
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
func TestDivide(t *testing.T) {
	holder := func(id string, demand float64) LedgerEntry { return LedgerEntry{ID: id, Demand: MicroRequestsOf(demand)} }
	cut := LedgerEntry{ID: "cut", Floor: NewShare(40, 40)}
	cases := []struct {
		name    string
		holders []LedgerEntry
		want    []Share // floor and lease together
	}{
		{"idle", []LedgerEntry{holder("a", 0), holder("b", 0)}, []Share{NewShare(25, 25), NewShare(25, 25)}},
		{"one busy", []LedgerEntry{holder("a", 30), holder("b", 0)}, []Share{NewShare(75, 75), NewShare(25, 25)}},
		{"one overloaded", []LedgerEntry{holder("a", 1000), holder("b", 0)}, []Share{NewShare(95, 95), NewShare(5, 5)}},
		{"small beside overloaded", []LedgerEntry{holder("a", 1000), holder("b", 20)}, []Share{NewShare(70, 69.2), NewShare(30, 30.8)}},
		{"one cut off", []LedgerEntry{holder("a", 1000), cut}, []Share{NewShare(60, 60), NewShare(40, 40)}},
	}
	for _, c := range cases {
		l := Ledger{Limit: NewShare(100, 100), Holders: c.holders}
		target := divide(l, DefaultPolicy(), func(id string) bool { return id == "cut" })
		for i, want := range c.want {
			got := target.floors[i].Plus(target.leases[i])
			must.Eq(t, want.Rate, got.Rate, must.Sprintf("%s: rate of %s", c.name, c.holders[i].ID))
			must.LessEq(t, OneRequest/1000, distance(want.Burst, got.Burst), must.Sprintf("%s: burst of %s: %+v", c.name, c.holders[i].ID, got))
		}
	}
}
