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
	// freshEnough is the freshness of reports that are one half-life old.
	freshEnough = 0.5
	// halfSlot rounds the expected load to whole slots while reports are fresh.
	// Rounding up would leave a slot of each server unused as soon as reports are
	// not brand-new; servers have only 3 to 6.
	halfSlot = 0.5
)

// rounding absorbs the floating point error of sums of aged reports.
const rounding = 1e-9

// Choose returns the server for a request. Its cost is linear in the number of
// candidates. A shifted request for which the shift's servers have no room is placed
// as if it had no token.
func Choose(req Request, v View, rng *rand.Rand) Decision {
	if req.Shift != nil {
		d := choose(req, req.Shift.To, v, rng)
		if d.Server != "" {
			d.Shifted = true
			return d
		}
	}
	return choose(req, req.Selector, v, rng)
}

// option is a candidate that can take the request.
type option struct {
	index  int
	weight float64 // sampling weight: only here does slow start count
	fill   float64 // load with this request, as a share of the limit
	left   float64 // expected room, below 0 when more than the limit is in use
	margin float64 // slots above the limit
	static bool
}

func choose(req Request, sel selector.Selector, v View, rng *rand.Rand) Decision {
	verdicts := make([]Rejection, len(v.Candidates))
	var byTier [tiers][]option
	var local region
	for i := range v.Candidates {
		c := &v.Candidates[i]
		verdicts[i].Server = c.Server
		tier := tierOf(c, v)
		if reject(c, &verdicts[i], req, sel, tier, v.SpilloverErrors) {
			continue
		}
		o, why := room(c, tier, v.Policy)
		if tier != TierRemote {
			local.add(c, o)
		}
		if why != 0 {
			verdicts[i].Reason = why
			continue
		}
		o.index = i
		verdicts[i].Reason = RejectedFarther
		byTier[tier] = append(byTier[tier], o)
	}
	if why := local.closed(v); why != 0 {
		dropLocal(&byTier, verdicts, why)
	}
	for tier, options := range byTier {
		if len(options) > 0 {
			return pick(Tier(tier), options, v, verdicts, rng)
		}
	}
	return Decision{Rejections: verdicts}
}

// region sums up the usable servers of the own region.
type region struct {
	left   float64 // expected room
	margin float64 // part of the slots above the limits
	own    int     // requests in progress of this instance
	share  int     // static share
	shared bool
}

func (r *region) add(c *Candidate, o option) {
	r.left += o.left
	r.own += c.InFlight
	r.share += c.StaticShare
	if c.SharerCount > 0 {
		r.margin += o.margin / float64(c.SharerCount)
		r.shared = true
	}
}

// closed returns the reason why the region as a whole takes no more requests, or 0.
//
// The load of single servers is rounded to whole slots; what this adds up to stays
// within the instance's part of the margin that the maximum utilization leaves. The
// static shares and these parts of all instances add up to at most the slots of the
// region, so that no combination of old reports overloads it. Room that others do not
// use stays unused: borrowing it was tried, and a region reached 17 of 16 slots when
// its instances went back to their own shares at once.
func (r *region) closed(v View) Reason {
	bound := r.share + int(r.margin+rounding)
	left := r.left + r.margin + rounding
	switch {
	case left < 1:
		return RejectedSlotsInUse
	case r.shared && r.own >= bound:
		return RejectedRegionShareInUse
	case left < float64(1+v.ReservedRequests):
		return RejectedReserved
	default:
		return 0
	}
}

func dropLocal(byTier *[tiers][]option, verdicts []Rejection, why Reason) {
	for _, tier := range []Tier{TierZone, TierRegion} {
		for _, o := range byTier[tier] {
			verdicts[o.index].Reason = why
		}
		byTier[tier] = nil
	}
}

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

// reject applies the rules that do not depend on the load.
func reject(c *Candidate, r *Rejection, req Request, sel selector.Selector, tier Tier, spill map[string]error) bool {
	switch {
	case !sel.Matches(c.Labels):
		r.Reason = RejectedSelector
	case slices.Contains(req.Exclude, c.Server):
		r.Reason = RejectedAlreadyTried
	case c.Weight <= 0:
		r.Reason = RejectedState
		r.StateReason = c.StateReason
	case tier == TierRemote && !mayEnter(spill, c.Region, r):
		r.Reason = RejectedSpillover
	default:
		return false
	}
	return true
}

func mayEnter(spill map[string]error, region string, r *Rejection) bool {
	refusal, known := spill[region]
	r.SpilloverError = refusal
	return known && refusal == nil
}

// room returns the option for a candidate, and the reason why it has no room or 0.
func room(c *Candidate, tier Tier, p config.Policy) (option, Reason) {
	limit := float64(UsableSlots(c.Slots, p))
	others, known, stalest := othersUse(c, tier)
	warm := math.Max(1, math.Ceil(limit*c.Weight))
	used := float64(c.InFlight) + others
	o := option{
		weight: c.Weight * limit,
		fill:   (used + 1) / limit,
		left:   math.Min(limit-used, warm-float64(c.InFlight)),
		margin: float64(c.Slots) - limit,
		static: stalest < freshEnough,
	}
	allowed := limit + rounding
	if !o.static {
		allowed += halfSlot
	}
	switch {
	case float64(c.InFlight)+known+1 > limit+rounding:
		return o, RejectedSlotsInUse
	case used+1 > allowed && o.static:
		return o, RejectedStaticShareInUse
	case used+1 > allowed:
		return o, RejectedSlotsInUse
	case float64(c.InFlight)+1 > warm:
		return o, RejectedSlowStart
	case c.IdleConnections == 0 && c.OpenConnections >= connectionLimit(c):
		return o, RejectedNoConnection
	}
	return o, 0
}

// othersUse returns the expected use by other instances, the part of it that was
// reported, and the freshness of the stalest report. Instances outside a region do
// not count static shares there: what they may use is bounded by headroom.
func othersUse(c *Candidate, tier Tier) (expected, reported, stalest float64) {
	stalest = 1
	for _, u := range c.PeerUsage {
		fresh := freshness(u.Age)
		reported += fresh * float64(u.InFlight)
		expected += u.expected(fresh)
		if u.StaticShare > 0 {
			stalest = math.Min(stalest, fresh)
		}
	}
	if tier == TierRemote {
		return reported, reported, stalest
	}
	if c.UnreportedShare > 0 {
		return expected + float64(c.UnreportedShare), reported, 0
	}
	return expected, reported, stalest
}

// UsableSlots returns the number of a server's slots that may be used.
func UsableSlots(slots int, p config.Policy) int {
	utilization := p.MaxUtilization
	if utilization <= 0 || utilization > 1 {
		utilization = DefaultMaxUtilization
	}
	return int(float64(slots)*utilization + rounding)
}

// freshnessStep is the resolution of ages. A placement weighs up to some thousand
// reports, for which computing powers would take most of its time.
const freshnessStep = halfLife / 32

// freshnessTable holds the weight of a report by its age in steps, up to reportLife.
var freshnessTable = func() (table [reportLife/freshnessStep + 1]float64) {
	for i := range table {
		table[i] = math.Exp2(-float64(i) * float64(freshnessStep) / float64(halfLife))
	}
	return table
}()

// freshness is the weight of a report: 1 at age 0, halved every half-life, 0 after
// reportLife.
func freshness(age time.Duration) float64 {
	step := max(0, age) / freshnessStep
	if int(step) >= len(freshnessTable) {
		return 0
	}
	return freshnessTable[step]
}

func connectionLimit(c *Candidate) int {
	if c.ConnectionShare > 0 {
		return min(c.ConnectionShare, c.MaxConnections)
	}
	return c.MaxConnections
}

// pick chooses within a tier: the better of two different random options.
func pick(tier Tier, options []option, v View, verdicts []Rejection, rng *rand.Rand) Decision {
	for _, o := range options {
		verdicts[o.index].Reason = RejectedNotSampled
	}
	why := ChosenOnlyCandidate
	first := sample(options, -1, rng)
	if len(options) > 1 {
		why = ChosenLessLoaded
		second := sample(options, first, rng)
		fastest := fastestLatency(options, v.Candidates)
		if score(options[second], fastest, v) < score(options[first], fastest, v) {
			first, second = second, first
		}
		verdicts[options[second].index].Reason = RejectedMoreLoaded
	}
	chosen := options[first]
	c := &v.Candidates[chosen.index]
	return Decision{
		Server:   c.Server,
		Region:   c.Region,
		Tier:     tier,
		Reason:      why,
		LoadEstimated:   chosen.static,
		Rejections: slices.Delete(verdicts, chosen.index, chosen.index+1),
	}
}

// sample returns a random option by weight, other than the one at position skip.
func sample(options []option, skip int, rng *rand.Rand) int {
	total := 0.0
	for i, o := range options {
		if i != skip {
			total += o.weight
		}
	}
	target := rng.Float64() * total
	last := 0
	for i, o := range options {
		if i == skip {
			continue
		}
		last = i
		target -= o.weight
		if target < 0 {
			break
		}
	}
	return last
}

// score compares two options; lower is better. Users who value latency more get the
// faster server at equal load; users who value refusals more get an even load.
func score(o option, fastest time.Duration, v View) float64 {
	latency := v.Candidates[o.index].Latency
	if latency <= 0 || fastest <= 0 {
		return o.fill
	}
	sum := v.Policy.LatencyWeight + v.Policy.RefusalWeight
	if sum <= 0 {
		return o.fill
	}
	share := v.Policy.LatencyWeight / sum
	ratio := float64(latency) / float64(fastest)
	return o.fill * (1 - share + share*ratio)
}

func fastestLatency(options []option, candidates []Candidate) time.Duration {
	var fastest time.Duration
	for _, o := range options {
		latency := candidates[o.index].Latency
		if latency > 0 && (fastest == 0 || latency < fastest) {
			fastest = latency
		}
	}
	return fastest
}
