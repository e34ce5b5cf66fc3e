package limits

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/tablestore/memory"
)

var startTime = time.Unix(1_000_000, 0)

// newTestHolder returns a holder that created the row at startTime, with demand for more than
// the whole limit of 100 requests per second.
func newTestHolder(t *testing.T) *ShareHolder {
	h := NewShareHolder("a/1", "a", DefaultPolicy(), startTime.Add(-time.Second))
	h.SetLimit(NewShare(100, 100), 1)
	h.demand.add(500)
	h.ObserveRow(Ledger{}, 0, startTime)
	p, due := h.Propose(startTime)
	must.True(t, due)
	h.WriteApplied(p, 1, startTime.Add(time.Second))
	return h
}

// Checks that the lease and the floor each end exactly with their own term, counted from
// before the write.
func TestSharesExpireAfterTheirTerms(t *testing.T) {
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
		must.Eq(t, c.want, newTestHolder(t).ActiveShare(startTime.Add(c.after)), must.Sprintf("after %s", c.after))
	}
}

// Checks that RetryAfter is the shortest time after which the request is admitted, and that a
// cost above the burst is rejected as larger than the share.
func TestRequestSucceedsAfterRetryAfter(t *testing.T) {
	h := newTestHolder(t)
	now := startTime.Add(time.Second)
	must.True(t, h.Allow(100, now).Allowed)
	rejected := h.Allow(30, now)
	must.Eq(t, Decision{RetryAfter: 300 * time.Millisecond, Reason: ReasonRateExceeded}, rejected)
	must.False(t, h.Allow(30, now.Add(rejected.RetryAfter-time.Millisecond)).Allowed)
	must.True(t, h.Allow(30, now.Add(rejected.RetryAfter)).Allowed)
	must.Eq(t, ReasonShareTooSmall, h.Allow(101, now).Reason)
}

// Checks that a holder writes at most once per MinWriteInterval (1 s) although it is asked for
// a write every 100 ms and each write meets a conflict. It also checks that the holder goes on
// writing: the test lasts 100 s and needs at least 20 writes.
func TestWritesRespectMinimumInterval(t *testing.T) {
	h := newTestHolder(t)
	writes := 0
	for i := range 1000 {
		now := startTime.Add(time.Second + time.Duration(i)*100*time.Millisecond)
		if p, due := h.Propose(now); due {
			writes++
			h.WriteFailed(p, now)
		}
	}
	must.Between(t, 20, writes, 100)
}

// Checks for a long outage, in which the outcome of every write is unknown, that the number of
// pending writes is bounded and the holder nevertheless continues to write.
func TestPendingWritesAreBounded(t *testing.T) {
	h := newTestHolder(t)
	for i := range 1000 {
		h.Propose(startTime.Add(time.Duration(i) * time.Second))
	}
	// After the bound, one write per lease term of 10 s is sent in the rest of the 1,000 s.
	must.Between(t, maxPendingWrites+10, len(h.pendingWrites), maxPendingWrites+100)
}

// Checks that a smaller burst drops tokens, that a larger burst adds none, that a clock
// reading earlier than the last one changes nothing, and that Take rejects a negative cost and
// one above the tokens.
func TestBucketKeepsTokensWhenShareChanges(t *testing.T) {
	b := NewBucket(NewShare(10, 20), true, startTime)
	b.SetShare(NewShare(10, 5), startTime)
	must.Eq(t, 5, b.Tokens())
	b.SetShare(NewShare(10, 50), startTime)
	must.Eq(t, 5, b.Tokens())
	b.Advance(startTime.Add(time.Second))
	b.Advance(startTime)
	must.Eq(t, 15, b.Tokens())
	must.False(t, b.Take(-1, startTime))
	must.False(t, b.Take(15.5, startTime))
	must.True(t, b.Take(15, startTime))
}

// BenchmarkAllow measures Manager.Allow without contention.
func BenchmarkAllow(b *testing.B) {
	m := NewManager(Options{Table: memory.New(), ID: "a/1", Instance: "a"})
	must.NoError(b, m.SetLimits(1, []Limit{{Name: "acme", RatePerSecond: 1e6, Burst: 1e6}}))
	must.SliceEmpty(b, m.Sync(b.Context()))
	for b.Loop() {
		m.Allow("acme", 1, time.Now())
	}
}
