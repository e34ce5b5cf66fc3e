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
	free   int     // requests for which there is room, with this one
	static bool
}

func choose(req Request, sel selector.Selector, v View, rng *rand.Rand) Decision {
	verdicts := make([]Rejection, len(v.Candidates))
	var byTier [tiers][]option
	for i := range v.Candidates {
		c := &v.Candidates[i]
		verdicts[i].Server = c.Server
		tier := tierOf(c, v)
		if reject(c, &verdicts[i], req, sel, tier, v.Spill) {
			continue
		}
		o, why := room(c, tier, v.Policy)
		if why != 0 {
			verdicts[i].Why = why
			continue
		}
		o.index = i
		verdicts[i].Why = RejectedFarther
		byTier[tier] = append(byTier[tier], o)
	}
	holdBack(&byTier, verdicts, v.Reserved)
	for tier, options := range byTier {
		if len(options) > 0 {
			return pick(Tier(tier), options, v, verdicts, rng)
		}
	}
	return Decision{Rejected: verdicts}
}

// holdBack removes the options of the own region when their room is granted to
// other regions.
func holdBack(byTier *[tiers][]option, verdicts []Rejection, reserved int) {
	if reserved <= 0 {
		return
	}
	free := 0
	for _, tier := range []Tier{TierZone, TierRegion} {
		for _, o := range byTier[tier] {
			free += o.free
		}
	}
	if free > reserved {
		return
	}
	for _, tier := range []Tier{TierZone, TierRegion} {
		for _, o := range byTier[tier] {
			verdicts[o.index].Why = RejectedReserved
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
		r.Why = RejectedSelector
	case slices.Contains(req.Exclude, c.Server):
		r.Why = RejectedTried
	case c.Weight <= 0:
		r.Why = RejectedState
		r.State = c.State
	case tier == TierRemote && !mayEnter(spill, c.Region, r):
		r.Why = RejectedSpill
	default:
		return false
	}
	return true
}

func mayEnter(spill map[string]error, region string, r *Rejection) bool {
	refusal, known := spill[region]
	r.Spill = refusal
	return known && refusal == nil
}

// room returns the option for a candidate with room, or the reason why it has none.
func room(c *Candidate, tier Tier, p config.Policy) (option, Why) {
	limit := float64(Limit(c.Slots, p))
	others, known, stalest := othersUse(c, tier)
	load := float64(c.InUse) + others + 1
	static := stalest < freshEnough
	allowed := limit + rounding
	if !static {
		allowed += halfSlot
	}
	switch {
	case float64(c.InUse)+known+1 > limit+rounding:
		return option{}, RejectedSlots
	case load > allowed && static:
		return option{}, RejectedStaticShare
	case load > allowed:
		return option{}, RejectedSlots
	case float64(c.InUse)+1 > math.Max(1, math.Ceil(limit*c.Weight)):
		return option{}, RejectedSlowStart
	case c.Idle == 0 && c.Open >= connectionLimit(c):
		return option{}, RejectedConnections
	}
	return option{
		weight: c.Weight * limit,
		fill:   load / limit,
		free:   int(allowed - load + 1),
		static: static,
	}, 0
}

// othersUse returns the expected use by other instances, the part of it that was
// reported, and the freshness of the stalest report. Instances outside a region do
// not count static shares there: what they may use is bounded by headroom.
func othersUse(c *Candidate, tier Tier) (expected, reported, stalest float64) {
	stalest = 1
	for _, u := range c.Others {
		fresh := freshness(u.Age)
		reported += fresh * float64(u.InUse)
		expected += u.expected(fresh)
		if u.Share > 0 {
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

// Limit returns the number of a server's slots that may be used.
func Limit(slots int, p config.Policy) int {
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
		return min(c.ConnectionShare, c.Connections)
	}
	return c.Connections
}

// pick chooses within a tier: the better of two different random options.
func pick(tier Tier, options []option, v View, verdicts []Rejection, rng *rand.Rand) Decision {
	for _, o := range options {
		verdicts[o.index].Why = RejectedNotSampled
	}
	why := ChosenOnly
	first := sample(options, -1, rng)
	if len(options) > 1 {
		why = ChosenLessLoaded
		second := sample(options, first, rng)
		fastest := fastestLatency(options, v.Candidates)
		if score(options[second], fastest, v) < score(options[first], fastest, v) {
			first, second = second, first
		}
		verdicts[options[second].index].Why = RejectedMoreLoaded
	}
	chosen := options[first]
	c := &v.Candidates[chosen.index]
	return Decision{
		Server:   c.Server,
		Region:   c.Region,
		Tier:     tier,
		Why:      why,
		Static:   chosen.static,
		Rejected: slices.Delete(verdicts, chosen.index, chosen.index+1),
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
