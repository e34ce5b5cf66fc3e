package limits

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/tablestore/memory"
)

var start = time.Unix(1_000_000, 0)

// newTestHolder returns a holder that created a row at start and has demand.
func newTestHolder(t *testing.T) *ShareHolder {
	h := NewShareHolder("a/1", "a", DefaultPolicy(), start.Add(-time.Second))
	h.SetLimit(NewShare(100, 100), 1)
	h.demand.add(500)
	h.ObserveRow(Ledger{}, 0, start)
	p, due := h.Propose(start)
	must.True(t, due)
	h.WriteApplied(p, 1, start.Add(time.Second))
	return h
}

// Guards against a lease or floor that lasts beyond its term, counted from before
// the write, and against a floor that ends with the lease.
func TestSharesEndWithTheirTerms(t *testing.T) {
	cases := []struct {
		after time.Duration
		want  Share
	}{
		{2 * time.Second, NewShare(100, 100)},
		{10*time.Second - 1, NewShare(100, 100)},
		{10 * time.Second, NewShare(50, 50)},
		{time.Hour - 1, NewShare(50, 50)},
		{time.Hour, Share{}},
	}
	for _, c := range cases {
		must.Eq(t, c.want, newTestHolder(t).ActiveShare(start.Add(c.after)), must.Sprintf("after %s", c.after))
	}
}

// Guards against a wait after which the request is still refused, and against an
// unbounded wait for a cost that the share never admits.
func TestRetryAfterIsSufficient(t *testing.T) {
	h := newTestHolder(t)
	now := start.Add(time.Second)
	must.True(t, h.Allow(100, now).Allowed)
	refused := h.Allow(30, now)
	must.Eq(t, Decision{RetryAfter: 300 * time.Millisecond, Reason: ReasonRateExceeded}, refused)
	must.False(t, h.Allow(30, now.Add(refused.RetryAfter-time.Millisecond)).Allowed)
	must.True(t, h.Allow(30, now.Add(refused.RetryAfter)).Allowed)
	must.Eq(t, ReasonShareTooSmall, h.Allow(101, now).Reason)
}

// Guards against writes more often than the policy allows when steps come fast
// and each write meets a conflict.
func TestWritesKeepTheGap(t *testing.T) {
	h := newTestHolder(t)
	writes := 0
	for i := range 1000 {
		now := start.Add(time.Second + time.Duration(i)*100*time.Millisecond)
		if p, due := h.Propose(now); due {
			writes++
			h.WriteFailed(p, now)
		}
	}
	must.Between(t, 20, writes, 100)
}

// Guards against memory that grows with each write of unknown outcome during a
// long outage, and against a holder that then never writes again.
func TestOpenWritesAreBounded(t *testing.T) {
	h := newTestHolder(t)
	for i := range 1000 {
		h.Propose(start.Add(time.Duration(i) * time.Second))
	}
	must.Between(t, maxOpen+10, len(h.attempts), maxOpen+100)
}

// Guards against tokens that appear or stay when a share changes, and against a
// clock reading from before the last one.
func TestBucketShareChanges(t *testing.T) {
	b := NewBucket(NewShare(10, 20), true, start)
	b.SetShare(NewShare(10, 5), start)
	must.Eq(t, 5, b.Tokens())
	b.SetShare(NewShare(10, 50), start)
	must.Eq(t, 5, b.Tokens())
	b.Advance(start.Add(time.Second))
	b.Advance(start)
	must.Eq(t, 15, b.Tokens())
	must.False(t, b.Take(-1, start))
	must.False(t, b.Take(15.5, start))
	must.True(t, b.Take(15, start))
}

// BenchmarkAllow measures the hot path of a limit that one goroutine uses.
func BenchmarkAllow(b *testing.B) {
	m := NewManager(Options{Table: memory.New(), ID: "a/1", Instance: "a"})
	must.NoError(b, m.SetLimits(1, []Limit{{Name: "acme", RatePerSecond: 1e6, Burst: 1e6}}))
	must.SliceEmpty(b, m.Sync(b.Context()))
	for b.Loop() {
		m.Allow("acme", 1, time.Now())
	}
}
