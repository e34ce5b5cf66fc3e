package limits

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/tablestore/memory"
)

// zoneCluster is two zones of three instances on one store. The instances of zone
// z are z-0 to z-2.
type zoneCluster struct {
	t        *testing.T
	store    *memory.Store
	mu       sync.Mutex
	managers map[string]*ZoneManager
	stop     map[string]context.CancelFunc
	views    map[string][]string // what an instance takes for live, if not all
	cut      map[[2]string]bool  // asks that fail, from and to
	exact    Bucket
	admitted map[string]int
}

func newZoneCluster(t *testing.T, limit Limit) *zoneCluster {
	c := &zoneCluster{
		t: t, store: memory.New(), managers: map[string]*ZoneManager{}, stop: map[string]context.CancelFunc{},
		views: map[string][]string{}, cut: map[[2]string]bool{}, admitted: map[string]int{},
		exact: NewBucket(limit.Share(), true, time.Now()),
	}
	for i := range 6 {
		c.start(string(rune('a'+i/3)), i%3, limit)
	}
	return c
}

func (c *zoneCluster) start(zone string, i int, limit Limit) {
	name := fmt.Sprintf("%s-%d", zone, i)
	m := NewZoneManager(ZoneOptions{
		Options: Options{Table: c.store, ID: name + "/1", Instance: name, Rand: rand.New(rand.NewPCG(1, uint64(i)))},
		Zone:    zone,
		AllocatorCandidates: func() []string {
			c.mu.Lock()
			defer c.mu.Unlock()
			if view := c.views[name]; view != nil {
				return view
			}
			return []string{zone + "-0", zone + "-1", zone + "-2"}
		},
		RequestShares: func(_ context.Context, to string, b ShareRequestBatch) (ShareGrantBatch, error) {
			c.mu.Lock()
			target, lost := c.managers[to], c.cut[[2]string{name, to}]
			c.mu.Unlock()
			if target == nil || lost {
				return ShareGrantBatch{}, &memory.InjectedFaultError{}
			}
			return target.GrantShares(b)
		},
	})
	must.NoError(c.t, m.SetLimits(1, []Limit{limit}))
	ctx, cancel := context.WithCancel(c.t.Context())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.managers[name], c.stop[name] = m, cancel
	go func() { _ = m.Run(ctx) }()
}

// see sets what the named instances take for live.
func (c *zoneCluster) see(view []string, names ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		c.views[name] = view
	}
}

// kill ends an instance as a crash would.
func (c *zoneCluster) kill(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stop[name]()
	delete(c.managers, name)
}

// offer sends 200 requests per second to each of the named instances for d.
func (c *zoneCluster) offer(d time.Duration, names ...string) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, name := range names {
			now := time.Now()
			if m := c.managers[name]; m != nil && m.Allow(testLimit, 1, now).Allowed {
				c.admitted[name]++
				must.True(c.t, c.exact.Take(1-1e-9, now), must.Sprintf("%s admitted a request above burst + rate·t", name))
			}
		}
	}
}

func (c *zoneCluster) rate(names ...string) float64 {
	var sum Share
	for _, name := range names {
		sum = sum.Plus(c.managers[name].Shares(time.Now())[testLimit])
	}
	return sum.Rate.Requests()
}

// holders returns the names of the ledger's holders.
func (c *zoneCluster) holders() []string {
	row, err := c.store.Read(c.t.Context(), LedgerKey(testLimit))
	must.NoError(c.t, err)
	l, err := DecodeLedger(row.Value)
	must.NoError(c.t, err)
	var ids []string
	for _, e := range l.Holders {
		ids = append(ids, e.ID)
	}
	slices.Sort(ids)
	return ids
}

// Guards, for each fault of a keeper, against more admissions than the limit, a
// zone that stays without a share, a keeper that stays in the ledger without
// instances, and instances that all become holders.
func TestZoneManagers(t *testing.T) {
	cases := []struct {
		name  string
		fault func(c *zoneCluster)
		zone  []string // instances of zone a that must have a share again
		holds []string // holders of the ledger 30 s later
	}{
		{"none", func(*zoneCluster) {}, []string{"a-0", "a-1", "a-2"}, []string{"a-0/1/a/1", "b-0/1/b/1"}},
		{"keeper dies", func(c *zoneCluster) { c.kill("a-0") }, []string{"a-1", "a-2"},
			[]string{"a-0/1/a/1", "a-1/1/a/1", "b-0/1/b/1"}},
		{"keeper leaves the view", func(c *zoneCluster) { c.see([]string{"a-1", "a-2"}, "a-0", "a-1", "a-2") }, []string{"a-0", "a-1", "a-2"}, []string{"a-1/1/a/1", "b-0/1/b/1"}},
		{"two instances take themselves for the keeper", func(c *zoneCluster) {
			c.see([]string{"a-1", "a-2"}, "a-1", "a-2")
		}, []string{"a-0", "a-1", "a-2"}, []string{"a-0/1/a/1", "a-1/1/a/1", "b-0/1/b/1"}},
		{"keeper releases", func(c *zoneCluster) {
			c.see([]string{"a-1", "a-2"}, "a-1", "a-2")
			c.offer(15*time.Second, "a-1", "a-2", "b-1")
			c.managers["a-0"].Release(c.t.Context())
			c.kill("a-0")
		}, []string{"a-1", "a-2"}, []string{"a-1/1/a/1", "b-0/1/b/1"}},
		{"one instance does not reach the keeper", func(c *zoneCluster) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.cut[[2]string{"a-2", "a-0"}] = true
		},
			[]string{"a-0", "a-1", "a-2"}, []string{"a-0/1/a/1", "a-1/1/a/1", "b-0/1/b/1"}},
		{"ledger outage", func(c *zoneCluster) {
			c.store.SetFault(randomFaults(1, 0.7, 0.5, time.Second))
			c.offer(30*time.Second, "a-1", "a-2", "b-1")
			c.store.SetFault(nil)
		}, []string{"a-0", "a-1", "a-2"}, []string{"a-0/1/a/1", "b-0/1/b/1"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newZoneCluster(t, Limit{Name: testLimit, RatePerSecond: 100, Burst: 100})
				c.offer(20*time.Second, "a-1", "a-2", "b-1")
				test.fault(c)
				c.offer(30*time.Second, "a-1", "a-2", "b-1")
				must.Eq(t, test.holds, c.holders())
				busy := c.rate("a-1", "a-2", "b-1")
				must.Between(t, 70, busy, 100)
				for _, name := range test.zone {
					must.Greater(t, 0, c.rate(name))
				}
			})
		})
	}
}

// Guards against reads of the platform by every instance, and against writes by
// idle zones.
func TestOnlyKeepersUseTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newZoneCluster(t, Limit{Name: testLimit, RatePerSecond: 100, Burst: 100})
		time.Sleep(time.Minute)
		before := c.store.Counts()
		time.Sleep(time.Minute)
		after := c.store.Counts()
		must.LessEq(t, 2*90, after.Reads-before.Reads)
		must.Eq(t, before.Transactions, after.Transactions)
	})
}
