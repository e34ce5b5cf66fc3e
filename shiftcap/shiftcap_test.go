package shiftcap

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/internal/proptest"
	"github.com/jacinthrack/jacinthrack/limits"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	proptest.Main(m)
}

var start = time.Unix(1_000_000, 0)

// fakeTokens maps the name of a limit to its number of remaining tokens.
type fakeTokens map[string]int

func (f fakeTokens) Allow(name string, _ float64, _ time.Time) limits.Decision {
	if f[name] <= 0 {
		return limits.Decision{Reason: limits.ReasonRateExceeded}
	}
	f[name]--
	return limits.Decision{Allowed: true}
}

// Guards against requests that are shifted outside the fraction, without a token or by the
// shift of another route, and against tokens that are taken for requests that are not
// shifted.
func TestDecide(t *testing.T) {
	shifts := []config.Shift{
		{Name: "one", Route: "orders", Fraction: 0.25},
		{Name: "two", Route: "orders", Fraction: 0.5},
		{Name: "none", Route: "photos", Fraction: 0},
	}
	cases := []struct {
		route  string
		draw   float64
		tokens int // of each limit
		want   string
		reason Reason
		left   int // tokens left in the limits "one" and "two" together
	}{
		{"orders", 0, 1, "one", ReasonNone, 1},
		{"orders", 0.25, 1, "two", ReasonNone, 1},
		{"orders", 0.74, 1, "two", ReasonNone, 1},
		{"orders", 0.75, 1, "", ReasonOutsideFraction, 2},
		{"orders", 0.1, 0, "", ReasonNoToken, 0},
		{"photos", 0, 1, "", ReasonOutsideFraction, 2},
		{"checks", 0, 1, "", ReasonNoShift, 2},
	}
	for _, c := range cases {
		tokens := fakeTokens{LimitName("one"): c.tokens, LimitName("two"): c.tokens}
		got := Decide(shifts, c.route, c.draw, tokens, start)
		must.Eq(t, Outcome{Shifted: c.want != "", Shift: got.Shift, Reason: c.reason}, got)
		must.Eq(t, c.want, got.Shift.Name)
		must.Eq(t, c.left, tokens[LimitName("one")]+tokens[LimitName("two")])
	}
}

// Guards against a limit that admits more than the cap in an interval of at least the
// length that CapWindow returns, and against a limit that never admits a request.
func TestLimitStaysWithinCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := config.Shift{Name: "s", CapPerSecond: rapid.Float64Range(0.01, 1e5).Draw(t, "cap")}
		window := CapWindow(s.CapPerSecond) * time.Duration(rapid.IntRange(1, 20).Draw(t, "windows"))
		l := Limit(s)
		maxAdmitted := l.Burst + l.RatePerSecond*window.Seconds()
		if allowed := s.CapPerSecond * window.Seconds(); maxAdmitted > allowed*(1+1e-6) {
			t.Fatalf("limit admits %g requests in %s, the cap allows %g", maxAdmitted, window, allowed)
		}
		if l.Burst < 1 {
			t.Fatalf("burst %g admits no request", l.Burst)
		}
	})
	must.Eq(t, limits.Limit{Name: "shift/off"}, Limit(config.Shift{Name: "off"}))
}

// Guards against a plan that loses or repeats a block, and against a plan by which blocks
// of more than the cap can change site within one maximum age of lookup answers. The
// callers of a step change site between its publication and the end of the propagation
// delay plus one maximum age.
func TestPlanStaysWithinCapPerMaxAge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := BlockMove{From: "a", To: "b", Cap: 10, LookupMaxAge: 5 * time.Second}
		m.PropagationDelay = time.Duration(rapid.IntRange(0, 14).Draw(t, "spread")) * time.Second
		for i := range rapid.IntRange(0, 30).Draw(t, "blocks") {
			prefix := netip.MustParsePrefix(fmt.Sprintf("10.0.%d.0/24", i))
			m.Blocks = append(m.Blocks, WeightedBlock{Prefix: prefix, Weight: rapid.Float64Range(0, 10).Draw(t, "weight")})
		}
		steps, err := Plan(m)
		must.NoError(t, err)
		moved := make(map[netip.Prefix]int)
		for i, s := range steps {
			var weight float64
			for _, o := range steps {
				// The last caller of step o and the first caller of step s change
				// site within one maximum age if less time lies between them.
				if o.Offset <= s.Offset && s.Offset-(o.Offset+m.PropagationDelay+m.LookupMaxAge) < m.LookupMaxAge {
					weight += o.Weight
				}
			}
			if weight > m.Cap {
				t.Fatalf("step %d: blocks of weight %g change site within one maximum age, the cap is %g", i, weight, m.Cap)
			}
			for _, p := range s.Blocks {
				moved[p]++
			}
		}
		for _, b := range m.Blocks {
			if moved[b.Prefix] != 1 {
				t.Fatalf("client block %s is moved %d times, want once", b.Prefix, moved[b.Prefix])
			}
		}
	})
}

// Guards against plans for invalid moves, among them moves that cannot stay within the cap.
func TestPlanRejectsInvalidMoves(t *testing.T) {
	block := WeightedBlock{Prefix: netip.MustParsePrefix("10.0.0.0/8"), Weight: 11}
	valid := BlockMove{From: "a", To: "b", Cap: 10, LookupMaxAge: time.Second, Blocks: []WeightedBlock{block}}
	_, err := Plan(valid)
	must.Eq(t, error(&OversizedBlockError{Prefix: block.Prefix, Weight: 11, Cap: 10}), err)

	noCap, noAge, same, twice := valid, valid, valid, valid
	noCap.Cap = 0
	noAge.LookupMaxAge = 0
	same.To = "a"
	twice.Cap = 20
	twice.Blocks = []WeightedBlock{block, block}
	for _, m := range []BlockMove{noCap, noAge, same, twice} {
		_, err := Plan(m)
		_, isMove := err.(*InvalidMoveError)
		must.True(t, isMove, must.Sprintf("%+v: %v", m, err))
	}
}

// Guards against a step that is published before the interval since the confirmation of the
// previous step has passed, while another step is unconfirmed, or twice.
func TestExecutionWaitsForConfirmation(t *testing.T) {
	m := BlockMove{LookupMaxAge: 5 * time.Second, PropagationDelay: 4 * time.Second}
	e := NewExecution(m, []Step{{Weight: 1}, {Weight: 2}})
	due := func(after time.Duration) float64 {
		s, _ := e.TakeDueStep(start.Add(after))
		return s.Weight
	}
	must.Eq(t, 1, due(0))
	must.Eq(t, 0, due(time.Hour))
	e.RetryStep()
	must.Eq(t, 1, due(time.Hour))
	e.ConfirmStep(start.Add(time.Hour))
	must.Eq(t, 0, due(time.Hour+14*time.Second-1))
	must.Eq(t, 2, due(time.Hour+14*time.Second))
	must.False(t, e.Finished())
	e.ConfirmStep(start.Add(2 * time.Hour))
	must.True(t, e.Finished())
	must.Eq(t, 0, due(3*time.Hour))
}
