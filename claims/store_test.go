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

// instancePair is a test with two entry instances that use the same platform.
type instancePair struct {
	*testing.T
	db   *memory.Store
	a, b *instance
}

// response is the response of the backend server.
var response = Response{Status: 201, Body: []byte("order 7")}

// mustClaim calls Begin, which must return a claim.
func (p instancePair) mustClaim(i *instance, r Request) *Claim {
	p.Helper()
	c, prior, err := i.Begin(context.Background(), r)
	must.NoError(p, err)
	must.Nil(p, prior)
	must.NotNil(p, c)
	return c
}

// mustClaimAndSend claims a request and marks it as sent.
func (p instancePair) mustClaimAndSend(i *instance, r Request) *Claim {
	p.Helper()
	c := p.mustClaim(i, r)
	must.True(p, c.MayStart(time.Now()))
	must.NoError(p, c.MarkSent(time.Now()))
	return c
}

// mustGetPrior calls Begin, which must return an earlier claim with the decision.
func (p instancePair) mustGetPrior(i *instance, r Request, want Decision) {
	p.Helper()
	c, prior, err := i.Begin(context.Background(), r)
	must.NoError(p, err)
	must.Nil(p, c)
	must.Eq(p, want, prior.Decision)
	if want == DecisionStoredResponse {
		must.Eq(p, response, *prior.Response)
	}
}

// mustFailBegin calls Begin, which must return an error of type E.
func mustFailBegin[E error](p instancePair, i *instance, r Request) {
	p.Helper()
	c, prior, err := i.Begin(context.Background(), r)
	must.Nil(p, c)
	must.Nil(p, prior)
	mustErrorAs[E](p.T, err)
}

// mustErrorAs checks that err is or wraps an error of type E.
func mustErrorAs[E error](t *testing.T, err error) {
	t.Helper()
	var typed E
	must.True(t, errors.As(err, &typed), must.Sprintf("error is of type %T (%v), want %T", err, err, typed))
}

var (
	platformDown = callFault{Unavailable: true}
	replyLost    = callFault{LoseReply: true}
)

// Each case has one fault or special order of events. It guards against a request that
// runs twice, a caller that is wrongly told that its request did not run, or a lost
// response.
var faultCases = []struct {
	name string
	run  func(instancePair)
}{
	{"two instances claim one key at the same time", func(p instancePair) {
		var claims [2]*Claim
		var wg sync.WaitGroup
		for n, i := range []*instance{p.a, p.b} {
			wg.Go(func() { claims[n], _, _ = i.Begin(context.Background(), orderRequest("x")) })
		}
		wg.Wait()
		must.NotEq(p, claims[0] == nil, claims[1] == nil)
	}},
	{"repeated request gets the stored response", func(p instancePair) {
		c := p.mustClaimAndSend(p.a, orderRequest("x"))
		p.mustGetPrior(p.a, orderRequest("x"), DecisionInProgress)
		p.mustGetPrior(p.b, orderRequest("x"), DecisionInProgress)
		must.NoError(p, c.Complete(context.Background(), response))
		p.mustGetPrior(p.a, orderRequest("x"), DecisionStoredResponse)
		p.mustGetPrior(p.b, orderRequest("x"), DecisionStoredResponse)
	}},
	{"replies lost when writing the claim, the response and the release", func(p instancePair) {
		p.a.link.setFaults(callFault{}, replyLost)
		c := p.mustClaimAndSend(p.a, orderRequest("x"))
		p.a.link.setFaults(callFault{}, replyLost)
		must.NoError(p, c.Complete(context.Background(), response))
		p.mustGetPrior(p.b, orderRequest("x"), DecisionStoredResponse)
		other := p.mustClaim(p.a, orderRequestWithKey("k2", "x"))
		p.a.link.setFaults(callFault{}, replyLost)
		must.NoError(p, other.Release(context.Background()))
		p.mustClaim(p.b, orderRequestWithKey("k2", "x"))
	}},
	{"claim write applied after Begin has failed", func(p instancePair) {
		p.a.link.setFaults(callFault{}, callFault{ApplyLate: time.Minute}, platformDown, platformDown)
		mustFailBegin[*ClaimNotWrittenError](p, p.a, orderRequest("x"))
		time.Sleep(2 * time.Minute)
		p.mustClaim(p.b, orderRequest("x"))
	}},
	{"release write applied after the key was claimed again", func(p instancePair) {
		c := p.mustClaim(p.a, orderRequest("x"))
		p.a.link.setFaults(callFault{}, callFault{ApplyLate: time.Minute})
		must.NoError(p, c.Release(context.Background()))
		p.mustClaimAndSend(p.b, orderRequest("x"))
		time.Sleep(2 * time.Minute)
		p.mustGetPrior(p.a, orderRequest("x"), DecisionInProgress)
	}},
	{"instance killed after the claim", func(p instancePair) {
		p.mustClaim(p.a, orderRequest("x"))
		p.a.kill()
		p.mustGetPrior(p.b, orderRequest("x"), DecisionInProgress)
		time.Sleep(DefaultInProgressTimeout)
		p.mustGetPrior(p.b, orderRequest("x"), DecisionOutcomeUnknown)
	}},
	{"claimant known to be gone", func(p instancePair) {
		p.mustClaimAndSend(p.a, orderRequest("x"))
		p.a.kill()
		c := newInstance(p.db, "c", 3, func(c *Config) {
			c.Liveness = func(claimant Claimant) Liveness {
				must.Eq(p, Claimant{Instance: "a", BootID: 1}, claimant)
				return ClaimantGone
			}
		})
		defer c.kill()
		p.mustGetPrior(c, orderRequest("x"), DecisionOutcomeUnknown)
	}},
	{"claimant paused beyond its start deadline", func(p instancePair) {
		c := p.mustClaim(p.a, orderRequest("x"))
		time.Sleep(time.Until(c.Deadline()))
		must.False(p, c.MayStart(time.Now()))
		mustErrorAs[*StartNotAllowedError](p.T, c.MarkSent(time.Now()))
		must.NoError(p, c.Release(context.Background()))
		p.mustClaim(p.b, orderRequest("x"))
	}},
	{"start deadline counts from before a slow claim write", func(p instancePair) {
		p.a.link.setFaults(callFault{}, callFault{Delay: 900 * time.Millisecond})
		beforeClaim := time.Now()
		must.Eq(p, beforeClaim.Add(DefaultStartTimeout), p.mustClaim(p.a, orderRequest("x")).Deadline())
	}},
	{"claimant paused until its row was swept", func(p instancePair) {
		c := p.mustClaim(p.a, orderRequest("x"))
		time.Sleep(Retention + RetentionMargin + time.Second)
		result, err := p.b.Sweep(context.Background(), time.Now(), "")
		must.NoError(p, err)
		must.Eq(p, SweepResult{Scanned: 1, Removed: 1}, result)
		p.mustClaimAndSend(p.b, orderRequest("x"))
		mustErrorAs[*StartNotAllowedError](p.T, c.MarkSent(time.Now()))
		mustErrorAs[*RowChangedError](p.T, c.Release(context.Background()))
		p.mustGetPrior(p.b, orderRequest("x"), DecisionInProgress)
	}},
	{"sweep keeps a recent claim and a row that is claimed again during the sweep", func(p instancePair) {
		must.NoError(p, p.mustClaim(p.a, orderRequest("x")).Release(context.Background()))
		time.Sleep(Retention + RetentionMargin)
		p.mustClaimAndSend(p.a, orderRequestWithKey("recent", "x"))
		p.b.link.setFaults(callFault{}, callFault{Delay: 500 * time.Millisecond})
		time.AfterFunc(100*time.Millisecond, func() { p.mustClaimAndSend(p.a, orderRequest("x")) })
		result, err := p.b.Sweep(context.Background(), time.Now(), "")
		must.NoError(p, err)
		must.Eq(p, SweepResult{Scanned: 2}, result)
		p.mustGetPrior(p.b, orderRequest("x"), DecisionInProgress)
		p.b.link.setFaults(callFault{})
		result, err = p.b.Sweep(context.Background(), time.Now(), "")
		must.NoError(p, err)
		must.Eq(p, SweepResult{Scanned: 2}, result)
		p.mustGetPrior(p.b, orderRequestWithKey("recent", "x"), DecisionInProgress)
	}},
	{"platform down when writing the claim", func(p instancePair) {
		p.a.link.setFaults(platformDown)
		mustFailBegin[*ClaimNotWrittenError](p, p.a, orderRequest("x"))
		p.a.link.setFaults(callFault{})
		p.mustClaim(p.a, orderRequest("x"))
	}},
	{"platform down when writing the response", func(p instancePair) {
		c := p.mustClaimAndSend(p.a, orderRequest("x"))
		p.a.link.setFaults(platformDown)
		mustErrorAs[*UpdatePendingError](p.T, c.Complete(context.Background(), response))
		p.mustGetPrior(p.a, orderRequest("x"), DecisionStoredResponse)
		p.mustGetPrior(p.b, orderRequest("x"), DecisionInProgress)
		time.Sleep(DefaultInProgressTimeout)
		p.mustGetPrior(p.b, orderRequest("x"), DecisionOutcomeUnknown)
		p.a.link.setFaults(callFault{})
		time.Sleep(maxRetryDelay)
		p.mustGetPrior(p.b, orderRequest("x"), DecisionStoredResponse)
	}},
	{"platform down for longer than the retry timeout", func(p instancePair) {
		c := p.mustClaimAndSend(p.a, orderRequest("x"))
		p.a.link.setFaults(platformDown)
		mustErrorAs[*UpdatePendingError](p.T, c.Complete(context.Background(), response))
		time.Sleep(DefaultRetryTimeout + time.Minute)
		p.a.link.setFaults(callFault{})
		time.Sleep(time.Hour)
		p.mustGetPrior(p.a, orderRequest("x"), DecisionOutcomeUnknown)
		p.mustGetPrior(p.b, orderRequest("x"), DecisionInProgress)
	}},
	{"platform down when writing the release", func(p instancePair) {
		c := p.mustClaim(p.a, orderRequest("x"))
		p.a.link.setFaults(platformDown)
		mustErrorAs[*UpdatePendingError](p.T, c.Release(context.Background()))
		mustErrorAs[*StartNotAllowedError](p.T, c.MarkSent(time.Now()))
		p.mustGetPrior(p.b, orderRequest("x"), DecisionInProgress)
		p.a.link.setFaults(callFault{})
		time.Sleep(maxRetryDelay)
		p.mustClaim(p.b, orderRequest("x"))
	}},
	{"platform down when reading the earlier claim", func(p instancePair) {
		p.mustClaimAndSend(p.b, orderRequest("x"))
		p.a.link.setFaults(platformDown, callFault{})
		mustFailBegin[*PriorClaimUnreadableError](p, p.a, orderRequest("x"))
	}},
	{"platform down when a request that ran is repeated", func(p instancePair) {
		c := p.mustClaimAndSend(p.a, orderRequest("x"))
		must.NoError(p, c.Complete(context.Background(), response))
		p.mustGetPrior(p.b, orderRequest("x"), DecisionStoredResponse)
		p.a.link.setFaults(platformDown)
		p.b.link.setFaults(platformDown)
		mustFailBegin[*PriorClaimUnreadableError](p, p.a, orderRequest("x"))
		mustFailBegin[*PriorClaimUnreadableError](p, p.b, orderRequest("x"))
		mustFailBegin[*ClaimNotWrittenError](p, p.b, orderRequestWithKey("new", "x"))
	}},
	{"platform down after this instance saw the release", func(p instancePair) {
		c := p.mustClaim(p.a, orderRequest("x"))
		p.mustGetPrior(p.b, orderRequest("x"), DecisionInProgress)
		must.NoError(p, c.Release(context.Background()))
		must.NoError(p, p.mustClaim(p.b, orderRequest("x")).Release(context.Background()))
		p.b.link.setFaults(platformDown)
		mustFailBegin[*ClaimNotWrittenError](p, p.b, orderRequest("x"))
	}},
	{"response too large for the row", func(p instancePair) {
		large := Response{Status: 201, Body: bytes.Repeat([]byte("x"), MaxInlineResponseBytes+1)}
		c := p.mustClaimAndSend(p.a, orderRequest("x"))
		p.a.link.setFaults(callFault{}, replyLost)
		mustErrorAs[*UpdatePendingError](p.T, c.Complete(context.Background(), large))
		time.Sleep(time.Second)
		_, prior, err := p.b.Begin(context.Background(), orderRequest("x"))
		must.NoError(p, err)
		must.Eq(p, &large, prior.Response)
		p.b.link.setFaults(platformDown, callFault{}, callFault{})
		mustFailBegin[*PriorClaimUnreadableError](p, p.b, orderRequest("x"))
	}},
	{"one key with different requests", func(p instancePair) {
		c := p.mustClaim(p.a, orderRequest("x"))
		mustFailBegin[*KeyReusedError](p, p.a, orderRequest("y"))
		mustFailBegin[*KeyReusedError](p, p.b, orderRequest("y"))
		must.NoError(p, c.Release(context.Background()))
		p.mustClaim(p.b, orderRequest("y"))
	}},
	{"conflict of one row in a batch", func(p instancePair) {
		p.mustClaimAndSend(p.b, orderRequestWithKey("1", "x"))
		before := p.db.Counts()
		var claimed [3]*Claim
		var wg sync.WaitGroup
		for n, key := range []string{"0", "1", "2"} {
			wg.Go(func() { claimed[n], _, _ = p.a.Begin(context.Background(), orderRequestWithKey(key, "x")) })
		}
		wg.Wait()
		must.NotNil(p, claimed[0])
		must.Nil(p, claimed[1])
		must.NotNil(p, claimed[2])
		must.Eq(p, 2, p.db.Counts().Transactions-before.Transactions)
		must.Eq(p, 1, p.db.Counts().RowReads-before.RowReads)
	}},
	{"two concurrent writes of one row", func(p instancePair) {
		results := make(chan writeResult, 2)
		for range 2 {
			go func() {
				res, _, _ := p.a.writer.submit(context.Background(), newRowWrite(tablestore.Write{Key: "row"}, nil))
				results <- res
			}()
		}
		first, second := <-results, <-results
		must.NoError(p, errors.Join(first.err, second.err))
		must.Eq(p, writeApplied+writeConflict, first.status+second.status)
	}},
	{"caller cancels while its batch is in flight", func(p instancePair) {
		p.a.link.setFaults(callFault{}, callFault{Delay: 100 * time.Millisecond})
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		var other *Claim
		var wg sync.WaitGroup
		wg.Go(func() { other = p.mustClaim(p.a, orderRequestWithKey("2", "x")) })
		_, _, err := p.a.Begin(ctx, orderRequest("x"))
		mustErrorAs[*ClaimNotWrittenError](p.T, err)
		wg.Wait()
		must.NoError(p, other.MarkSent(time.Now()))
		time.Sleep(time.Second)
		p.mustClaim(p.b, orderRequest("x"))
	}},
	{"calls that the state of the claim does not allow", func(p instancePair) {
		c := p.mustClaim(p.a, orderRequest("x"))
		mustErrorAs[*StateError](p.T, c.Complete(context.Background(), response))
		must.NoError(p, c.MarkSent(time.Now()))
		must.False(p, c.MayStart(time.Now()))
		mustErrorAs[*StartNotAllowedError](p.T, c.MarkSent(time.Now()))
		mustErrorAs[*StateError](p.T, c.Release(context.Background()))
		must.NoError(p, c.Abandon(context.Background()))
		mustErrorAs[*StateError](p.T, c.Complete(context.Background(), response))
		p.mustGetPrior(p.b, orderRequest("x"), DecisionOutcomeUnknown)
	}},
	{"Close waits until responses are stored", func(p instancePair) {
		c := p.mustClaimAndSend(p.a, orderRequest("x"))
		p.a.link.setFaults(platformDown)
		mustErrorAs[*UpdatePendingError](p.T, c.Complete(context.Background(), response))
		time.AfterFunc(time.Minute, func() { p.a.link.setFaults(callFault{}) })
		must.NoError(p, p.a.Close(context.Background()))
		mustFailBegin[*ClaimNotWrittenError](p, p.a, orderRequestWithKey("2", "x"))
		p.mustGetPrior(p.b, orderRequest("x"), DecisionStoredResponse)
	}},
}

func TestAtMostOnceWithSingleFaults(t *testing.T) {
	for _, tc := range faultCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				db := memory.New()
				p := instancePair{T: t, db: db, a: newInstance(db, "a", 1), b: newInstance(db, "b", 2)}
				defer p.a.kill()
				defer p.b.kill()
				tc.run(p)
			})
		})
	}
}
