package bench

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Comparison compares two results, metric by metric.
type Comparison struct {
	Before string      `json:"before"`
	After  string      `json:"after"`
	Rows   []MetricChange `json:"rows"`
}

// MetricChange is one metric of both results.
type MetricChange struct {
	Metric string  `json:"metric"`
	Unit   string  `json:"unit"`
	Before float64 `json:"before"`
	After  float64 `json:"after"`
	// Effect is "better", "worse" or "same".
	Effect Effect `json:"effect"`
}

// Effect is the direction of a change as users see it.
type Effect string

// Effects.
const (
	EffectBetter Effect = "better"
	EffectWorse  Effect = "worse"
	EffectSame   Effect = "same"
)

// metric is one number of a result.
type metric struct {
	name         string
	unit         string
	value        float64
	higherBetter bool
}

// Compare compares the metrics that both results have. It judges no
// significance: two runs of the same build differ as well.
func Compare(before, after *Result) *Comparison {
	c := &Comparison{Before: before.Name, After: after.Name}
	old := make(map[string]metric)
	for _, m := range before.metrics() {
		old[m.name] = m
	}
	for _, m := range after.metrics() {
		if was, ok := old[m.name]; ok {
			c.Rows = append(c.Rows, MetricChange{Metric: m.name, Unit: m.unit, Before: was.value, After: m.value, Effect: effect(was, m)})
		}
	}
	return c
}

func effect(before, after metric) Effect {
	switch {
	case before.value == after.value:
		return EffectSame
	case (after.value > before.value) == after.higherBetter:
		return EffectBetter
	default:
		return EffectWorse
	}
}

func (r *Result) metrics() []metric {
	var out []metric
	for _, t := range append([]RequestStats{r.Lookups, r.Total}, r.Kinds...) {
		out = append(out, tallyMetrics(t)...)
	}
	out = append(out, metric{name: "wrongly refused", unit: "requests", value: float64(r.Total.WronglyRejected)})
	for _, c := range r.Customers {
		if c.Name == r.WorstServed {
			out = append(out,
				metric{name: "worst-served customer, served", unit: "%", value: 100 * c.Served, higherBetter: true},
				metric{name: "worst-served customer, p99", unit: "ms", value: millis(c.Latency.P99.Std())})
		}
	}
	if h := r.Headroom; h != nil {
		out = append(out,
			metric{name: "headroom, mean free", unit: "%", value: 100 * h.MeanFree, higherBetter: true},
			metric{name: "headroom, tightest free", unit: "%", value: 100 * h.TightestFree, higherBetter: true})
	}
	if d := r.Drain; d != nil {
		out = append(out, metric{name: "drain, last new work", unit: "ms", value: millis(d.LastNewRequest.Std())})
	}
	if o := r.Overhead; o != nil {
		out = append(out, metric{name: "overhead, p50 ratio", value: o.P50Ratio}, metric{name: "overhead, p99 ratio", value: o.P99Ratio})
	}
	return out
}

func tallyMetrics(t RequestStats) []metric {
	if t.Sent == 0 {
		return nil
	}
	return []metric{
		{name: t.Name + ", served", unit: "%", value: 100 * t.ServedShare(), higherBetter: true},
		{name: t.Name + ", p50", unit: "ms", value: millis(t.Latency.P50.Std())},
		{name: t.Name + ", p99", unit: "ms", value: millis(t.Latency.P99.Std())},
	}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// WriteTable writes the comparison as a text table.
func (c *Comparison) WriteTable(w io.Writer) error {
	t := &tableWriter{tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.row("metric", c.Before, c.After, "change", "")
	for _, r := range c.Rows {
		t.row(r.Metric, value(r.Before, r.Unit), value(r.After, r.Unit), change(r), r.Effect)
	}
	if err := t.w.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

func value(v float64, unit string) string { return fmt.Sprintf("%.2f %s", v, unit) }

func change(r MetricChange) string {
	if r.Before == 0 {
		return fmt.Sprintf("%+.2f", r.After-r.Before)
	}
	return fmt.Sprintf("%+.1f%%", 100*(r.After/r.Before-1))
}
