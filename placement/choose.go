package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/selector"
)

const (
	// minReportWeight is the report weight below which a server's load counts as
	// estimated. Reports have this weight after one half-life.
	minReportWeight = 0.5
	// maxRoundingSlots is how far, in slots, the expected load may exceed the usable slots
	// while reports are recent: the load is rounded to the nearest whole slot.
	// Rounding up would leave one slot of each server unused as soon as reports have any
	// age, and servers have only 3 to 6 slots.
	maxRoundingSlots = 0.5
)

// floatTolerance, in slots, absorbs the floating-point error of sums of weighted reports.
const floatTolerance = 1e-9

// Choose returns the server for a request. Its cost is linear in the number of
// candidates. If no server of the request's traffic shift can take it, the request is
// placed as if it were not shifted.
func Choose(req Request, v View, rng *rand.Rand) Decision {
	if req.Shift != nil {
		d := chooseBySelector(req, req.Shift.To, v, rng)
		if d.Server != "" {
			d.Shifted = true
			return d
		}
	}
	return chooseBySelector(req, req.Selector, v, rng)
}

// candidateLoad is the assessed load of a candidate that satisfies all rules other than load.
type candidateLoad struct {
	candidateIndex int
	samplingWeight float64 // usable slots times the server's weight, which is low during slow start
	utilization    float64 // expected load with this request, as a fraction of the usable slots
	freeSlots      float64 // expected free slots, negative if more than the usable slots are in use
	marginSlots    float64 // slots above the maximum utilization
	loadEstimated  bool    // the load comes mostly from static shares instead of reports
}

// chooseBySelector returns the server for a request among those that match sel.
func chooseBySelector(req Request, sel selector.Selector, v View, rng *rand.Rand) Decision {
	rejections := make([]Rejection, len(v.Candidates))
	var byTier [tierCount][]candidateLoad
	var local regionTotals
	for i := range v.Candidates {
		c := &v.Candidates[i]
		rejections[i].Server = c.Server
		tier := tierOf(c, v)
		if rejectByRules(c, &rejections[i], req, sel, tier, v.SpilloverErrors) {
			continue
		}
		o, reason := evaluateLoad(c, tier, v.Policy)
		if tier != TierRemote {
			local.add(c, o)
		}
		if reason != 0 {
			rejections[i].Reason = reason
			continue
		}
		o.candidateIndex = i
		rejections[i].Reason = RejectedFarther
		byTier[tier] = append(byTier[tier], o)
	}
	// The region as a whole may be full although single servers have free slots.
	if reason := local.rejectionReason(v); reason != 0 {
		rejectLocal(&byTier, rejections, reason)
	}
	for tier, usable := range byTier {
		if len(usable) > 0 {
			return pickCandidate(Tier(tier), usable, v, rejections, rng)
		}
	}
	return Decision{Rejections: rejections}
}

// regionTotals holds sums over the servers of the own region that satisfy all rules
// other than load.
type regionTotals struct {
	freeSlots    float64 // expected free slots
	marginShare  float64 // this instance's part of the slots above the maximum utilization
	inFlight     int     // in-flight requests of this instance
	staticShare  int     // this instance's static shares, in slots
	slotsDivided bool    // at least one server's slots are divided among instances
}

// add adds a candidate of the own region.
func (r *regionTotals) add(c *Candidate, o candidateLoad) {
	r.freeSlots += o.freeSlots
	r.inFlight += c.InFlight
	r.staticShare += c.StaticShare
	if c.SharerCount > 0 {
		r.marginShare += o.marginSlots / float64(c.SharerCount)
		r.slotsDivided = true
	}
}

// rejectionReason returns the reason why the region as a whole can take no more requests,
// or 0 if it can.
//
// The load of each server is rounded to whole slots. The sum of the rounding errors is
// limited to this instance's part of the slots above the maximum utilization. The static
// shares and these parts of all instances add up to at most the slots of the region, so
// that no combination of old reports overloads it. An instance does not use the unused
// share of another one: that instance may use its share again before reports of the first
// one reach it. A region could then reach 17 requests in 16 slots.
func (r *regionTotals) rejectionReason(v View) Reason {
	maxInFlight := r.staticShare + int(r.marginShare+floatTolerance)
	available := r.freeSlots + r.marginShare + floatTolerance
	switch {
	case available < 1:
		return RejectedSlotsInUse
	case r.slotsDivided && r.inFlight >= maxInFlight:
		return RejectedRegionShareInUse
	case available < float64(1+v.ReservedRequests):
		return RejectedReserved
	default:
		return 0
	}
}

// rejectLocal rejects all usable candidates of the own region with the given reason.
func rejectLocal(byTier *[tierCount][]candidateLoad, rejections []Rejection, reason Reason) {
	for _, tier := range []Tier{TierZone, TierRegion} {
		for _, o := range byTier[tier] {
			rejections[o.candidateIndex].Reason = reason
		}
		byTier[tier] = nil
	}
}

// tierOf returns the locality tier of a candidate.
func tierOf(c *Candidate, v View) Tier {
	switch {
	case c.Zone == v.Zone:
		return TierZone
	case c.Region == v.Region:
		return TierRegion
	default:
		return TierRemote
	}
}

// rejectByRules applies the rules that do not depend on the load. If the candidate violates
// one, it stores the reason in r and returns true.
func rejectByRules(c *Candidate, r *Rejection, req Request, sel selector.Selector, tier Tier, spilloverErrors map[string]error) bool {
	switch {
	case !sel.Matches(c.Labels):
		r.Reason = RejectedSelector
	case slices.Contains(req.Exclude, c.Server):
		r.Reason = RejectedAlreadyTried
	case c.Weight <= 0:
		r.Reason = RejectedState
		r.StateReason = c.StateReason
	case tier == TierRemote && !spilloverAllowed(spilloverErrors, c.Region, r):
		r.Reason = RejectedSpillover
	default:
		return false
	}
	return true
}

// spilloverAllowed reports whether the request may be sent to a region, and stores the
// error that forbids it in r.
func spilloverAllowed(spilloverErrors map[string]error, region string, r *Rejection) bool {
	err, checked := spilloverErrors[region]
	r.SpilloverError = err
	return checked && err == nil
}

// evaluateLoad returns the load of a candidate, and the reason why it cannot take the
// request, or 0 if it can.
func evaluateLoad(c *Candidate, tier Tier, p config.Policy) (candidateLoad, Reason) {
	usableSlots := float64(UsableSlots(c.Slots, p))
	expected, reported, lowestWeight := peerInFlight(c, tier)
	maxByWeight := math.Max(1, math.Ceil(usableSlots*c.Weight))
	inFlight := float64(c.InFlight) + expected
	o := candidateLoad{
		samplingWeight: c.Weight * usableSlots,
		utilization:    (inFlight + 1) / usableSlots,
		freeSlots:      math.Min(usableSlots-inFlight, maxByWeight-float64(c.InFlight)),
		marginSlots:    float64(c.Slots) - usableSlots,
		loadEstimated:  lowestWeight < minReportWeight,
	}
	maxExpected := usableSlots + floatTolerance
	if !o.loadEstimated {
		maxExpected += maxRoundingSlots
	}
	switch {
	case float64(c.InFlight)+reported+1 > usableSlots+floatTolerance:
		return o, RejectedSlotsInUse
	case inFlight+1 > maxExpected && o.loadEstimated:
		return o, RejectedStaticShareInUse
	case inFlight+1 > maxExpected:
		return o, RejectedSlotsInUse
	case float64(c.InFlight)+1 > maxByWeight:
		return o, RejectedSlowStart
	case c.IdleConnections == 0 && c.OpenConnections >= maxOpenConnections(c):
		return o, RejectedNoConnection
	}
	return o, 0
}

// peerInFlight returns the expected number of in-flight requests of other instances at a
// server, the reported part of it, and the lowest weight of a report by an instance with
// a static share, 0 if such a report is missing. For servers of other regions static
// shares do not count, because reservations bound what may be sent there.
func peerInFlight(c *Candidate, tier Tier) (expected, reported, lowestWeight float64) {
	lowestWeight = 1
	for _, u := range c.PeerUsage {
		weight := reportWeight(u.Age)
		reported += weight * float64(u.InFlight)
		expected += u.expectedInFlight(weight)
		if u.StaticShare > 0 {
			lowestWeight = math.Min(lowestWeight, weight)
		}
	}
	if tier == TierRemote {
		return reported, reported, lowestWeight
	}
	if c.UnreportedShare > 0 {
		return expected + float64(c.UnreportedShare), reported, 0
	}
	return expected, reported, lowestWeight
}

// UsableSlots returns the number of a server's slots that the maximum utilization allows to
// use.
func UsableSlots(slots int, p config.Policy) int {
	utilization := p.MaxUtilization
	if utilization <= 0 || utilization > 1 {
		utilization = DefaultMaxUtilization
	}
	return int(float64(slots)*utilization + floatTolerance)
}

// reportWeightStep is the resolution of report ages in reportWeightTable. A placement
// weighs up to a few thousand reports; computing a power of two for each would take most
// of its time.
const reportWeightStep = reportHalfLife / 32

// reportWeightTable maps the age of a report, in steps, to its weight.
var reportWeightTable = func() (table [reportLifetime/reportWeightStep + 1]float64) {
	for i := range table {
		table[i] = math.Exp2(-float64(i) * float64(reportWeightStep) / float64(reportHalfLife))
	}
	return table
}()

// reportWeight returns the weight of a report of the given age: 1 at age 0, halved every
// half-life, and 0 once the age, rounded down to a multiple of reportWeightStep, exceeds
// reportLifetime.
func reportWeight(age time.Duration) float64 {
	step := max(0, age) / reportWeightStep
	if int(step) >= len(reportWeightTable) {
		return 0
	}
	return reportWeightTable[step]
}

// maxOpenConnections returns the number of connections that this instance may open.
func maxOpenConnections(c *Candidate) int {
	if c.ConnectionShare > 0 {
		return min(c.ConnectionShare, c.MaxConnections)
	}
	return c.MaxConnections
}

// pickCandidate samples two different usable candidates of a tier and chooses the better one.
func pickCandidate(tier Tier, usable []candidateLoad, v View, rejections []Rejection, rng *rand.Rand) Decision {
	for _, o := range usable {
		rejections[o.candidateIndex].Reason = RejectedNotSampled
	}
	reason := ChosenOnlyCandidate
	better := sampleCandidate(usable, -1, rng)
	if len(usable) > 1 {
		reason = ChosenLessLoaded
		other := sampleCandidate(usable, better, rng)
		fastest := fastestLatency(usable, v.Candidates)
		if score(usable[other], fastest, v) < score(usable[better], fastest, v) {
			better, other = other, better
		}
		rejections[usable[other].candidateIndex].Reason = RejectedMoreLoaded
	}
	chosen := usable[better]
	c := &v.Candidates[chosen.candidateIndex]
	return Decision{
		Server:        c.Server,
		Region:        c.Region,
		Tier:          tier,
		Reason:        reason,
		LoadEstimated: chosen.loadEstimated,
		Rejections:    slices.Delete(rejections, chosen.candidateIndex, chosen.candidateIndex+1),
	}
}

// sampleCandidate returns the position in usable of a random candidate other than that at
// position skip; -1 skips none. The probability is proportional to the sampling weight.
func sampleCandidate(usable []candidateLoad, skip int, rng *rand.Rand) int {
	total := 0.0
	for i, o := range usable {
		if i != skip {
			total += o.samplingWeight
		}
	}
	remaining := rng.Float64() * total
	sampled := 0
	for i, o := range usable {
		if i == skip {
			continue
		}
		sampled = i
		remaining -= o.samplingWeight
		if remaining < 0 {
			break
		}
	}
	return sampled
}

// score returns the score of a candidate; lower is better. The more the policy weighs
// latency, the more it favours the faster of two equally loaded servers; the more it
// weighs refusals, the more evenly load is spread.
func score(o candidateLoad, fastest time.Duration, v View) float64 {
	latency := v.Candidates[o.candidateIndex].Latency
	if latency <= 0 || fastest <= 0 {
		return o.utilization
	}
	sum := v.Policy.LatencyWeight + v.Policy.RefusalWeight
	if sum <= 0 {
		return o.utilization
	}
	latencyShare := v.Policy.LatencyWeight / sum
	ratio := float64(latency) / float64(fastest)
	return o.utilization * (1 - latencyShare + latencyShare*ratio)
}

// fastestLatency returns the lowest known latency of the usable candidates, or zero.
func fastestLatency(usable []candidateLoad, candidates []Candidate) time.Duration {
	var fastest time.Duration
	for _, o := range usable {
		latency := candidates[o.candidateIndex].Latency
		if latency > 0 && (fastest == 0 || latency < fastest) {
			fastest = latency
		}
	}
	return fastest
}
