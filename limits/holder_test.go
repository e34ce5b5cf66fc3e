package limits

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/tablestore/memory"
)

var startTime = time.Unix(1_000_000, 0)

// newTestHolder returns a holder that created a row at start and has demand.
func newTestHolder(t *testing.T) *Holder {
	h := NewHolder("a/1", "a", DefaultPolicy(), startTime.Add(-time.Second))
	h.SetLimit(ShareOf(100, 100), 1)
	h.demand.add(500)
	h.Observe(Ledger{}, 0, startTime)
	p, due := h.Propose(startTime)
	must.True(t, due)
	h.Written(p, 1, startTime.Add(time.Second))
	return h
}

// Guards against a lease or floor that lasts beyond its term, counted from before
// the write, and against a floor that ends with the lease.
func TestSharesExpireAfterTheirTerms(t *testing.T) {
	cases := []struct {
		after time.Duration
		want  Share
	}{
		{2 * time.Second, ShareOf(100, 100)},
		{10*time.Second - 1, ShareOf(100, 100)},
		{10 * time.Second, ShareOf(50, 50)},
		{time.Hour - 1, ShareOf(50, 50)},
		{time.Hour, Share{}},
	}
	for _, c := range cases {
		must.Eq(t, c.want, newTestHolder(t).Using(startTime.Add(c.after)), must.Sprintf("after %s", c.after))
	}
}

// Guards against a wait after which the request is still refused, and against an
// unbounded wait for a cost that the share never admits.
func TestRequestSucceedsAfterRetryAfter(t *testing.T) {
	h := newTestHolder(t)
	now := startTime.Add(time.Second)
	must.True(t, h.Allow(100, now).Allowed)
	refused := h.Allow(30, now)
	must.Eq(t, Decision{RetryAfter: 300 * time.Millisecond, Reason: ReasonRate}, refused)
	must.False(t, h.Allow(30, now.Add(refused.RetryAfter-time.Millisecond)).Allowed)
	must.True(t, h.Allow(30, now.Add(refused.RetryAfter)).Allowed)
	must.Eq(t, ReasonNoShare, h.Allow(101, now).Reason)
}

// Guards against writes more often than the policy allows when steps come fast
// and each write meets a conflict.
func TestWritesRespectMinimumInterval(t *testing.T) {
	h := newTestHolder(t)
	writes := 0
	for i := range 1000 {
		now := startTime.Add(time.Second + time.Duration(i)*100*time.Millisecond)
		if p, due := h.Propose(now); due {
			writes++
			h.Failed(p, now)
		}
	}
	must.Between(t, 20, writes, 100)
}

// Guards against memory that grows with each write of unknown outcome during a
// long outage, and against a holder that then never writes again.
func TestPendingWritesAreBounded(t *testing.T) {
	h := newTestHolder(t)
	for i := range 1000 {
		h.Propose(startTime.Add(time.Duration(i) * time.Second))
	}
	must.Between(t, maxPendingWrites+10, len(h.pendingWrites), maxPendingWrites+100)
}

// Guards against tokens that appear or stay when a share changes, and against a
// clock reading from before the last one.
func TestBucketKeepsTokensWhenShareChanges(t *testing.T) {
	b := NewBucket(ShareOf(10, 20), true, startTime)
	b.SetShare(ShareOf(10, 5), startTime)
	must.Eq(t, 5, b.Tokens())
	b.SetShare(ShareOf(10, 50), startTime)
	must.Eq(t, 5, b.Tokens())
	b.Advance(startTime.Add(time.Second))
	b.Advance(startTime)
	must.Eq(t, 15, b.Tokens())
	must.False(t, b.Take(-1, startTime))
	must.False(t, b.Take(15.5, startTime))
	must.True(t, b.Take(15, startTime))
}

// BenchmarkAllow measures the hot path of a limit that one goroutine uses.
func BenchmarkAllow(b *testing.B) {
	m := NewManager(Options{Table: memory.New(), ID: "a/1", Instance: "a"})
	must.NoError(b, m.SetLimits(1, []Limit{{Name: "acme", RatePerSecond: 1e6, Burst: 1e6}}))
	must.SliceEmpty(b, m.Step(b.Context()))
	for b.Loop() {
		m.Allow("acme", 1, time.Now())
	}
}
