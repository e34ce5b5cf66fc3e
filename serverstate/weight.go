package serverstate

import (
	"math"
	"time"
)

// Weights, and factors by which evidence reduces a weight.
const (
	// minSlowStartWeight is the lowest weight of a warming server, so that it gets its
	// first requests.
	minSlowStartWeight = 0.05
	// keptInUseWeight is the weight of a server that is kept in use in spite of soft
	// evidence.
	keptInUseWeight = 0.2
	// unresolvedCloseFactor applies while a closing response is unresolved. It is above
	// zero because only further requests can resolve it.
	unresolvedCloseFactor = 0.5
	// highUtilization is the reported utilization, 0 to 1, from which
	// highUtilizationFactor applies.
	highUtilization       = 0.95
	highUtilizationFactor = 0.5
	// shedFactorStep multiplies the factor for shed responses with each of them.
	shedFactorStep = 0.85
	// minShedFactor is the lowest factor for shed responses.
	minShedFactor = 0.3
	// shedRecoveryPerSecond is added to the factor for shed responses per second.
	shedRecoveryPerSecond = 0.25
	// reducedLatencyRatio is the ratio of recent to long-term latency above which the
	// weight falls.
	reducedLatencyRatio = 3.0
	// excludedLatencyRatio is the ratio of recent to long-term latency from which a
	// serving server becomes suspect.
	excludedLatencyRatio = 10.0
	// minLatencyFactor is the lowest factor for a slow server.
	minLatencyFactor = 0.2
)

// weight returns the weight of the server for new requests, 0 to 1, and the reason for it.
func (s *server) weight(now time.Time) (float64, Reason) {
	if s.keptInUse {
		return keptInUseWeight, Reason{Code: CodeSoftEvidenceLimit, Evidence: s.reason.Evidence}
	}
	if s.excluded() {
		return 0, s.reason
	}
	if s.unresolvedCloseOverdue(now) {
		return 0, Reason{Code: CodeUnresolvedClose, Evidence: KindSuccess, Count: s.closeCount}
	}
	w, r := 1.0, Reason{Code: CodeServing}
	if s.state == Warming {
		w, r = s.slowStartWeight(now), Reason{Code: CodeWarming}
	}
	return s.reduceWeight(w, r, now)
}

// slowStartWeight returns the weight of a warming server. It is the elapsed fraction of
// slow start, but at least minSlowStartWeight.
func (s *server) slowStartWeight(now time.Time) float64 {
	elapsed := float64(now.Sub(s.stateSince)) / float64(s.SlowStart)
	return math.Min(1, math.Max(minSlowStartWeight, elapsed))
}

// reduceWeight reduces a weight for evidence that is too weak to exclude the server. The
// reason is that of the strongest reduction.
func (s *server) reduceWeight(w float64, r Reason, now time.Time) (float64, Reason) {
	lowest := 1.0
	apply := func(factor float64, code ReasonCode, kind EventKind) {
		w *= factor
		if factor < lowest {
			lowest = factor
			r = Reason{Code: code, Evidence: kind}
		}
	}
	if s.closeCount > 0 {
		apply(unresolvedCloseFactor, CodeUnresolvedClose, KindSuccess)
	}
	if f := s.shedReduction.at(now); f < 1 {
		apply(f, CodeShedding, KindShedResponse)
	}
	if ratio := s.latency.slowdownRatio(); ratio > reducedLatencyRatio {
		apply(math.Max(minLatencyFactor, reducedLatencyRatio/ratio), CodeHighLatency, KindSuccess)
	}
	if s.utilization >= highUtilization && now.Sub(s.utilizationAt) < loadReportMaxAge {
		apply(highUtilizationFactor, CodeHighLoad, KindLoadReport)
	}
	return w, r
}

// shedFactor is the factor for shed responses. Each of them lowers it, and it recovers over
// time.
type shedFactor struct {
	value float64 // at the time setAt
	setAt time.Time
}

// at returns the factor at the time now.
func (f *shedFactor) at(now time.Time) float64 {
	if f.value >= 1 {
		return 1
	}
	return math.Min(1, f.value+shedRecoveryPerSecond*now.Sub(f.setAt).Seconds())
}

// reduce lowers the factor after a shed response.
func (f *shedFactor) reduce(now time.Time) {
	f.value = math.Max(minShedFactor, f.at(now)*shedFactorStep)
	f.setAt = now
}

// Parameters of the latency history.
const (
	// recentTimeConstant and longTimeConstant are the time constants of the two
	// exponential averages.
	recentTimeConstant = 3 * time.Second
	longTimeConstant   = 2 * time.Minute
	// minHistorySamples is the number of samples from which the long-term average is used.
	minHistorySamples = 30
	// minLatencyDifference is the difference below which latencies count as equal.
	minLatencyDifference = 20 * time.Millisecond
)

// latencyHistory holds a recent and a long-term exponential average of a server's latency.
type latencyHistory struct {
	recentNs float64 // recent average, in nanoseconds
	longNs   float64 // long-term average, in nanoseconds
	samples  int
	lastAt   time.Time // of the last sample
}

// addSample updates both averages with a latency.
func (h *latencyHistory) addSample(latency time.Duration, now time.Time) {
	h.samples++
	if h.samples == 1 {
		h.recentNs, h.longNs, h.lastAt = float64(latency), float64(latency), now
		return
	}
	elapsedNs := math.Max(0, float64(now.Sub(h.lastAt)))
	h.lastAt = now
	h.recentNs += (float64(latency) - h.recentNs) * sampleWeight(elapsedNs, recentTimeConstant, 4)
	h.longNs += (float64(latency) - h.longNs) * sampleWeight(elapsedNs, longTimeConstant, minHistorySamples)
}

// sampleWeight returns the weight of a new sample in an exponential average. It follows
// from the time since the last sample, in nanoseconds, and the time constant. It is at
// most 1/minSamples, so that a single slow response after a pause does not count as a trend.
func sampleWeight(elapsedNs float64, timeConstant time.Duration, minSamples int) float64 {
	byTime := 1 - math.Exp(-elapsedNs/float64(timeConstant))
	return math.Min(1/float64(minSamples), byTime)
}

// slowdownRatio returns the ratio of the recent to the long-term average latency. It
// returns 1 if they are close or if there are too few samples.
func (h *latencyHistory) slowdownRatio() float64 {
	if h.samples < minHistorySamples || h.longNs <= 0 {
		return 1
	}
	if h.recentNs-h.longNs < float64(minLatencyDifference) {
		return 1
	}
	return h.recentNs / h.longNs
}
