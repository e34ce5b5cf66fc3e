package limits

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func noneUnresponsive(string) bool { return false }

// Checks for random demand and numbers of holders that the divided shares never sum to more
// than the limit and that each is zero or large enough to admit a request.
func TestDivideLimitStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := DefaultPolicy()
		p.FloorFraction = rapid.Float64Range(0, 1).Draw(t, "floor fraction")
		p.MinFloorFraction = p.FloorFraction * rapid.Float64Range(0, 1).Draw(t, "minimum floor, as a fraction of the floor fraction")
		l := Ledger{Limit: NewShare(rapid.Float64Range(0, 1e6).Draw(t, "rate"), rapid.Float64Range(0, 1e6).Draw(t, "burst"))}
		for i := range rapid.IntRange(1, 24).Draw(t, "holders") {
			demand := MicroRequestsOf(rapid.Float64Range(0, 2e6).Draw(t, "demand"))
			l.Holders = append(l.Holders, LedgerEntry{ID: fmt.Sprint(i), Demand: demand})
		}
		var sum Share
		divided := divideLimit(l, p, noneUnresponsive)
		for i := range l.Holders {
			for _, s := range []Share{divided.floors[i], divided.leases[i]} {
				if s.Rate < 0 || (!s.IsZero() && s.Burst < OneRequest) {
					t.Fatalf("holder %d has the share %+v, which is negative or admits no request", i, s)
				}
				sum = sum.Plus(s)
			}
		}
		if !sum.Within(l.Limit) {
			t.Fatalf("shares sum to %+v, the limit is %+v", sum, l.Limit)
		}
	})
}

// Checks that a busy holder gets the floors that idle holders do not need, that a holder with
// small demand gets all it requests beside an overloaded one, and that the floor of an
// unresponsive holder is not divided among the others.
func TestDivideLimitFollowsDemand(t *testing.T) {
	holder := func(id string, demand float64) LedgerEntry {
		return LedgerEntry{ID: id, Demand: MicroRequestsOf(demand)}
	}
	unresponsive := LedgerEntry{ID: "unresponsive", Floor: NewShare(40, 40)}
	cases := []struct {
		name    string
		holders []LedgerEntry
		want    []Share // floor and lease together
	}{
		{"idle", []LedgerEntry{holder("a", 0), holder("b", 0)}, []Share{NewShare(25, 25), NewShare(25, 25)}},
		{"one busy", []LedgerEntry{holder("a", 30), holder("b", 0)}, []Share{NewShare(75, 75), NewShare(25, 25)}},
		{"one overloaded", []LedgerEntry{holder("a", 1000), holder("b", 0)}, []Share{NewShare(95, 95), NewShare(5, 5)}},
		{"small beside overloaded", []LedgerEntry{holder("a", 1000), holder("b", 20)}, []Share{NewShare(70, 69.2), NewShare(30, 30.8)}},
		{"one unresponsive", []LedgerEntry{holder("a", 1000), unresponsive}, []Share{NewShare(60, 60), NewShare(40, 40)}},
	}
	for _, c := range cases {
		l := Ledger{Limit: NewShare(100, 100), Holders: c.holders}
		divided := divideLimit(l, DefaultPolicy(), func(id string) bool { return id == "unresponsive" })
		for i, want := range c.want {
			got := divided.floors[i].Plus(divided.leases[i])
			must.Eq(t, want.Rate, got.Rate, must.Sprintf("%s: rate of %s", c.name, c.holders[i].ID))
			must.LessEq(t, OneRequest/1000, absDifference(want.Burst, got.Burst), must.Sprintf("%s: burst of %s: %+v", c.name, c.holders[i].ID, got))
		}
	}
}
