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

// Result are the results of one replay. Shares are between 0 and 1.
type Result struct {
	Policy string `json:"policy"`
	// LatencyP50 and LatencyP99 are of completed requests, as callers see it.
	LatencyP50 config.Duration `json:"latency_p50"`
	LatencyP99 config.Duration `json:"latency_p99"`
	// Headroom is the free share of the slots of the region that got the most work
	// in a second, in that second.
	Headroom float64 `json:"headroom"`
	// DrainTime is the longest time from the start of a drain to the end of the
	// last request at the server.
	DrainTime config.Duration `json:"drain_time"`
	// WorstCustomer has the largest share of requests within its rate that were
	// refused or failed.
	WorstCustomer      string  `json:"worst_customer"`
	WorstCustomerShare float64 `json:"worst_customer_share"`
	// RejectedWithinRate counts requests that were refused, and not run, although
	// they were within the customer's rate.
	RejectedWithinRate int `json:"refused_within_rate"`

	// Requests = Completed + Failed + the sum of Refusals. Failed requests were
	// sent to a server and got no complete response.
	Requests  int            `json:"requests"`
	Completed int            `json:"completed"`
	Failed    int            `json:"failed"`
	Rejections  map[string]int `json:"refusals"` // by type
	// Attempts that reached a server, in each second.
	Attempts []int `json:"attempts"`
	// LastRequestAfterDrain is the longest time from the start of a drain to a new request
	// at the server.
	LastRequestAfterDrain config.Duration `json:"last_new_work"`
	// PeakLoad is the largest number of requests sent to a region's servers and not
	// ended, as a share of the region's slots, by region.
	PeakLoad map[string]float64 `json:"peak_load"`
	// Crashes counts the servers that requests crashed.
	Crashes int `json:"crashes"`

	latencies   []time.Duration
	within      map[string]int             // requests within rate, by customer
	bad         map[string]int             // of them, refused or failed
	slots       map[string]int             // by region
	outstanding map[string]int             // by region
	work        map[string][]time.Duration // by region and second of its start
}

func newMeasures(policy string, t *Trace) *Result {
	m := &Result{
		Policy: policy, Headroom: 1, Rejections: map[string]int{}, PeakLoad: map[string]float64{},
		Attempts: make([]int, 1+t.Duration.Std()/time.Second),
		within:   map[string]int{}, bad: map[string]int{}, slots: map[string]int{},
		outstanding: map[string]int{}, work: map[string][]time.Duration{},
	}
	for _, g := range t.Servers {
		m.slots[g.Region] += g.Count * g.Slots
	}
	return m
}

func (m *Result) accepted(b *backend) {
	m.Attempts[min(int(b.r.now/time.Second), len(m.Attempts)-1)]++
	if b.drainAt >= 0 {
		m.LastRequestAfterDrain = max(m.LastRequestAfterDrain, since(b.r.now, b.drainAt))
	}
}

// sent counts requests on their way to a region's servers or there, n is 1 or -1.
func (m *Result) sent(region string, n int) {
	m.outstanding[region] += n
	m.PeakLoad[region] = max(m.PeakLoad[region], float64(m.outstanding[region])/float64(m.slots[region]))
}

func (m *Result) started(b *backend, work time.Duration) {
	if m.work[b.Region] == nil {
		m.work[b.Region] = make([]time.Duration, len(m.Attempts))
	}
	second := min(int(b.r.now/time.Second), len(m.Attempts)-1)
	m.work[b.Region][second] += work
	m.Headroom = min(m.Headroom, max(0, 1-m.work[b.Region][second].Seconds()/float64(m.slots[b.Region])))
}

func (m *Result) finish() {
	slices.Sort(m.latencies)
	if n := len(m.latencies); n > 0 {
		m.LatencyP50 = config.Duration(m.latencies[n/2])
		m.LatencyP99 = config.Duration(m.latencies[n*99/100])
	}
	for _, name := range slices.Sorted(maps.Keys(m.within)) {
		share := float64(m.bad[name]) / float64(m.within[name])
		if m.WorstCustomer == "" || share > m.WorstCustomerShare {
			m.WorstCustomer, m.WorstCustomerShare = name, share
		}
	}
}

// Comparison compares policies on one trace. Its JSON form holds all measures.
type Comparison struct {
	Trace string     `json:"trace"`
	Results  []Result `json:"rows"`
	// Errors are those of the policies that could not be replayed.
	Errors []string `json:"errors,omitempty"`
}

// WriteText writes the five measures as a table for people.
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
