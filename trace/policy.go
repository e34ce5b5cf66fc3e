package trace

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/retry"
	"github.com/jacinthrack/jacinthrack/serverstate"
)

// Policy determines how the entry instances of a replay choose servers and retry.
type Policy struct {
	Name string `json:"name"`
	// Baseline is a simple policy for comparison. If empty, the decision packages decide.
	Baseline Baseline `json:"baseline,omitempty"`
	// Config has the weights and bounds for the decision packages.
	Config config.Policy `json:"config"`
	// NoRetryBudget allows every safe retry, without a budget.
	NoRetryBudget bool `json:"no_retry_budget,omitempty"`
	// NoSpillover keeps requests in the region of their entry instance.
	NoSpillover bool `json:"no_spill,omitempty"`
}

// Baseline is a simple policy that chooses among the servers of the entry instance's region.
// It uses no server states, reports of other instances or retry budgets.
type Baseline string

// Baselines.
const (
	BaselineRandom           Baseline = "random"
	BaselineRoundRobin       Baseline = "round-robin"
	BaselineLeastOutstanding Baseline = "least-outstanding"
)

// Policies returns the baselines and the two policies that use the decision packages.
func Policies() []Policy {
	return []Policy{
		{Name: "random", Baseline: BaselineRandom},
		{Name: "round-robin", Baseline: BaselineRoundRobin},
		{Name: "least-outstanding", Baseline: BaselineLeastOutstanding},
		LatencyWeighted(), RefusalWeighted(),
	}
}

// LatencyWeighted returns a policy that prefers low latency: requests wait only briefly for a
// slot, and faster servers are preferred.
func LatencyWeighted() Policy {
	return Policy{Name: "latency-weighted", Config: config.Policy{
		LatencyWeight: 3, RefusalWeight: 1, QueueWait: config.Duration(50 * time.Millisecond),
	}}
}

// RefusalWeighted returns a policy that prefers few rejections: requests wait longer for a slot, and
// load is spread evenly.
func RefusalWeighted() Policy {
	return Policy{Name: "refusal-weighted", Config: config.Policy{
		LatencyWeight: 1, RefusalWeight: 3, QueueWait: config.Duration(500 * time.Millisecond),
	}}
}

// balancer is the load balancing of one entry instance.
type balancer interface {
	recordRequest(q *request)
	// place chooses a server for the next attempt and counts the request as in flight.
	place(q *request) (*backend, error)
	// attemptEnded records the outcome of an attempt. It returns whether to retry the
	// request, and after which time.
	attemptEnded(q *request, k serverstate.EventKind, connectionClose bool) (wait time.Duration, shouldRetry bool)
	// tick runs the periodic tasks, once per tickInterval.
	tick()
}

// newBalancer returns the balancer for the policy of the replay, or nil if its baseline is
// unknown.
func newBalancer(r *replay, e *entryInstance) balancer {
	switch r.policy.Baseline {
	case "":
		return newDecisionBalancer(r, e)
	case BaselineRandom, BaselineRoundRobin, BaselineLeastOutstanding:
		return &baselineBalancer{replay: r, region: e.Region, rng: r.newRand(e.Name), inFlight: map[*backend]int{}}
	default:
		return nil
	}
}

// baselineBalancer implements the baselines. It retries without delay.
type baselineBalancer struct {
	replay     *replay
	region     string
	rng        *rand.Rand
	placements int              // number of requests placed so far
	inFlight   map[*backend]int // requests of this instance
}

func (s *baselineBalancer) recordRequest(*request) {}
func (s *baselineBalancer) tick()                  {}

func (s *baselineBalancer) place(*request) (*backend, error) {
	local := slices.DeleteFunc(slices.Clone(s.replay.backends), func(b *backend) bool { return b.Region != s.region })
	s.placements++
	chosen := local[s.placements%len(local)]
	switch s.replay.policy.Baseline {
	case BaselineRandom:
		chosen = local[s.rng.IntN(len(local))]
	case BaselineLeastOutstanding:
		for _, b := range local {
			if s.inFlight[b] < s.inFlight[chosen] {
				chosen = b
			}
		}
	}
	s.inFlight[chosen]++
	return chosen, nil
}

func (s *baselineBalancer) attemptEnded(q *request, k serverstate.EventKind, _ bool) (time.Duration, bool) {
	s.inFlight[q.lastServer]--
	safe := q.Idempotent || k == serverstate.KindConnectionRefused
	return 0, k != serverstate.KindSuccess && safe && len(q.triedServers) < retry.MaxAttempts
}
