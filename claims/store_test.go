package claims

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore"
	"github.com/jacinthrack/jacinthrack/tablestore/memory"
	"github.com/shoenig/test/must"
)

// pair is two entry instances at one platform.
type pair struct {
	*testing.T
	db   *memory.Store
	a, b *instance
}

var response = Response{Status: 201, Body: []byte("order 7")}

// claim begins a request that must get a claim.
func (p pair) claim(i *instance, r Request) *Claim {
	p.Helper()
	c, prior, err := i.Begin(context.Background(), r)
	must.NoError(p, err)
	must.Nil(p, prior)
	must.NotNil(p, c)
	return c
}

// run begins and sends a request.
func (p pair) run(i *instance, r Request) *Claim {
	p.Helper()
	c := p.claim(i, r)
	must.True(p, c.MayStart(time.Now()))
	must.NoError(p, c.MarkSent(time.Now()))
	return c
}

// gets begins a request that must get a prior answer.
func (p pair) gets(i *instance, r Request, want Decision) {
	p.Helper()
	c, prior, err := i.Begin(context.Background(), r)
	must.NoError(p, err)
	must.Nil(p, c)
	must.Eq(p, want, prior.Decision)
	if want == DecisionStoredResponse {
		must.Eq(p, response, *prior.Response)
	}
}

// fails begins a request that must fail with an error of type E.
func fails[E error](p pair, i *instance, r Request) {
	p.Helper()
	c, prior, err := i.Begin(context.Background(), r)
	must.Nil(p, c)
	must.Nil(p, prior)
	mustBe[E](p.T, err)
}

func mustBe[E error](t *testing.T, err error) {
	t.Helper()
	var typed E
	must.True(t, errors.As(err, &typed), must.Sprintf("error is %T (%v), want %T", err, err, typed))
}

var (
	down = callFault{Down: true}
	lose = callFault{Lose: true}
)

// Each case guards against a second execution, a false "not run" or a lost
// response after one fault.
var faultCases = []struct {
	name string
	run  func(pair)
}{
	{"two instances at once with one key", func(p pair) {
		var claims [2]*Claim
		var wg sync.WaitGroup
		for n, i := range []*instance{p.a, p.b} {
			wg.Go(func() { claims[n], _, _ = i.Begin(context.Background(), order("x")) })
		}
		wg.Wait()
		must.NotEq(p, claims[0] == nil, claims[1] == nil)
	}},
	{"resend gets the stored response", func(p pair) {
		c := p.run(p.a, order("x"))
		p.gets(p.a, order("x"), DecisionInProgress)
		p.gets(p.b, order("x"), DecisionInProgress)
		must.NoError(p, c.Complete(context.Background(), response))
		p.gets(p.a, order("x"), DecisionStoredResponse)
		p.gets(p.b, order("x"), DecisionStoredResponse)
	}},
	{"reply lost at claim, outcome and release", func(p pair) {
		p.a.link.set(callFault{}, lose)
		c := p.run(p.a, order("x"))
		p.a.link.set(callFault{}, lose)
		must.NoError(p, c.Complete(context.Background(), response))
		p.gets(p.b, order("x"), DecisionStoredResponse)
		other := p.claim(p.a, orderWithKey("k2", "x"))
		p.a.link.set(callFault{}, lose)
		must.NoError(p, other.Release(context.Background()))
		p.claim(p.b, orderWithKey("k2", "x"))
	}},
	{"claim write arrives after the claimant gave up", func(p pair) {
		p.a.link.set(callFault{}, callFault{Late: time.Minute}, down, down)
		fails[*ClaimNotWrittenError](p, p.a, order("x"))
		time.Sleep(2 * time.Minute)
		p.claim(p.b, order("x"))
	}},
	{"release write arrives after the key was claimed again", func(p pair) {
		c := p.claim(p.a, order("x"))
		p.a.link.set(callFault{}, callFault{Late: time.Minute})
		must.NoError(p, c.Release(context.Background()))
		p.run(p.b, order("x"))
		time.Sleep(2 * time.Minute)
		p.gets(p.a, order("x"), DecisionInProgress)
	}},
	{"instance dies after the claim", func(p pair) {
		p.claim(p.a, order("x"))
		p.a.kill()
		p.gets(p.b, order("x"), DecisionInProgress)
		time.Sleep(DefaultInProgressTimeout)
		p.gets(p.b, order("x"), DecisionOutcomeUnknown)
	}},
	{"instance is known to be gone", func(p pair) {
		p.run(p.a, order("x"))
		p.a.kill()
		c := newInstance(p.db, "c", 3, func(c *Config) {
			c.Liveness = func(who Claimant) Liveness {
				must.Eq(p, Claimant{Instance: "a", BootID: 1}, who)
				return ClaimantGone
			}
		})
		defer c.kill()
		p.gets(c, order("x"), DecisionOutcomeUnknown)
	}},
	{"claimant wakes after its deadline", func(p pair) {
		c := p.claim(p.a, order("x"))
		time.Sleep(time.Until(c.Deadline()))
		must.False(p, c.MayStart(time.Now()))
		mustBe[*StartNotAllowedError](p.T, c.MarkSent(time.Now()))
		must.NoError(p, c.Release(context.Background()))
		p.claim(p.b, order("x"))
	}},
	{"deadline counts from before a slow claim write", func(p pair) {
		p.a.link.set(callFault{}, callFault{Delay: 900 * time.Millisecond})
		began := time.Now()
		must.Eq(p, began.Add(DefaultStartTimeout), p.claim(p.a, order("x")).Deadline())
	}},
	{"claimant wakes after the sweep", func(p pair) {
		c := p.claim(p.a, order("x"))
		time.Sleep(Retention + RetentionMargin + time.Second)
		result, err := p.b.Sweep(context.Background(), time.Now(), "")
		must.NoError(p, err)
		must.Eq(p, SweepResult{Scanned: 1, Removed: 1}, result)
		p.run(p.b, order("x"))
		mustBe[*StartNotAllowedError](p.T, c.MarkSent(time.Now()))
		mustBe[*RowChangedError](p.T, c.Release(context.Background()))
		p.gets(p.b, order("x"), DecisionInProgress)
	}},
	{"sweep meets a young claim and one that replaces a released row", func(p pair) {
		must.NoError(p, p.claim(p.a, order("x")).Release(context.Background()))
		time.Sleep(Retention + RetentionMargin)
		p.run(p.a, orderWithKey("young", "x"))
		p.b.link.set(callFault{}, callFault{Delay: 500 * time.Millisecond})
		time.AfterFunc(100*time.Millisecond, func() { p.run(p.a, order("x")) })
		result, err := p.b.Sweep(context.Background(), time.Now(), "")
		must.NoError(p, err)
		must.Eq(p, SweepResult{Scanned: 2}, result)
		p.gets(p.b, order("x"), DecisionInProgress)
		p.b.link.set(callFault{})
		result, err = p.b.Sweep(context.Background(), time.Now(), "")
		must.NoError(p, err)
		must.Eq(p, SweepResult{Scanned: 2}, result)
		p.gets(p.b, orderWithKey("young", "x"), DecisionInProgress)
	}},
	{"platform down at the claim", func(p pair) {
		p.a.link.set(down)
		fails[*ClaimNotWrittenError](p, p.a, order("x"))
		p.a.link.set(callFault{})
		p.claim(p.a, order("x"))
	}},
	{"platform down at the outcome", func(p pair) {
		c := p.run(p.a, order("x"))
		p.a.link.set(down)
		mustBe[*UpdatePendingError](p.T, c.Complete(context.Background(), response))
		p.gets(p.a, order("x"), DecisionStoredResponse)
		p.gets(p.b, order("x"), DecisionInProgress)
		time.Sleep(DefaultInProgressTimeout)
		p.gets(p.b, order("x"), DecisionOutcomeUnknown)
		p.a.link.set(callFault{})
		time.Sleep(lastRetryDelay)
		p.gets(p.b, order("x"), DecisionStoredResponse)
	}},
	{"platform down for longer than the retries", func(p pair) {
		c := p.run(p.a, order("x"))
		p.a.link.set(down)
		mustBe[*UpdatePendingError](p.T, c.Complete(context.Background(), response))
		time.Sleep(DefaultRetryTimeout + time.Minute)
		p.a.link.set(callFault{})
		time.Sleep(time.Hour)
		p.gets(p.a, order("x"), DecisionOutcomeUnknown)
		p.gets(p.b, order("x"), DecisionInProgress)
	}},
	{"platform down at the release", func(p pair) {
		c := p.claim(p.a, order("x"))
		p.a.link.set(down)
		mustBe[*UpdatePendingError](p.T, c.Release(context.Background()))
		mustBe[*StartNotAllowedError](p.T, c.MarkSent(time.Now()))
		p.gets(p.b, order("x"), DecisionInProgress)
		p.a.link.set(callFault{})
		time.Sleep(lastRetryDelay)
		p.claim(p.b, order("x"))
	}},
	{"platform down while the earlier claim is read", func(p pair) {
		p.run(p.b, order("x"))
		p.a.link.set(down, callFault{})
		fails[*PriorClaimUnreadableError](p, p.a, order("x"))
	}},
	{"platform down when an order that ran is sent again", func(p pair) {
		c := p.run(p.a, order("x"))
		must.NoError(p, c.Complete(context.Background(), response))
		p.gets(p.b, order("x"), DecisionStoredResponse)
		p.a.link.set(down)
		p.b.link.set(down)
		fails[*PriorClaimUnreadableError](p, p.a, order("x"))
		fails[*PriorClaimUnreadableError](p, p.b, order("x"))
		fails[*ClaimNotWrittenError](p, p.b, orderWithKey("new", "x"))
	}},
	{"platform down after a release was seen", func(p pair) {
		c := p.claim(p.a, order("x"))
		p.gets(p.b, order("x"), DecisionInProgress)
		must.NoError(p, c.Release(context.Background()))
		must.NoError(p, p.claim(p.b, order("x")).Release(context.Background()))
		p.b.link.set(down)
		fails[*ClaimNotWrittenError](p, p.b, order("x"))
	}},
	{"large outcome", func(p pair) {
		large := Response{Status: 201, Body: bytes.Repeat([]byte("x"), MaxInlineResponseBytes+1)}
		c := p.run(p.a, order("x"))
		p.a.link.set(callFault{}, lose)
		mustBe[*UpdatePendingError](p.T, c.Complete(context.Background(), large))
		time.Sleep(time.Second)
		_, prior, err := p.b.Begin(context.Background(), order("x"))
		must.NoError(p, err)
		must.Eq(p, &large, prior.Response)
		p.b.link.set(down, callFault{}, callFault{})
		fails[*PriorClaimUnreadableError](p, p.b, order("x"))
	}},
	{"one key with different requests", func(p pair) {
		c := p.claim(p.a, order("x"))
		fails[*KeyReusedError](p, p.a, order("y"))
		fails[*KeyReusedError](p, p.b, order("y"))
		must.NoError(p, c.Release(context.Background()))
		p.claim(p.b, order("y"))
	}},
	{"conflict in a batch", func(p pair) {
		p.run(p.b, orderWithKey("1", "x"))
		before := p.db.Counts()
		var claimed [3]*Claim
		var wg sync.WaitGroup
		for n, key := range []string{"0", "1", "2"} {
			wg.Go(func() { claimed[n], _, _ = p.a.Begin(context.Background(), orderWithKey(key, "x")) })
		}
		wg.Wait()
		must.NotNil(p, claimed[0])
		must.Nil(p, claimed[1])
		must.NotNil(p, claimed[2])
		must.Eq(p, 2, p.db.Counts().Transactions-before.Transactions)
		must.Eq(p, 1, p.db.Counts().RowReads-before.RowReads)
	}},
	{"two writes of one row at once", func(p pair) {
		results := make(chan writeResult, 2)
		for range 2 {
			go func() {
				res, _, _ := p.a.writer.do(context.Background(), newRowWrite(tablestore.Write{Key: "row"}, nil))
				results <- res
			}()
		}
		first, second := <-results, <-results
		must.NoError(p, errors.Join(first.err, second.err))
		must.Eq(p, fateApplied+fateConflict, first.fate+second.fate)
	}},
	{"caller leaves while its batch is in flight", func(p pair) {
		p.a.link.set(callFault{}, callFault{Delay: 100 * time.Millisecond})
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		var other *Claim
		var wg sync.WaitGroup
		wg.Go(func() { other = p.claim(p.a, orderWithKey("2", "x")) })
		_, _, err := p.a.Begin(ctx, order("x"))
		mustBe[*ClaimNotWrittenError](p.T, err)
		wg.Wait()
		must.NoError(p, other.MarkSent(time.Now()))
		time.Sleep(time.Second)
		p.claim(p.b, order("x"))
	}},
	{"calls out of order", func(p pair) {
		c := p.claim(p.a, order("x"))
		mustBe[*StateError](p.T, c.Complete(context.Background(), response))
		must.NoError(p, c.MarkSent(time.Now()))
		must.False(p, c.MayStart(time.Now()))
		mustBe[*StartNotAllowedError](p.T, c.MarkSent(time.Now()))
		mustBe[*StateError](p.T, c.Release(context.Background()))
		must.NoError(p, c.Abandon(context.Background()))
		mustBe[*StateError](p.T, c.Complete(context.Background(), response))
		p.gets(p.b, order("x"), DecisionOutcomeUnknown)
	}},
	{"close waits for outcomes", func(p pair) {
		c := p.run(p.a, order("x"))
		p.a.link.set(down)
		mustBe[*UpdatePendingError](p.T, c.Complete(context.Background(), response))
		time.AfterFunc(time.Minute, func() { p.a.link.set(callFault{}) })
		must.NoError(p, p.a.Close(context.Background()))
		fails[*ClaimNotWrittenError](p, p.a, orderWithKey("2", "x"))
		p.gets(p.b, order("x"), DecisionStoredResponse)
	}},
}

func TestFaults(t *testing.T) {
	for _, tc := range faultCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				db := memory.New()
				p := pair{T: t, db: db, a: newInstance(db, "a", 1), b: newInstance(db, "b", 2)}
				defer p.a.kill()
				defer p.b.kill()
				tc.run(p)
			})
		})
	}
}
