package limits

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/jacinthrack/jacinthrack/tablestore/memory"
)

// Checks that managers on the in-memory platform together admit at most burst + rate·t when
// calls fail or lose their replies and instances restart while their old process still runs.
func TestManagersStayWithinLimitUnderRandomFaults(t *testing.T) {
	// Run only 30 checks: one takes about ten times as long as a check of the other property tests.
	checks := flag.Lookup("rapid.checks").Value
	before := checks.String()
	must.NoError(t, checks.Set("30"))
	t.Cleanup(func() { _ = checks.Set(before) })
	rapid.Check(t, func(t *rapid.T) {
		now := startTime
		store := memory.New()
		limit := Limit{Name: testLimit, RatePerSecond: 20, Burst: 20}
		reference := NewBucket(limit.Share(), true, now)
		var managers []*Manager
		start := func(instance string) {
			m := NewManager(Options{
				Table: store, ID: fmt.Sprintf("%s/%d", instance, len(managers)), Instance: instance,
				Clock: func() time.Time { return now }, MaxParallelWrites: 1,
			})
			_ = m.SetLimits(1, []Limit{limit})
			managers = append(managers, m)
		}
		start("a")
		start("b")
		pick := func(t *rapid.T) *Manager { return rapid.SampledFrom(managers).Draw(t, "manager") }
		syncOnce := func(t *rapid.T, m *Manager) {
			faults := rapid.SampledFrom([]map[memory.OpKind]memory.Fault{
				{}, {}, {memory.OpScan: {Unavailable: true}}, {memory.OpTransact: {Unavailable: true}},
				{memory.OpTransact: {LoseReply: true}},
				{memory.OpTransact: {LoseReply: true}, memory.OpRead: {Unavailable: true}},
			}).Draw(t, "faults")
			store.SetFault(func(op memory.Op) memory.Fault { return faults[op.Kind] })
			m.Sync(t.Context())
		}
		admitAll := func(m *Manager) {
			for m.Allow(testLimit, 1, now).Allowed {
				if !reference.Take(1-1e-9, now) {
					t.Fatalf("a request was admitted above burst + rate·t")
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"sync": func(t *rapid.T) { syncOnce(t, pick(t)) },
			"busy manager": func(t *rapid.T) {
				busiest, cutOff := pick(t), pick(t)
				for range rapid.IntRange(1, 14).Draw(t, "seconds") {
					now = now.Add(time.Second)
					(*busiest.holders.Load())[testLimit].holder.AddDemand(100)
					for _, m := range managers {
						admitAll(m)
						if m != cutOff {
							syncOnce(t, m)
						}
					}
				}
			},
			"": func(t *rapid.T) {
				var sum Share
				for _, m := range managers {
					sum = sum.Plus(m.Shares(now)[testLimit])
				}
				if !sum.Within(limit.Share()) {
					t.Fatalf("shares in use sum to %+v", sum)
				}
			},
			"restart": func(t *rapid.T) {
				if len(managers) < 6 {
					start(pick(t).opts.Instance)
				}
			},
		})
	})
}
