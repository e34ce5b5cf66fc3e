package bench

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
)

// WriteTable writes the result as text tables.
func (r *Result) WriteTable(w io.Writer) error {
	t := &tableWriter{tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.row("run", r.Name, fmt.Sprintf("measured %v, seed %d", r.MeasuredDuration.Std(), r.Seed))
	t.requestGroups(r)
	t.customers(r)
	t.problems(r)
	t.headroom(r.Headroom)
	t.drain(r.Drain)
	t.overhead(r.Overhead)
	t.executions(r)
	t.generator(r)
	if err := t.w.Flush(); err != nil {
		return fmt.Errorf("write benchmark result table: %w", err)
	}
	return nil
}

// tableWriter formats rows with tabwriter. Write errors are reported by Flush.
type tableWriter struct{ w *tabwriter.Writer }

func (t *tableWriter) row(cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(t.w, "\t")
		}
		fmt.Fprint(t.w, cell)
	}
	fmt.Fprintln(t.w)
}

// section writes an empty line and the header row of the next table.
func (t *tableWriter) section(cells ...any) {
	fmt.Fprintln(t.w)
	t.row(cells...)
}

func (t *tableWriter) requestGroups(r *Result) {
	t.section("requests", "sent", "ok", "rate refused", "wrongly", "refused", "failed", "bad status", "mismatched", "p50", "p90", "p99", "p99.9", "max")
	for _, stats := range append([]RequestStats{r.Lookups, r.Total}, r.Kinds...) {
		t.requestGroup(stats)
	}
}

func (t *tableWriter) requestGroup(stats RequestStats) {
	latency := stats.Latency
	t.row(stats.Name, stats.Sent, stats.OK, stats.RateRejected, stats.WronglyRejected, stats.Rejected, stats.Failed, stats.BadStatus, stats.MismatchedResponses,
		formatMillis(latency.P50), formatMillis(latency.P90), formatMillis(latency.P99), formatMillis(latency.P999), formatMillis(latency.Max))
}

func formatMillis(d config.Duration) string {
	return fmt.Sprintf("%.2f ms", float64(d.Std())/float64(time.Millisecond))
}

func formatPercent(share float64) string { return fmt.Sprintf("%.2f%%", 100*share) }

func (t *tableWriter) customers(r *Result) {
	if len(r.Customers) == 0 {
		return
	}
	t.section("customers", "sent", "ok", "served", "rate refused", "wrongly", "admitted", "allowed", "p50", "p99", "")
	for _, c := range r.Customers {
		t.row(c.Name, c.Sent, c.OK, formatPercent(c.Served), c.RateRejected, c.WronglyRejected, c.Admitted,
			fmt.Sprintf("%.0f", c.MaxAdmitted), formatMillis(c.Latency.P50), formatMillis(c.Latency.P99), r.customerNote(c))
	}
}

// customerNote returns the remark in the last column of a customer's row.
func (r *Result) customerNote(c CustomerStats) string {
	var notes []string
	if c.Name == r.WorstServed {
		notes = append(notes, "worst served")
	}
	if float64(c.Admitted) > c.MaxAdmitted {
		notes = append(notes, "exceeds its rate and burst")
	}
	return strings.Join(notes, ", ")
}

func (t *tableWriter) problems(r *Result) {
	if len(r.Problems) == 0 {
		return
	}
	t.section("problems", "count")
	for _, name := range slices.Sorted(maps.Keys(r.Problems)) {
		t.row(name, r.Problems[name])
	}
}

func (t *tableWriter) headroom(h *Headroom) {
	if h == nil {
		return
	}
	t.section("headroom", "mean free", "least free", "tightest", "free", "samples", "missed")
	t.row("slots", formatPercent(h.MeanFree), formatPercent(h.MinFree), h.TightestGroup, formatPercent(h.TightestFree), h.Samples, h.MissedReads)
}

func (t *tableWriter) drain(d *DrainResult) {
	if d == nil {
		return
	}
	t.section("drain", "last new work", "new requests", "idle after", "drained", "error")
	t.row(d.Server, formatMillis(d.LastNewRequest), d.NewRequests, formatMillis(d.IdleAfter), d.Drained, d.Error)
}

func (t *tableWriter) overhead(o *OverheadResult) {
	if o == nil {
		return
	}
	t.section("overhead", "direct", "forwarded", "ratio", "pairs", "failed")
	t.row("p50", formatMillis(o.Direct.P50), formatMillis(o.Forwarded.P50), fmt.Sprintf("%.2f", o.P50Ratio), o.Pairs, o.FailedPairs)
	t.row("p99", formatMillis(o.Direct.P99), formatMillis(o.Forwarded.P99), fmt.Sprintf("%.2f", o.P99Ratio), "", "")
}

func (t *tableWriter) executions(r *Result) {
	if e := r.Executions; e != nil {
		t.section("executions", "keys", "run more than once", "not recorded", "customer keys seen")
		t.row("backend servers", e.Keys, len(e.Repeated), e.Dropped, e.KeyLeaks)
	}
	for _, e := range r.Events {
		t.row("event", e.Name, e.Error)
	}
}

func (t *tableWriter) generator(r *Result) {
	g := r.Generator
	t.section("generator", "lag p50", "lag p99", "lag max", "dropped", "ended early")
	t.row("", formatMillis(g.Lag.P50), formatMillis(g.Lag.P99), formatMillis(g.Lag.Max), g.Dropped, g.Truncated)
}
