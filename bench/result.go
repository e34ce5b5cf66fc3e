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
	// Measured is the part of the run after the warm-up.
	Measured  config.Duration `json:"measured"`
	Total     Tally           `json:"total"`
	Lookups   Tally           `json:"lookups"`
	Kinds     []Tally         `json:"kinds,omitempty"`
	Customers []CustomerTally `json:"customers,omitempty"`
	// WorstServed names the customer with the smallest served share.
	WorstServed string `json:"worst_served,omitempty"`
	// Problems counts unsuccessful requests by problem type or kind of error.
	Problems  map[string]int `json:"problems,omitempty"`
	Headroom  *Headroom      `json:"headroom,omitempty"`
	Drain     *DrainResult   `json:"drain,omitempty"`
	Overhead  *OverheadRatio `json:"overhead,omitempty"`
	Generator Generator      `json:"generator"`
	// Executions holds the backend stand-in's counts of the requests that ran.
	Executions *backend.Summary `json:"executions,omitempty"`
	Events     []EventResult    `json:"events,omitempty"`
}

// Tally holds the counts and latencies of a group of requests. Sent is the sum of OK,
// RateRefused, Refused, Failed, BadStatus and Mismatched.
type Tally struct {
	Name string `json:"name"`
	Sent int    `json:"sent"`
	OK   int    `json:"ok"`
	// RateRefused counts rejections for exceeding the customer's rate.
	// WronglyRefused counts those of them for which the customer's reference
	// bucket had a token.
	RateRefused    int `json:"rate_refused"`
	WronglyRefused int `json:"wrongly_refused"`
	// Refused counts rejections with other problem documents, and look-ups with a
	// status other than 200.
	Refused int `json:"refused"`
	// Failed counts requests that ended without a response.
	Failed int `json:"failed"`
	// BadStatus counts responses of backend servers with a status of 400 or more.
	BadStatus int `json:"bad_status"`
	// Mismatched counts responses that belong to another request and look-up
	// answers without instances.
	Mismatched int `json:"mismatched"`
	// Latency covers the OK requests, measured from the time they were due.
	Latency Latency `json:"latency"`
}

// ServedShare is the share of OK requests among all requests but the rightly rejected
// ones. It is 1 if there are no such requests.
func (t Tally) ServedShare() float64 {
	entitled := t.Sent - (t.RateRefused - t.WronglyRefused)
	if entitled <= 0 {
		return 1
	}
	return float64(t.OK) / float64(entitled)
}

// CustomerTally holds the counts and latencies of a customer's requests.
type CustomerTally struct {
	Tally
	// Served is the value of Tally.ServedShare.
	Served float64 `json:"served_share"`
	// Admitted counts the requests that may have run, over the whole run including
	// the warm-up. Allowed is the number that the customer's rate and burst allow
	// in that time.
	Admitted int     `json:"admitted"`
	Allowed  float64 `json:"allowed"`
}

// Latency summarizes a latency histogram.
type Latency struct {
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
	// Missed counts reads of load endpoints that failed. A sample leaves out the
	// slots of servers whose read failed.
	Missed int `json:"missed"`
	// Mean and Min are the mean and the least free share of all slots.
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	// Tightest names the service and zone that had the least free share in any
	// sample, and TightestFree is that share.
	Tightest     string  `json:"tightest"`
	TightestFree float64 `json:"tightest_free"`
}

// DrainResult describes the drain of a backend server.
type DrainResult struct {
	Server string `json:"server"`
	// LastNew is the time from the start of the drain to the last new request that
	// reached the server, zero if there was none.
	LastNew config.Duration `json:"last_new"`
	// New counts the requests that reached the server after the drain began.
	New int `json:"new"`
	// Idle is the time from the start of the drain until the server had no request
	// in flight and received no further one while it was watched. Drained is false
	// if it never became idle in this way.
	Idle    config.Duration `json:"idle"`
	Drained bool            `json:"drained"`
	Error   string          `json:"error,omitempty"`
}

// OverheadRatio compares the latency of requests forwarded by an entry instance with
// that of direct requests.
type OverheadRatio struct {
	Samples   int     `json:"samples"`
	Failed    int     `json:"failed"`
	Direct    Latency `json:"direct"`
	Forwarded Latency `json:"forwarded"`
	// P50 and P99 are the ratios of forwarded to direct latency.
	P50 float64 `json:"p50_ratio"`
	P99 float64 `json:"p99_ratio"`
}

// Generator describes how closely the load generator followed the plan.
type Generator struct {
	// Lag is the delay between the time a request was due and the time it was sent.
	Lag Latency `json:"lag"`
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

// Write writes the result as indented JSON.
func (r *Result) Write(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(r); err != nil {
		return fmt.Errorf("encode benchmark result as JSON: %w", err)
	}
	return nil
}

// ReadResult reads a result that Result.Write has written.
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

func summarize(h *hdrhistogram.Histogram) Latency {
	fromMicros := func(v int64) config.Duration { return config.Duration(v * 1000) }
	return Latency{
		Count: h.TotalCount(),
		Mean:  fromMicros(int64(h.Mean())),
		P50:   fromMicros(h.ValueAtQuantile(50)),
		P90:   fromMicros(h.ValueAtQuantile(90)),
		P99:   fromMicros(h.ValueAtQuantile(99)),
		P999:  fromMicros(h.ValueAtQuantile(99.9)),
		Max:   fromMicros(h.Max()),
	}
}
