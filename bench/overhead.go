package bench

import (
	"context"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jacinthrack/jacinthrack/caller"
)

// measureOverhead measures pairs of direct and forwarded requests, alternately,
// so that both see the same machine. It returns nil if the plan has none.
func (r *runner) measureOverhead(ctx context.Context) *OverheadRatio {
	o := r.plan.Overhead
	if o == nil || ctx.Err() != nil {
		return nil
	}
	direct, forwarded := newHistogram(), newHistogram()
	out := &OverheadRatio{}
	// The first pair opens connections and looks up; it is not counted.
	r.measurePair(ctx, *o, newHistogram(), newHistogram())
	for range o.Samples {
		if sleepUntil(ctx, time.Now().Add(o.Pause.Std())) != nil {
			break
		}
		if r.measurePair(ctx, *o, direct, forwarded) {
			out.Samples++
			continue
		}
		out.Failed++
	}
	out.Direct, out.Forwarded = summarize(direct), summarize(forwarded)
	out.P50 = durationRatio(out.Forwarded.P50.Std(), out.Direct.P50.Std())
	out.P99 = durationRatio(out.Forwarded.P99.Std(), out.Direct.P99.Std())
	return out
}

// measurePair records a pair if both requests succeed.
func (r *runner) measurePair(ctx context.Context, o Overhead, direct, forwarded *hdrhistogram.Histogram) bool {
	ctx, cancel := context.WithTimeout(ctx, r.plan.Timeout.Std())
	defer cancel()
	started := time.Now()
	status, _, err := r.get(ctx, "http://"+o.Direct+o.DirectPath)
	directTime := time.Since(started)
	if err != nil || status != http.StatusOK {
		return false
	}
	started = time.Now()
	client := r.callers[r.plan.customerIndex(o.Customer)]
	resp, err := client.Do(ctx, &caller.Request{Route: o.Route, Path: o.Path})
	forwardedTime := time.Since(started)
	if err != nil || resp.Status != http.StatusOK {
		return false
	}
	recordLatency(direct, directTime)
	recordLatency(forwarded, forwardedTime)
	return true
}

// durationRatio returns a/b, and 0 if b is 0.
func durationRatio(a, b time.Duration) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
