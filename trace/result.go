package trace

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
)

// Result is the result of the replay of one trace with one policy. Shares are between 0
// and 1.
type Result struct {
	Policy string `json:"policy"`
	// LatencyP50 and LatencyP99 are percentiles of the latency of completed requests, as
	// measured by callers.
	LatencyP50 config.Duration `json:"latency_p50"`
	LatencyP99 config.Duration `json:"latency_p99"`
	// Headroom is the least free capacity of a region in any second, as a share of the
	// region's slots. The whole service time of a request counts in the second in which
	// it starts.
	Headroom float64 `json:"headroom"`
	// DrainTime is the longest time from the start of a drain to the end of the
	// last request at the server.
	DrainTime config.Duration `json:"drain_time"`
	// WorstCustomer is the customer with the largest share of requests that were rejected
	// or failed although they were within the customer's rate. WorstCustomerShare is that
	// share.
	WorstCustomer      string  `json:"worst_customer"`
	WorstCustomerShare float64 `json:"worst_customer_share"`
	// RejectedWithinRate is the number of requests that were rejected, and did not run,
	// although they were within the customer's rate.
	RejectedWithinRate int `json:"refused_within_rate"`

	// Requests = Completed + Failed + the sum of Rejections. Failed requests were sent to a
	// server and got no complete response, or no entry instance was live at their arrival.
	Requests   int            `json:"requests"`
	Completed  int            `json:"completed"`
	Failed     int            `json:"failed"`
	Rejections map[string]int `json:"refusals"` // by Go type of the error
	// Attempts is the number of attempts that reached a server, by second.
	Attempts []int `json:"attempts"`
	// LastRequestAfterDrain is the longest time from the start of a drain to the last new request
	// that reached the server.
	LastRequestAfterDrain config.Duration `json:"last_new_work"`
	// PeakLoad is the largest number of outstanding requests at a region's servers, as a
	// share of the region's slots, by region. A request is outstanding from when an entry
	// instance sends it until its response arrives there.
	PeakLoad map[string]float64 `json:"peak_load"`
	// Crashes is the number of server crashes that requests caused.
	Crashes int `json:"crashes"`

	latencies           []time.Duration
	withinRate          map[string]int // number of requests within the rate, by customer
	notServed           map[string]int // number of requests in withinRate that were rejected or failed, by customer
	slotsByRegion       map[string]int
	outstandingByRegion map[string]int
	workByRegion        map[string][]time.Duration // total service time of the requests that started in each second
}

func newResult(policy string, t *Trace) *Result {
	m := &Result{
		Policy: policy, Headroom: 1, Rejections: map[string]int{}, PeakLoad: map[string]float64{},
		Attempts:   make([]int, 1+t.Duration.Std()/time.Second),
		withinRate: map[string]int{}, notServed: map[string]int{}, slotsByRegion: map[string]int{},
		outstandingByRegion: map[string]int{}, workByRegion: map[string][]time.Duration{},
	}
	for _, g := range t.Servers {
		m.slotsByRegion[g.Region] += g.Count * g.Slots
	}
	return m
}

// recordAttempt records an attempt that reached a server.
func (m *Result) recordAttempt(b *backend) {
	m.Attempts[min(int(b.replay.elapsed/time.Second), len(m.Attempts)-1)]++
	if b.drainStart >= 0 {
		m.LastRequestAfterDrain = max(m.LastRequestAfterDrain, durationSince(b.replay.elapsed, b.drainStart))
	}
}

// addOutstanding adds n, which is 1 or -1, to the outstanding requests of a region.
func (m *Result) addOutstanding(region string, n int) {
	m.outstandingByRegion[region] += n
	m.PeakLoad[region] = max(m.PeakLoad[region], float64(m.outstandingByRegion[region])/float64(m.slotsByRegion[region]))
}

// recordWork records the service time of a request that starts.
func (m *Result) recordWork(b *backend, serviceTime time.Duration) {
	if m.workByRegion[b.Region] == nil {
		m.workByRegion[b.Region] = make([]time.Duration, len(m.Attempts))
	}
	second := min(int(b.replay.elapsed/time.Second), len(m.Attempts)-1)
	m.workByRegion[b.Region][second] += serviceTime
	m.Headroom = min(m.Headroom, max(0, 1-m.workByRegion[b.Region][second].Seconds()/float64(m.slotsByRegion[b.Region])))
}

// finish computes the percentiles and the worst customer.
func (m *Result) finish() {
	slices.Sort(m.latencies)
	if n := len(m.latencies); n > 0 {
		m.LatencyP50 = config.Duration(m.latencies[n/2])
		m.LatencyP99 = config.Duration(m.latencies[n*99/100])
	}
	for _, name := range slices.Sorted(maps.Keys(m.withinRate)) {
		share := float64(m.notServed[name]) / float64(m.withinRate[name])
		if m.WorstCustomer == "" || share > m.WorstCustomerShare {
			m.WorstCustomer, m.WorstCustomerShare = name, share
		}
	}
}

// Comparison compares the results of policies for one trace.
type Comparison struct {
	Trace   string   `json:"trace"`
	Results []Result `json:"rows"`
	// Errors has a text for each policy with which the trace could not be replayed.
	Errors []string `json:"errors,omitempty"`
}

// WriteText writes the main results as a table for people to read. The JSON encoding has
// all of them.
func (t Comparison) WriteText(w io.Writer) error {
	tab := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(tab, "POLICY\tP50\tP99\tHEADROOM\tDRAIN\tWORST CUSTOMER\tREFUSED WITHIN RATE\tFAILED")
	for _, r := range t.Results {
		fmt.Fprintf(tab, "%s\t%s\t%s\t%.0f%%\t%s\t%s %.1f%%\t%d\t%d\n", r.Policy,
			r.LatencyP50.Std().Round(time.Millisecond), r.LatencyP99.Std().Round(time.Millisecond),
			100*r.Headroom, r.DrainTime.Std().Round(time.Millisecond),
			r.WorstCustomer, 100*r.WorstCustomerShare, r.RejectedWithinRate, r.Failed)
	}
	for _, e := range t.Errors {
		fmt.Fprintln(tab, e)
	}
	return tab.Flush()
}
