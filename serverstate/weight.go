package serverstate

import (
	"math"
	"time"
)

// Bounds of the weights.
const (
	// minWarmWeight lets a warming server get its first requests.
	minWarmWeight = 0.05
	// keptWeight is the weight of a server that is kept in use although soft
	// evidence speaks against it.
	keptWeight = 0.2
	// unresolvedWeight applies while a closing response is unresolved; the server
	// still needs requests that resolve it.
	unresolvedWeight = 0.5
	// loadHigh is the reported utilization from which the weight is halved.
	loadHigh       = 0.95
	loadHighWeight = 0.5
	// shedStep and shedFloor: each shed response multiplies the weight, down to
	// the floor. shedRecovery is the gain per second without one.
	shedStep     = 0.85
	shedFloor    = 0.3
	shedRecovery = 0.25
	// slowFrom is the ratio of recent latency to history from which the weight
	// falls, slowOut the one that takes the server out.
	slowFrom = 3.0
	slowOut  = 10.0
	// slowFloor is the lowest weight for a slow server that stays in use.
	slowFloor = 0.2
)

// weight returns the share of work that the server may get, 0 to 1.
func (s *server) weight(now time.Time) (float64, Reason) {
	if s.kept {
		return keptWeight, Reason{Code: CodeSoftEvidenceLimit, Evidence: s.reason.Evidence}
	}
	if s.out() {
		return 0, s.reason
	}
	if s.closingOverdue(now) {
		return 0, Reason{Code: CodeUnresolvedClose, Evidence: KindSuccess, Count: s.closings}
	}
	w, r := 1.0, Reason{Code: CodeServing}
	if s.state == Warming {
		w, r = s.warmWeight(now), Reason{Code: CodeWarming}
	}
	return s.reduced(w, r, now)
}

// warmWeight rises with the slope 1/SlowStart.
func (s *server) warmWeight(now time.Time) float64 {
	slope := float64(now.Sub(s.since)) / float64(s.SlowStart)
	return math.Min(1, math.Max(minWarmWeight, slope))
}

// reduced lowers a weight for evidence that takes no server out. The strongest
// reduction gives the reason.
func (s *server) reduced(w float64, r Reason, now time.Time) (float64, Reason) {
	lowest := 1.0
	apply := func(factor float64, code ReasonCode, kind EventKind) {
		w *= factor
		if factor < lowest {
			lowest = factor
			r = Reason{Code: code, Evidence: kind}
		}
	}
	if s.closings > 0 {
		apply(unresolvedWeight, CodeUnresolvedClose, KindSuccess)
	}
	if f := s.shed.at(now); f < 1 {
		apply(f, CodeShedding, KindShedResponse)
	}
	if ratio := s.latency.outlier(); ratio > slowFrom {
		apply(math.Max(slowFloor, slowFrom/ratio), CodeHighLatency, KindSuccess)
	}
	if s.load >= loadHigh && now.Sub(s.loadAt) < loadReportAge {
		apply(loadHighWeight, CodeHighLoad, KindLoadReport)
	}
	return w, r
}

// shedFactor falls by a step at each shed response and recovers with time.
type shedFactor struct {
	value float64
	setAt time.Time
}

func (f *shedFactor) at(now time.Time) float64 {
	if f.value >= 1 {
		return 1
	}
	return math.Min(1, f.value+shedRecovery*now.Sub(f.setAt).Seconds())
}

func (f *shedFactor) reduce(now time.Time) {
	f.value = math.Max(shedFloor, f.at(now)*shedStep)
	f.setAt = now
}

// Constants of the latency history.
const (
	// recentTime and historyTime are the time constants of the two averages.
	recentTime  = 3 * time.Second
	historyTime = 2 * time.Minute
	// historySamples is the number of samples before the history counts.
	historySamples = 30
	// latencyNoise is the difference below which latencies count as equal.
	latencyNoise = 20 * time.Millisecond
)

// history holds a recent and a long average of a server's latency.
type history struct {
	recent  float64 // ns
	long    float64 // ns
	samples int
	last    time.Time
}

func (h *history) add(latency time.Duration, now time.Time) {
	h.samples++
	if h.samples == 1 {
		h.recent, h.long, h.last = float64(latency), float64(latency), now
		return
	}
	dt := math.Max(0, float64(now.Sub(h.last)))
	h.last = now
	h.recent += (float64(latency) - h.recent) * gain(dt, recentTime, 4)
	h.long += (float64(latency) - h.long) * gain(dt, historyTime, historySamples)
}

// gain is the share of a new sample in an average with the time constant t. At
// high rates one sample gets at most 1/samples, so that single slow responses do
// not count as a trend; at low rates the elapsed time counts.
func gain(dt float64, t time.Duration, samples int) float64 {
	byTime := 1 - math.Exp(-dt/float64(t))
	return math.Min(1/float64(samples), byTime)
}

// outlier returns the ratio of recent latency to history, 1 when they are close
// or the history is too short.
func (h *history) outlier() float64 {
	if h.samples < historySamples || h.long <= 0 {
		return 1
	}
	if h.recent-h.long < float64(latencyNoise) {
		return 1
	}
	return h.recent / h.long
}
