package emulator

import "time"

// counts says what became of requests.
type counts struct {
	offered, inTime, late, refused, expired int
}

// Second holds what became of the requests that arrived in one second.
type Second struct {
	Offered int `json:"offered"`
	InTime  int `json:"in_time"` // answered within the latency objective
	Late    int `json:"late"`    // answered later, before the deadline
	Refused int `json:"refused"` // rejected for good
	Expired int `json:"expired"` // answered after the deadline
}

// Report is the result of a run.
type Report struct {
	Seconds []Second `json:"seconds"`
	// Totals over all seconds, as shares of the offered requests.
	InTime  float64 `json:"in_time"`
	Late    float64 `json:"late"`
	Refused float64 `json:"refused"`
	// OtherRegion is the share of the attempts that were sent to another region.
	OtherRegion float64 `json:"other_region"`
	// BusySlots is the share of the slots in use while requests arrived.
	BusySlots float64 `json:"busy_slots"`

	bySecond          []counts
	sent, otherRegion int // attempts
}

func newReport(d *Deployment) *Report {
	return &Report{bySecond: make([]counts, int(d.Duration/time.Second)+1)}
}

// count returns the counts of the second in which a call arrived.
func (r *Report) count(c *call, w *world) *counts {
	return &r.bySecond[int(c.arrivedAt.Sub(w.start)/time.Second)]
}

// finish computes the exported fields.
func (r *Report) finish(w *world) {
	var total counts
	for _, second := range r.bySecond {
		r.Seconds = append(r.Seconds, Second{Offered: second.offered, InTime: second.inTime, Late: second.late, Refused: second.refused, Expired: second.expired})
		total.offered += second.offered
		total.inTime += second.inTime
		total.late += second.late
		total.refused += second.refused
	}
	var busy time.Duration
	for _, s := range w.servers {
		busy += s.busy
	}
	offered := float64(max(total.offered, 1))
	r.InTime, r.Late, r.Refused = float64(total.inTime)/offered, float64(total.late)/offered, float64(total.refused)/offered
	r.OtherRegion = float64(r.otherRegion) / float64(max(r.sent, 1))
	r.BusySlots = busy.Seconds() / (w.deployment.Duration.Seconds() * float64(len(w.servers)*w.deployment.Slots))
}
