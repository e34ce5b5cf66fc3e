package bench

import (
	"context"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jacinthrack/jacinthrack/caller"
)

// compareOverhead measures pairs of direct and forwarded requests, alternately,
// so that both see the same machine. It returns nil if the plan has none.
func (r *run) compareOverhead(ctx context.Context) *OverheadResult {
	o := r.plan.Overhead
	if o == nil || ctx.Err() != nil {
		return nil
	}
	direct, forwarded := newHistogram(), newHistogram()
	out := &OverheadResult{}
	// The first pair opens connections and looks up; it is not counted.
	r.overheadPair(ctx, *o, newHistogram(), newHistogram())
	for range o.Pairs {
		if sleepUntil(ctx, time.Now().Add(o.Pause.Std())) != nil {
			break
		}
		if r.overheadPair(ctx, *o, direct, forwarded) {
			out.Pairs++
			continue
		}
		out.FailedPairs++
	}
	out.Direct, out.Forwarded = summarize(direct), summarize(forwarded)
	out.P50Ratio = ratio(out.Forwarded.P50.Std(), out.Direct.P50.Std())
	out.P99Ratio = ratio(out.Forwarded.P99.Std(), out.Direct.P99.Std())
	return out
}

// overheadPair records a pair if both requests succeed.
func (r *run) overheadPair(ctx context.Context, o OverheadPlan, direct, forwarded *hdrhistogram.Histogram) bool {
	ctx, cancel := context.WithTimeout(ctx, r.plan.Timeout.Std())
	defer cancel()
	started := time.Now()
	status, _, err := r.get(ctx, "http://"+o.DirectAddress+o.DirectPath)
	directTime := time.Since(started)
	if err != nil || status != http.StatusOK {
		return false
	}
	started = time.Now()
	client := r.callers[r.plan.customer(o.Customer)]
	resp, err := client.Do(ctx, &caller.Request{Route: o.Route, Path: o.Path})
	forwardedTime := time.Since(started)
	if err != nil || resp.Status != http.StatusOK {
		return false
	}
	record(direct, directTime)
	record(forwarded, forwardedTime)
	return true
}

// ratio returns a/b, and 0 if b is 0.
func ratio(a, b time.Duration) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
