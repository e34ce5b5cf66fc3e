package bench

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/internal/proptest"
	"github.com/jacinthrack/jacinthrack/internal/standin/backend"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	proptest.Main(m)
}

const second = config.Duration(time.Second)

func testPlan() Plan {
	client := netip.MustParseAddr("127.0.0.1")
	return Plan{
		Name:           "test",
		EntryInstances: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")},
		Duration:       10 * second,
		Customers: []Customer{
			{Name: "within", Key: "jr_a_s", RatePerSecond: 20, Burst: 5, LoadFactor: 0.5, Client: client},
			{Name: "above", Key: "jr_b_s", RatePerSecond: 10, Burst: 5, LoadFactor: 3, Client: client},
		},
		Mix: []RequestKind{
			{Name: "check", Route: "stock", Method: "GET", Weight: 3},
			{Name: "order", Route: "orders", Method: "POST", Weight: 1, BodyBytes: 64},
		},
		Lookups: LookupLoad{RatePerSecond: 50},
	}
}

// The schedule yields the planned number of arrivals for each customer and the
// look-ups, in order of time, the same for the same seed, and with every kind of the
// mix. Guards against rates that depend on responses and wrong load factors.
func TestScheduleMatchesPlannedLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := testPlan().withDefaults()
		p.Seed = rapid.Uint64().Draw(t, "seed")
		p.Duration = config.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * second
		p.Customers[1].Surge = &Surge{Period: 2 * second, Duration: second / 2, LoadFactor: float64(rapid.IntRange(0, 5).Draw(t, "surge"))}
		p.Customers[1].LoadFactor = float64(rapid.IntRange(0, 2).Draw(t, "load"))
		counts := make(map[int]float64)
		kinds := make(map[int]int)
		repeated := newSchedule(p)
		s := newSchedule(p)
		last := time.Duration(0)
		for a, ok := s.nextArrival(); ok; a, ok = s.nextArrival() {
			if b, _ := repeated.nextArrival(); a != b {
				t.Fatalf("arrival %v, but %v in a second schedule of the same seed", a, b)
			}
			if a.dueAt < last || a.dueAt >= p.Duration.Std() {
				t.Fatalf("arrival at %v after one at %v: out of order or after the end of the run", a.dueAt, last)
			}
			last = a.dueAt
			counts[a.customerIndex]++
			kinds[a.kindIndex]++
		}
		length := p.Duration.Std().Seconds()
		surging := float64(int(length)/2)/2 + min(float64(int(length)%2), 0.5)
		above := 10 * (p.Customers[1].Surge.LoadFactor*surging + p.Customers[1].LoadFactor*(length-surging))
		for customer, want := range map[int]float64{0: 10 * length, 1: above, lookupCustomer: 50 * length} {
			// The number differs by at most one arrival for the random phase and one
			// for each change of the rate.
			if slack := 1 + length; counts[customer] < want-slack || counts[customer] > want+slack {
				t.Fatalf("customer index %d: %v arrivals, want %v", customer, counts[customer], want)
			}
		}
		if length >= 5 && (kinds[0] == 0 || kinds[1] == 0) {
			t.Fatalf("arrivals by kind: %v, want some of each", kinds)
		}
	})
}

// The bucket has a token for a request if, and only if, no window that ends with the
// request contains more requests than burst and rate allow.
func TestTokenBucketIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(1, 8).Draw(t, "rate"))
		burst := float64(rapid.IntRange(1, 4).Draw(t, "burst"))
		b := newTokenBucket(rate, burst)
		var ran []time.Duration
		at := time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "requests") {
			// Multiples of 1/8 s are exact in floating point.
			at += time.Duration(rapid.IntRange(0, 8).Draw(t, "pause")) * time.Second / 8
			want := true
			for i, from := range ran {
				want = want && float64(len(ran)-i+1) <= burst+rate*(at-from).Seconds()
			}
			if got := b.take(at); got != want {
				t.Fatalf("request at %v: token available %v, want %v", at, got, want)
			}
			if want && rapid.Bool().Draw(t, "runs") {
				ran = append(ran, at)
				continue
			}
			b.refund(at)
		}
	})
}

// Rightful rejections do not count against a customer, a wrong rejection does, and of
// customers with the same served share the one with the higher latency is the worst.
func TestWorstServedCustomer(t *testing.T) {
	newStats := func(name string, sent, ok, rejected, wrongly int, p99 config.Duration) CustomerStats {
		c := CustomerStats{RequestStats: RequestStats{Name: name, Sent: sent, OK: ok, RateRejected: rejected, WronglyRejected: wrongly}}
		c.Latency.P99 = p99
		c.Served = c.ServedShare()
		return c
	}
	above := newStats("above", 100, 20, 80, 0, second)
	fast := newStats("fast", 100, 100, 0, 0, second)
	slow := newStats("slow", 100, 100, 0, 0, 2*second)
	wronglyRejected := newStats("wrongly rejected", 100, 99, 1, 1, second)
	must.EqOp(t, "slow", worstServed([]CustomerStats{above, fast, slow}))
	must.EqOp(t, "wrongly rejected", worstServed([]CustomerStats{above, fast, slow, wronglyRejected}))
	must.EqOp(t, "", worstServed([]CustomerStats{{}}))
}

// A sample leaves out the slots of a server whose load could not be read, and a group
// without free slots is reported although others have some.
func TestHeadroomLeavesOutUnreadServers(t *testing.T) {
	h := newHeadroomSummary([]config.BackendServer{{Service: "s", Zone: "a"}, {Service: "s", Zone: "b"}})
	h.addSample([]*backend.Load{{Slots: 4, InUse: 0}, {Slots: 4, InUse: 3}})
	h.addSample([]*backend.Load{{Slots: 4, InUse: 1}, nil})
	out := h.result()
	must.Eq(t, &Headroom{Samples: 2, MissedReads: 1, MeanFree: 0.6875, MinFree: 0.625, TightestGroup: "s in b", TightestFree: 0}, out)
	must.Nil(t, newHeadroomSummary(nil).result())
}

// A server that is idle for a moment and then receives another request is not drained
// until the last request has ended.
func TestDrainTrackerFollowsLaterRequests(t *testing.T) {
	start := time.Unix(0, 0)
	w := drainTracker{startedAt: start, lastRequestCount: 10, result: &DrainResult{}}
	for _, step := range []struct {
		ms       int
		requests uint64
		inUse    int
	}{{20, 10, 0}, {40, 12, 1}, {60, 12, 0}, {80, 13, 0}, {100, 13, 0}} {
		w.update(&backend.Load{Requests: step.requests, InUse: step.inUse}, start.Add(time.Duration(step.ms)*time.Millisecond))
	}
	must.Eq(t, &DrainResult{NewRequests: 3, LastNewRequest: 80 * second / 1000, IdleAfter: 80 * second / 1000, Drained: true}, w.result)
}

// A result is the same after it is written and read as JSON, and the comparison tells
// improvements from regressions for metrics of which less or more is better.
func TestCompareResultsReadFromJSON(t *testing.T) {
	before := &Result{Name: "old", Total: RequestStats{Name: "all requests", Sent: 10, OK: 10}, WorstServed: "c"}
	before.Total.Latency.P99 = second
	before.Customers = []CustomerStats{{RequestStats: RequestStats{Name: "c"}, Served: 1}}
	before.Overhead = &OverheadResult{P50Ratio: 1.5}
	var file bytes.Buffer
	must.NoError(t, before.WriteJSON(&file))
	after, err := ReadResult(&file)
	must.NoError(t, err)
	must.Eq(t, before, after)
	after.Total.Latency.P99 = 2 * second
	after.Overhead.P50Ratio = 1.2
	after.Customers[0].Served = 0.5
	effects := make(map[string]Effect)
	comparison := Compare(before, after)
	for _, row := range comparison.Rows {
		effects[row.Metric] = row.Effect
	}
	must.EqOp(t, EffectWorse, effects["all requests, p99"])
	must.EqOp(t, EffectSame, effects["all requests, p50"])
	must.EqOp(t, EffectBetter, effects["overhead, p50 ratio"])
	must.EqOp(t, EffectWorse, effects["worst-served customer, served"])
	var out strings.Builder
	must.NoError(t, comparison.WriteTable(&out))
	must.StrContains(t, out.String(), "+100.0%")
	_, err = ReadResult(strings.NewReader("{"))
	must.Error(t, err)
}

// Validate reports all mistakes of a plan together, Run rejects an invalid plan before
// it starts, and ReadPlan rejects unknown fields.
func TestPlanValidation(t *testing.T) {
	must.NoError(t, testPlan().Validate())
	p := testPlan()
	p.EntryInstances = nil
	p.Duration = config.Duration(MaxRunDuration) + 1
	p.Customers[1].Name = "within"
	p.Customers[0].Client = netip.Addr{}
	p.Mix[0].Weight = 0
	p.Drain = &DrainPlan{WatchDuration: second}
	p.Overhead = &OverheadPlan{Pairs: 1, Customer: "nobody"}
	p.Events = []Event{{At: time.Duration(p.Duration)}}
	var failed *PlanError
	must.True(t, errors.As(p.Validate(), &failed))
	must.SliceLen(t, 8, failed.Problems)
	_, err := Run(t.Context(), p)
	must.True(t, errors.As(err, &failed))
	data, err := json.Marshal(testPlan())
	must.NoError(t, err)
	decoded, err := ReadPlan(bytes.NewReader(data))
	must.NoError(t, err)
	must.Eq(t, testPlan(), decoded)
	_, err = ReadPlan(strings.NewReader(`{"durration":"1s"}`))
	must.True(t, errors.As(err, &failed))
	must.StrContains(t, err.Error(), "durration")
}
