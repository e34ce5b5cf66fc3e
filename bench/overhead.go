package bench

import (
	"context"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jacinthrack/jacinthrack/caller"
)

// measureOverhead measures pairs of direct and forwarded requests. The two kinds
// alternate so that both meet the same state of the machine. It returns nil if the
// plan has no overhead comparison or ctx has ended.
func (r *runner) measureOverhead(ctx context.Context) *OverheadResult {
	o := r.plan.Overhead
	if o == nil || ctx.Err() != nil {
		return nil
	}
	direct, forwarded := newHistogram(), newHistogram()
	out := &OverheadResult{}
	// The first pair also opens connections and looks up instances, so it is not
	// counted.
	r.measurePair(ctx, *o, newHistogram(), newHistogram())
	for range o.Pairs {
		if sleepUntil(ctx, time.Now().Add(o.Pause.Std())) != nil {
			break
		}
		if r.measurePair(ctx, *o, direct, forwarded) {
			out.Pairs++
			continue
		}
		out.FailedPairs++
	}
	out.Direct, out.Forwarded = summarize(direct), summarize(forwarded)
	out.P50Ratio = durationRatio(out.Forwarded.P50.Std(), out.Direct.P50.Std())
	out.P99Ratio = durationRatio(out.Forwarded.P99.Std(), out.Direct.P99.Std())
	return out
}

// measurePair sends a direct and a forwarded request and records their latencies if
// both succeed. It reports whether they did.
func (r *runner) measurePair(ctx context.Context, o OverheadPlan, direct, forwarded *hdrhistogram.Histogram) bool {
	ctx, cancel := context.WithTimeout(ctx, r.plan.Timeout.Std())
	defer cancel()
	started := time.Now()
	status, _, err := r.get(ctx, "http://"+o.DirectAddress+o.DirectPath)
	directLatency := time.Since(started)
	if err != nil || status != http.StatusOK {
		return false
	}
	started = time.Now()
	client := r.callers[r.plan.customerIndex(o.Customer)]
	resp, err := client.Do(ctx, &caller.Request{Route: o.Route, Path: o.Path})
	forwardedLatency := time.Since(started)
	if err != nil || resp.Status != http.StatusOK {
		return false
	}
	recordLatency(direct, directLatency)
	recordLatency(forwarded, forwardedLatency)
	return true
}

// durationRatio returns a/b, or 0 if b is 0.
func durationRatio(a, b time.Duration) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
