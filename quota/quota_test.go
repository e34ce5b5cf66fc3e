package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// All instances together admit at most the rate and the burst, even if their
// shares shrink meanwhile.
func TestInstancesTogetherAdmitAtMostTheLimit(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 50}
	const instances = 5
	admitted := 0
	for range instances {
		b := NewBuckets(1)
		b.SetLimit("acme", limit, 1.0/instances, start)
		for ms := 0; ms < 5000; ms++ {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			if ms == 2000 {
				b.SetLimit("acme", limit, 1.0/(2*instances), now)
			}
			if ok, _ := b.TakeToken("acme", now); ok {
				admitted++
			}
		}
	}
	must.LessEq(t, int(limit.Rate*5+limit.Burst), admitted)
	must.Greater(t, int(limit.Rate*3), admitted)
}

// A request of a customer whose limit was removed, or that has none, is never rejected.
func TestCustomerWithoutLimitIsAlwaysAdmitted(t *testing.T) {
	b := NewBuckets(1)
	b.SetLimit("acme", Limit{Rate: 1, Burst: 1}, 1, start)
	b.SetLimit("acme", Limit{}, 1, start)
	for range 100 {
		ok, _ := b.TakeToken("acme", start)
		must.True(t, ok)
	}
}

// A caller that retries after the retry-after time must not be rejected again for lack of a
// token.
func TestRetryAfterSuffices(t *testing.T) {
	b := NewBuckets(1)
	b.SetLimit("acme", Limit{Rate: 4, Burst: 1}, 1, start)
	ok, _ := b.TakeToken("acme", start)
	must.True(t, ok)
	ok, wait := b.TakeToken("acme", start)
	must.False(t, ok)
	ok, _ = b.TakeToken("acme", start.Add(wait+time.Microsecond))
	must.True(t, ok)
}

// A request that did not run must not use up the customer's quota.
func TestRefundedTokenCanBeTakenAgain(t *testing.T) {
	b := NewBuckets(1)
	b.SetLimit("acme", Limit{Rate: 1, Burst: 1}, 1, start)
	ok, _ := b.TakeToken("acme", start)
	must.True(t, ok)
	b.Refund("acme")
	ok, _ = b.TakeToken("acme", start)
	must.True(t, ok)
}

// Loans move tokens and do not create any: a customer gets no more than its rate and burst,
// however often instances lend. A customer whose callers use a single instance gets most of
// its rate.
func TestLendingDoesNotExceedTheLimit(t *testing.T) {
	limit := Limit{Rate: 20, Burst: 10}
	const instances = 32
	var all [instances]*Buckets
	for i := range all {
		all[i] = NewBuckets(1)
		all[i].SetLimit("acme", limit, 1.0/instances, start)
	}
	admitted := 0
	for ms := 0; ms < 5000; ms += 5 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for _, lender := range all[1:] {
			missing := all[0].Shortfall("acme", now)
			if missing == 0 {
				break
			}
			lent, _ := lender.Lend("acme", missing, now)
			all[0].AddBorrowed("acme", lent, now)
		}
		if ok, _ := all[0].TakeToken("acme", now); ok {
			admitted++
		}
	}
	must.LessEq(t, int(limit.Rate*5+limit.Burst), admitted)
	must.Greater(t, int(0.8*limit.Rate*5), admitted)
}

// An idle instance lends all its tokens, so that a request of a small customer, whose callers
// use an instance only now and then, need not borrow from many instances. A busy instance
// keeps some for itself.
func TestIdleInstanceLendsAllItsTokens(t *testing.T) {
	limit := Limit{Rate: 20, Burst: 20}
	idle, busy := NewBuckets(1), NewBuckets(1)
	for _, b := range []*Buckets{idle, busy} {
		b.SetLimit("acme", limit, 0.1, start)
	}
	for range 5 {
		busy.TakeToken("acme", start)
	}
	now := start.Add(time.Second)
	lent, remaining := idle.Lend("acme", 2, now)
	must.Eq(t, 2, lent)
	must.Eq(t, 0, remaining)
	lent, remaining = busy.Lend("acme", 2, now)
	must.Eq(t, 1, lent)
	must.Eq(t, 1, remaining)
}

// A lender overdraws its bucket by at most half a token, so that an instance that lends all
// the time gives away at most its rate and burst and that half.
func TestLenderOverdrawsAtMostHalfAToken(t *testing.T) {
	b := NewBuckets(1)
	b.SetLimit("acme", Limit{Rate: 20, Burst: 20}, 0.1, start)
	sum := 0.0
	for ms := 0; ms < 5000; ms++ {
		lent, remaining := b.Lend("acme", 1, start.Add(time.Duration(ms)*time.Millisecond))
		must.GreaterEq(t, -0.5, remaining)
		sum += lent
	}
	must.LessEq(t, 2+2*5+0.5, sum)
	must.GreaterEq(t, 2+2*5-0.5, sum)
}

// An instance that restarts repeatedly must not grant the slack after each restart. With the
// slack, seven restarts in five seconds gave a customer 156 requests instead of at most 141.
func TestRestartedInstanceStartsWithoutSlack(t *testing.T) {
	b := NewBuckets(0.5)
	b.SetLimit("acme", Limit{Rate: 20, Burst: 10, Slack: 8}, 0.2, start)
	ok, _ := b.TakeToken("acme", start)
	must.True(t, ok)
	ok, _ = b.TakeToken("acme", start)
	must.False(t, ok)
	now := start.Add(time.Minute)
	for range 3 { // 0.2 of 18 tokens, the burst and the slack, is 3.6
		ok, _ = b.TakeToken("acme", now)
		must.True(t, ok)
	}
}
