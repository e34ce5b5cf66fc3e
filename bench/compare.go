package bench

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Comparison holds the metrics of two results side by side.
type Comparison struct {
	Before string         `json:"before"`
	After  string         `json:"after"`
	Rows   []MetricChange `json:"rows"`
}

// MetricChange is the value of one metric in both results.
type MetricChange struct {
	Metric string  `json:"metric"`
	Unit   string  `json:"unit"`
	Before float64 `json:"before"`
	After  float64 `json:"after"`
	// Effect is "better", "worse" or "same".
	Effect Effect `json:"effect"`
}

// Effect says whether a change of a metric is an improvement for users.
type Effect string

// Effects.
const (
	EffectBetter Effect = "better"
	EffectWorse  Effect = "worse"
	EffectSame   Effect = "same"
)

// metric is one figure of a result.
type metric struct {
	name           string
	unit           string
	value          float64
	higherIsBetter bool
}

// Compare compares the metrics that both results have. It does not test for
// significance: two runs of the same build also differ.
func Compare(before, after *Result) *Comparison {
	c := &Comparison{Before: before.Name, After: after.Name}
	beforeByName := make(map[string]metric)
	for _, m := range before.metrics() {
		beforeByName[m.name] = m
	}
	for _, m := range after.metrics() {
		if old, ok := beforeByName[m.name]; ok {
			c.Rows = append(c.Rows, MetricChange{Metric: m.name, Unit: m.unit, Before: old.value, After: m.value, Effect: effectOf(old, m)})
		}
	}
	return c
}

func effectOf(before, after metric) Effect {
	switch {
	case before.value == after.value:
		return EffectSame
	case (after.value > before.value) == after.higherIsBetter:
		return EffectBetter
	default:
		return EffectWorse
	}
}

// metrics returns the metrics of a result, those of parts that did not run left out.
func (r *Result) metrics() []metric {
	var out []metric
	for _, t := range append([]RequestStats{r.Lookups, r.Total}, r.Kinds...) {
		out = append(out, groupMetrics(t)...)
	}
	out = append(out, metric{name: "wrongly refused", unit: "requests", value: float64(r.Total.WronglyRejected)})
	for _, c := range r.Customers {
		if c.Name == r.WorstServed {
			out = append(out,
				metric{name: "worst-served customer, served", unit: "%", value: 100 * c.Served, higherIsBetter: true},
				metric{name: "worst-served customer, p99", unit: "ms", value: milliseconds(c.Latency.P99.Std())})
		}
	}
	if h := r.Headroom; h != nil {
		out = append(out,
			metric{name: "headroom, mean free", unit: "%", value: 100 * h.MeanFree, higherIsBetter: true},
			metric{name: "headroom, tightest free", unit: "%", value: 100 * h.TightestFree, higherIsBetter: true})
	}
	if d := r.Drain; d != nil {
		out = append(out, metric{name: "drain, last new work", unit: "ms", value: milliseconds(d.LastNewRequest.Std())})
	}
	if o := r.Overhead; o != nil {
		out = append(out, metric{name: "overhead, p50 ratio", value: o.P50Ratio}, metric{name: "overhead, p99 ratio", value: o.P99Ratio})
	}
	return out
}

func groupMetrics(t RequestStats) []metric {
	if t.Sent == 0 {
		return nil
	}
	return []metric{
		{name: t.Name + ", served", unit: "%", value: 100 * t.ServedShare(), higherIsBetter: true},
		{name: t.Name + ", p50", unit: "ms", value: milliseconds(t.Latency.P50.Std())},
		{name: t.Name + ", p99", unit: "ms", value: milliseconds(t.Latency.P99.Std())},
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// WriteTable writes the comparison as a text table.
func (c *Comparison) WriteTable(w io.Writer) error {
	t := &tableWriter{tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.row("metric", c.Before, c.After, "change", "")
	for _, r := range c.Rows {
		t.row(r.Metric, formatValue(r.Before, r.Unit), formatValue(r.After, r.Unit), formatChange(r), r.Effect)
	}
	if err := t.w.Flush(); err != nil {
		return fmt.Errorf("write benchmark comparison table: %w", err)
	}
	return nil
}

func formatValue(v float64, unit string) string { return fmt.Sprintf("%.2f %s", v, unit) }

// formatChange returns the relative change in percent, or the difference if the value
// before is 0.
func formatChange(r MetricChange) string {
	if r.Before == 0 {
		return fmt.Sprintf("%+.2f", r.After-r.Before)
	}
	return fmt.Sprintf("%+.1f%%", 100*(r.After/r.Before-1))
}
