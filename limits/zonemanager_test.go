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

// zoneCluster holds the managers of two zones, a and b, with three instances each on one store.
// The instances of zone a are a-0 to a-2.
type zoneCluster struct {
	t               *testing.T
	store           *memory.Store
	mu              sync.Mutex
	managers        map[string]*ZoneManager
	cancelRun       map[string]context.CancelFunc
	candidateViews  map[string][]string // the instances that an instance considers live, if not all
	failingRequests map[[2]string]bool  // share requests that fail, by sender and receiver
	reference       Bucket
	admitted        map[string]int // requests, by instance
}

func newZoneCluster(t *testing.T, limit Limit) *zoneCluster {
	c := &zoneCluster{
		t: t, store: memory.New(), managers: map[string]*ZoneManager{}, cancelRun: map[string]context.CancelFunc{},
		candidateViews: map[string][]string{}, failingRequests: map[[2]string]bool{}, admitted: map[string]int{},
		reference: NewBucket(limit.Share(), true, time.Now()),
	}
	for i := range 6 {
		c.start(string(rune('a'+i/3)), i%3, limit)
	}
	return c
}

// start starts the i-th instance of a zone.
func (c *zoneCluster) start(zone string, i int, limit Limit) {
	name := fmt.Sprintf("%s-%d", zone, i)
	m := NewZoneManager(ZoneOptions{
		Options: Options{Table: c.store, ID: name + "/1", Instance: name, Rand: rand.New(rand.NewPCG(1, uint64(i)))},
		Zone:    zone,
		AllocatorCandidates: func() []string {
			c.mu.Lock()
			defer c.mu.Unlock()
			if view := c.candidateViews[name]; view != nil {
				return view
			}
			return []string{zone + "-0", zone + "-1", zone + "-2"}
		},
		RequestShares: func(_ context.Context, to string, b ShareRequestBatch) (ShareGrantBatch, error) {
			c.mu.Lock()
			receiver, fails := c.managers[to], c.failingRequests[[2]string{name, to}]
			c.mu.Unlock()
			if receiver == nil || fails {
				return ShareGrantBatch{}, &memory.InjectedFaultError{}
			}
			return receiver.GrantShares(b)
		},
	})
	must.NoError(c.t, m.SetLimits(1, []Limit{limit}))
	ctx, cancel := context.WithCancel(c.t.Context())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.managers[name], c.cancelRun[name] = m, cancel
	go func() { _ = m.Run(ctx) }()
}

// setCandidateView sets the instances that the named instances consider live.
func (c *zoneCluster) setCandidateView(view []string, names ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		c.candidateViews[name] = view
	}
}

// crash stops an instance without releasing its shares.
func (c *zoneCluster) crash(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelRun[name]()
	delete(c.managers, name)
}

// offer sends 200 requests per second to each of the named instances for d.
func (c *zoneCluster) offer(d time.Duration, names ...string) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, name := range names {
			now := time.Now()
			if m := c.managers[name]; m != nil && m.Allow(testLimit, 1, now).Allowed {
				c.admitted[name]++
				must.True(c.t, c.reference.Take(1-1e-9, now), must.Sprintf("%s admitted a request above burst + rate·t", name))
			}
		}
	}
}

// activeRate returns the sum of the rates of the named instances' active shares.
func (c *zoneCluster) activeRate(names ...string) float64 {
	var sum Share
	for _, name := range names {
		sum = sum.Plus(c.managers[name].Shares(time.Now())[testLimit])
	}
	return sum.Rate.Requests()
}

// ledgerHolderIDs returns the sorted IDs of the holders in the ledger.
func (c *zoneCluster) ledgerHolderIDs() []string {
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

// Guards against faults of allocators that cause admissions above burst + rate·t, instances
// without a share, allocators without members that stay in the ledger, or all instances as
// holders.
func TestZoneManagersRecoverFromFaults(t *testing.T) {
	cases := []struct {
		name          string
		fault         func(c *zoneCluster)
		mustHaveShare []string // instances of zone a that must have a share afterwards
		holderIDs     []string // holders in the ledger 30 s later
	}{
		{"none", func(*zoneCluster) {}, []string{"a-0", "a-1", "a-2"}, []string{"a-0/1/a/1", "b-0/1/b/1"}},
		{"allocator crashes", func(c *zoneCluster) { c.crash("a-0") }, []string{"a-1", "a-2"},
			[]string{"a-0/1/a/1", "a-1/1/a/1", "b-0/1/b/1"}},
		{"all instances consider the allocator not live", func(c *zoneCluster) { c.setCandidateView([]string{"a-1", "a-2"}, "a-0", "a-1", "a-2") }, []string{"a-0", "a-1", "a-2"}, []string{"a-1/1/a/1", "b-0/1/b/1"}},
		{"instances disagree on the allocator", func(c *zoneCluster) {
			c.setCandidateView([]string{"a-1", "a-2"}, "a-1", "a-2")
		}, []string{"a-0", "a-1", "a-2"}, []string{"a-0/1/a/1", "a-1/1/a/1", "b-0/1/b/1"}},
		{"allocator releases", func(c *zoneCluster) {
			c.setCandidateView([]string{"a-1", "a-2"}, "a-1", "a-2")
			c.offer(15*time.Second, "a-1", "a-2", "b-1")
			c.managers["a-0"].Release(c.t.Context())
			c.crash("a-0")
		}, []string{"a-1", "a-2"}, []string{"a-1/1/a/1", "b-0/1/b/1"}},
		{"one instance does not reach the allocator", func(c *zoneCluster) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.failingRequests[[2]string{"a-2", "a-0"}] = true
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
				must.Eq(t, test.holderIDs, c.ledgerHolderIDs())
				activeRate := c.activeRate("a-1", "a-2", "b-1")
				must.Between(t, 70, activeRate, 100)
				for _, name := range test.mustHaveShare {
					must.Greater(t, 0, c.activeRate(name))
				}
			})
		})
	}
}

// Checks that only the two allocators read the store, and that idle zones do not write to it.
// Allocators sync about once per second; the bound allows each 1.5 reads per second for a minute.
func TestOnlyAllocatorsUseTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newZoneCluster(t, Limit{Name: testLimit, RatePerSecond: 100, Burst: 100})
		time.Sleep(time.Minute)
		before := c.store.Counts()
		time.Sleep(time.Minute)
		after := c.store.Counts()
		must.LessEq(t, 2*90, after.RowReads-before.RowReads)
		must.Eq(t, before.Transactions, after.Transactions)
	})
}
