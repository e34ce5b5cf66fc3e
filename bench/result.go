package bench

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/internal/standin/backend"
)

// Result is the outcome of a run.
type Result struct {
	Name string `json:"name"`
	Seed uint64 `json:"seed"`
	// MeasuredDuration is the part of the run after the warm-up.
	MeasuredDuration config.Duration `json:"measured"`
	Total            RequestStats    `json:"total"`
	Lookups          RequestStats    `json:"lookups"`
	Kinds            []RequestStats  `json:"kinds,omitempty"`
	Customers        []CustomerStats `json:"customers,omitempty"`
	// WorstServed names the customer with the smallest served share.
	WorstServed string `json:"worst_served,omitempty"`
	// Problems counts unsuccessful requests by problem type or kind of error.
	Problems  map[string]int  `json:"problems,omitempty"`
	Headroom  *Headroom       `json:"headroom,omitempty"`
	Drain     *DrainResult    `json:"drain,omitempty"`
	Overhead  *OverheadResult `json:"overhead,omitempty"`
	Generator GeneratorStats  `json:"generator"`
	// Executions holds the backend stand-in's counts of the requests that ran.
	Executions *backend.Summary `json:"executions,omitempty"`
	Events     []EventResult    `json:"events,omitempty"`
}

// RequestStats holds the counts and latencies of a group of requests. Sent is the sum
// of OK, RateRejected, Rejected, Failed, BadStatus and MismatchedResponses.
type RequestStats struct {
	Name string `json:"name"`
	Sent int    `json:"sent"`
	OK   int    `json:"ok"`
	// RateRejected counts rejections for exceeding the customer's rate.
	// WronglyRejected counts those of them for which the customer's reference
	// bucket had a token.
	RateRejected    int `json:"rate_refused"`
	WronglyRejected int `json:"wrongly_refused"`
	// Rejected counts rejections with other problem documents, and look-ups with a
	// status other than 200.
	Rejected int `json:"refused"`
	// Failed counts requests that ended without a response.
	Failed int `json:"failed"`
	// BadStatus counts responses of backend servers with a status of 400 or more.
	BadStatus int `json:"bad_status"`
	// MismatchedResponses counts responses that belong to another request, and
	// look-up answers without instances.
	MismatchedResponses int `json:"mismatched"`
	// Latency covers the OK requests, measured from the time they were due.
	Latency LatencySummary `json:"latency"`
}

// ServedShare is the share of OK requests among all requests but the rightly rejected
// ones. It is 1 if there are no such requests.
func (t RequestStats) ServedShare() float64 {
	entitled := t.Sent - (t.RateRejected - t.WronglyRejected)
	if entitled <= 0 {
		return 1
	}
	return float64(t.OK) / float64(entitled)
}

// CustomerStats holds the counts and latencies of a customer's requests.
type CustomerStats struct {
	RequestStats
	// Served is the value of RequestStats.ServedShare.
	Served float64 `json:"served_share"`
	// Admitted counts the requests that may have run, over the whole run including
	// the warm-up. MaxAdmitted is the number that the customer's rate and burst
	// allow in that time.
	Admitted    int     `json:"admitted"`
	MaxAdmitted float64 `json:"allowed"`
}

// LatencySummary summarizes a latency histogram.
type LatencySummary struct {
	Count int64           `json:"count"`
	Mean  config.Duration `json:"mean"`
	P50   config.Duration `json:"p50"`
	P90   config.Duration `json:"p90"`
	P99   config.Duration `json:"p99"`
	P999  config.Duration `json:"p99_9"`
	Max   config.Duration `json:"max"`
}

// Headroom summarizes the free share of backend slots over all samples, as fractions
// from 0 to 1.
type Headroom struct {
	Samples int `json:"samples"`
	// MissedReads counts reads of load endpoints that failed. A sample leaves out the
	// slots of servers whose read failed.
	MissedReads int `json:"missed"`
	// MeanFree and MinFree are the mean and the least free share of all slots.
	MeanFree float64 `json:"mean"`
	MinFree  float64 `json:"min"`
	// TightestGroup names the service and zone that had the least free share in
	// any sample, and TightestFree is that share.
	TightestGroup string  `json:"tightest"`
	TightestFree  float64 `json:"tightest_free"`
}

// DrainResult describes the drain of a backend server.
type DrainResult struct {
	Server string `json:"server"`
	// LastNewRequest is the time from the start of the drain to the last new request
	// that reached the server, zero if there was none.
	LastNewRequest config.Duration `json:"last_new"`
	// NewRequests counts the requests that reached the server after the drain
	// began.
	NewRequests int `json:"new"`
	// IdleAfter is the time from the start of the drain until the server had no request
	// in flight and received no further one while it was watched. Drained is false
	// if it never became idle in this way.
	IdleAfter config.Duration `json:"idle"`
	Drained   bool            `json:"drained"`
	Error     string          `json:"error,omitempty"`
}

// OverheadResult compares the latency of requests forwarded by an entry instance with
// that of direct requests.
type OverheadResult struct {
	Pairs       int            `json:"samples"`
	FailedPairs int            `json:"failed"`
	Direct      LatencySummary `json:"direct"`
	Forwarded   LatencySummary `json:"forwarded"`
	// P50Ratio and P99Ratio are the ratios of forwarded to direct latency.
	P50Ratio float64 `json:"p50_ratio"`
	P99Ratio float64 `json:"p99_ratio"`
}

// GeneratorStats describes how closely the load generator followed the plan.
type GeneratorStats struct {
	// Lag is the delay between the time a request was due and the time it was sent.
	Lag LatencySummary `json:"lag"`
	// Dropped counts requests that were due but not sent because
	// Plan.MaxOutstanding requests were in flight.
	Dropped int `json:"dropped"`
	// Truncated reports that Plan.MaxRequests or the context ended the run early.
	Truncated bool `json:"truncated,omitempty"`
}

// EventResult is the outcome of an event.
type EventResult struct {
	Name  string `json:"name"`
	Error string `json:"error,omitempty"`
}

// WriteJSON writes the result as indented JSON.
func (r *Result) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(r); err != nil {
		return fmt.Errorf("encode benchmark result as JSON: %w", err)
	}
	return nil
}

// ReadResult reads a result that Result.WriteJSON has written.
func ReadResult(r io.Reader) (*Result, error) {
	var result Result
	if err := json.NewDecoder(r).Decode(&result); err != nil {
		return nil, fmt.Errorf("decode benchmark result from JSON: %w", err)
	}
	return &result, nil
}

// Range and precision of latency histograms. Latencies above the maximum of 120 s
// count as 120 s.
const (
	maxLatencyMicros  = 120_000_000 // microseconds
	significantDigits = 3           // decimal digits
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantDigits)
}

func summarize(h *hdrhistogram.Histogram) LatencySummary {
	fromMicros := func(v int64) config.Duration { return config.Duration(v * 1000) }
	return LatencySummary{
		Count: h.TotalCount(),
		Mean:  fromMicros(int64(h.Mean())),
		P50:   fromMicros(h.ValueAtQuantile(50)),
		P90:   fromMicros(h.ValueAtQuantile(90)),
		P99:   fromMicros(h.ValueAtQuantile(99)),
		P999:  fromMicros(h.ValueAtQuantile(99.9)),
		Max:   fromMicros(h.Max()),
	}
}
