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

// Measures are the results of one replay. Shares are between 0 and 1.
type Measures struct {
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
	// RefusedWithinRate counts requests that were refused, and not run, although
	// they were within the customer's rate.
	RefusedWithinRate int `json:"refused_within_rate"`

	// Requests = Completed + Failed + the sum of Refusals. Failed requests were
	// sent to a server and got no complete response.
	Requests  int            `json:"requests"`
	Completed int            `json:"completed"`
	Failed    int            `json:"failed"`
	Refusals  map[string]int `json:"refusals"` // by type
	// Attempts that reached a server, in each second.
	Attempts []int `json:"attempts"`
	// LastNewWork is the longest time from the start of a drain to a new request
	// at the server.
	LastNewWork config.Duration `json:"last_new_work"`
	// PeakLoad is the largest number of requests sent to a region's servers and not
	// ended, as a share of the region's slots, by region.
	PeakLoad map[string]float64 `json:"peak_load"`
	// Crashes counts the servers that requests crashed.
	Crashes int `json:"crashes"`

	latencies           []time.Duration
	withinRate          map[string]int             // requests within rate, by customer
	notServed           map[string]int             // of them, refused or failed
	slotsByRegion       map[string]int             // by region
	outstandingByRegion map[string]int             // by region
	workByRegion        map[string][]time.Duration // by region and second of its start
}

func newResult(policy string, t *Trace) *Measures {
	m := &Measures{
		Policy: policy, Headroom: 1, Refusals: map[string]int{}, PeakLoad: map[string]float64{},
		Attempts:   make([]int, 1+t.Duration.Std()/time.Second),
		withinRate: map[string]int{}, notServed: map[string]int{}, slotsByRegion: map[string]int{},
		outstandingByRegion: map[string]int{}, workByRegion: map[string][]time.Duration{},
	}
	for _, g := range t.Servers {
		m.slotsByRegion[g.Region] += g.Count * g.Slots
	}
	return m
}

func (m *Measures) recordAttempt(b *backend) {
	m.Attempts[min(int(b.replay.elapsed/time.Second), len(m.Attempts)-1)]++
	if b.drainStart >= 0 {
		m.LastNewWork = max(m.LastNewWork, durationSince(b.replay.elapsed, b.drainStart))
	}
}

// sent counts requests on their way to a region's servers or there, n is 1 or -1.
func (m *Measures) addOutstanding(region string, n int) {
	m.outstandingByRegion[region] += n
	m.PeakLoad[region] = max(m.PeakLoad[region], float64(m.outstandingByRegion[region])/float64(m.slotsByRegion[region]))
}

func (m *Measures) recordWork(b *backend, work time.Duration) {
	if m.workByRegion[b.Region] == nil {
		m.workByRegion[b.Region] = make([]time.Duration, len(m.Attempts))
	}
	second := min(int(b.replay.elapsed/time.Second), len(m.Attempts)-1)
	m.workByRegion[b.Region][second] += work
	m.Headroom = min(m.Headroom, max(0, 1-m.workByRegion[b.Region][second].Seconds()/float64(m.slotsByRegion[b.Region])))
}

func (m *Measures) finish() {
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

// Table compares policies on one trace. Its JSON form holds all measures.
type Table struct {
	Trace string     `json:"trace"`
	Rows  []Measures `json:"rows"`
	// Errors are those of the policies that could not be replayed.
	Errors []string `json:"errors,omitempty"`
}

// WriteText writes the five measures as a table for people.
func (t Table) WriteText(w io.Writer) error {
	tab := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(tab, "POLICY\tP50\tP99\tHEADROOM\tDRAIN\tWORST CUSTOMER\tREFUSED WITHIN RATE\tFAILED")
	for _, r := range t.Rows {
		fmt.Fprintf(tab, "%s\t%s\t%s\t%.0f%%\t%s\t%s %.1f%%\t%d\t%d\n", r.Policy,
			r.LatencyP50.Std().Round(time.Millisecond), r.LatencyP99.Std().Round(time.Millisecond),
			100*r.Headroom, r.DrainTime.Std().Round(time.Millisecond),
			r.WorstCustomer, 100*r.WorstCustomerShare, r.RefusedWithinRate, r.Failed)
	}
	for _, e := range t.Errors {
		fmt.Fprintln(tab, e)
	}
	return tab.Flush()
}
