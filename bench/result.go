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
	// MeasuredDuration is the time after the warm-up in which requests were due.
	MeasuredDuration  config.Duration `json:"measured"`
	Total     RequestStats           `json:"total"`
	Lookups   RequestStats           `json:"lookups"`
	Kinds     []RequestStats         `json:"kinds,omitempty"`
	Customers []CustomerStats `json:"customers,omitempty"`
	// WorstServed names the customer with the smallest served share.
	WorstServed string `json:"worst_served,omitempty"`
	// Problems counts failed requests by problem type or kind of error.
	Problems  map[string]int `json:"problems,omitempty"`
	Headroom  *Headroom      `json:"headroom,omitempty"`
	Drain     *DrainResult   `json:"drain,omitempty"`
	Overhead  *OverheadResult `json:"overhead,omitempty"`
	Generator GeneratorStats      `json:"generator"`
	// Executions are the stand-in's counts of what ran.
	Executions *backend.Summary `json:"executions,omitempty"`
	Events     []EventResult    `json:"events,omitempty"`
}

// RequestStats counts the requests of a group. Sent is the sum of OK, RateRejected,
// Refused, Failed, BadStatus and Mismatched.
type RequestStats struct {
	Name string `json:"name"`
	Sent int    `json:"sent"`
	OK   int    `json:"ok"`
	// RateRejected counts refusals for exceeding the customer's rate, and
	// WronglyRejected those of them that an exact bucket would have admitted.
	RateRejected    int `json:"rate_refused"`
	WronglyRejected int `json:"wrongly_refused"`
	// Rejected counts other problem documents.
	Rejected int `json:"refused"`
	// Failed counts requests without an answer.
	Failed int `json:"failed"`
	// BadStatus counts answers of backend servers with a status of 400 or more.
	BadStatus int `json:"bad_status"`
	// MismatchedResponses counts answers that belong to another request.
	MismatchedResponses int `json:"mismatched"`
	// LatencySummary is that of OK requests, from the time they were due.
	Latency LatencySummary `json:"latency"`
}

// ServedShare is the share of OK requests, without rightly refused ones.
func (t RequestStats) ServedShare() float64 {
	entitled := t.Sent - (t.RateRejected - t.WronglyRejected)
	if entitled <= 0 {
		return 1
	}
	return float64(t.OK) / float64(entitled)
}

// CustomerStats is the tally of a customer.
type CustomerStats struct {
	RequestStats
	// Served is Tally.ServedShare.
	Served float64 `json:"served_share"`
	// Admitted counts requests of the whole run, warm-up included, that may
	// have run. Allowed is the most that rate and burst allow in that time.
	Admitted int     `json:"admitted"`
	MaxAdmitted  float64 `json:"allowed"`
}

// LatencySummary summarizes a histogram.
type LatencySummary struct {
	Count int64           `json:"count"`
	Mean  config.Duration `json:"mean"`
	P50   config.Duration `json:"p50"`
	P90   config.Duration `json:"p90"`
	P99   config.Duration `json:"p99"`
	P999  config.Duration `json:"p99_9"`
	Max   config.Duration `json:"max"`
}

// Headroom summarizes the share of free slots over the samples.
type Headroom struct {
	Samples int `json:"samples"`
	// MissedReads counts load endpoints that did not answer. Their slots count as
	// absent.
	MissedReads int     `json:"missed"`
	MeanFree   float64 `json:"mean"`
	MinFree    float64 `json:"min"`
	// TightestGroup is the service and zone with the least free share in a sample.
	TightestGroup     string  `json:"tightest"`
	TightestFree float64 `json:"tightest_free"`
}

// DrainResult describes a draining backend server.
type DrainResult struct {
	Server string `json:"server"`
	// LastNewRequest is the time from the drain to the last new request that reached
	// the server, zero if there was none.
	LastNewRequest config.Duration `json:"last_new"`
	// NewRequests counts the requests that reached the server after the drain.
	NewRequests int `json:"new"`
	// IdleAfter is the time from the drain until no request was in progress and none
	// followed while the server was watched. Drained is false if that never
	// happened.
	IdleAfter    config.Duration `json:"idle"`
	Drained bool            `json:"drained"`
	Error   string          `json:"error,omitempty"`
}

// OverheadResult compares forwarded with direct requests.
type OverheadResult struct {
	Pairs   int     `json:"samples"`
	FailedPairs    int     `json:"failed"`
	Direct    LatencySummary `json:"direct"`
	Forwarded LatencySummary `json:"forwarded"`
	// P50Ratio and P99 are the ratios of forwarded to direct.
	P50Ratio float64 `json:"p50_ratio"`
	P99Ratio float64 `json:"p99_ratio"`
}

// GeneratorStats says how well the generator kept to its plan.
type GeneratorStats struct {
	// Lag is the time by which requests were sent late.
	Lag LatencySummary `json:"lag"`
	// Dropped counts requests that were due but not sent because too many were
	// in progress.
	Dropped int `json:"dropped"`
	// Truncated says that MaxRequests or the context ended the run early.
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
		return fmt.Errorf("write result: %w", err)
	}
	return nil
}

// ReadResult reads what Result.WriteJSON wrote.
func ReadResult(r io.Reader) (*Result, error) {
	var result Result
	if err := json.NewDecoder(r).Decode(&result); err != nil {
		return nil, fmt.Errorf("read result: %w", err)
	}
	return &result, nil
}

// Range and precision of histograms. Values are microseconds; longer ones count
// as the longest.
const (
	maxLatencyMicros  = 120_000_000
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantDigits)
}

func summarize(h *hdrhistogram.Histogram) LatencySummary {
	micros := func(v int64) config.Duration { return config.Duration(v * 1000) }
	return LatencySummary{
		Count: h.TotalCount(),
		Mean:  micros(int64(h.Mean())),
		P50:   micros(h.ValueAtQuantile(50)),
		P90:   micros(h.ValueAtQuantile(90)),
		P99:   micros(h.ValueAtQuantile(99)),
		P999:  micros(h.ValueAtQuantile(99.9)),
		Max:   micros(h.Max()),
	}
}
