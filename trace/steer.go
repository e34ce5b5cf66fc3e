package trace

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/retry"
	"github.com/jacinthrack/jacinthrack/serverstate"
)

// Policy is the way in which a replay steers.
type Policy struct {
	Name string `json:"name"`
	// Baseline names a simple policy. Empty means the decision packages.
	Baseline Baseline `json:"baseline,omitempty"`
	// Config holds the weights and bounds for the decision packages.
	Config config.Policy `json:"config"`
	// NoRetryBudget lets every retry that is safe happen.
	NoRetryBudget bool `json:"no_retry_budget,omitempty"`
	// NoSpill keeps requests in the region of their entry instance.
	NoSpill bool `json:"no_spill,omitempty"`
}

// Baseline is a simple policy over the servers of the entry instance's region. It
// knows no states, reports or budgets.
type Baseline string

// Baselines.
const (
	BaselineRandom           Baseline = "random"
	BaselineRoundRobin       Baseline = "round-robin"
	BaselineLeastOutstanding Baseline = "least-outstanding"
)

// Policies returns the baselines and the policies of the users.
func Policies() []Policy {
	return []Policy{
		{Name: "random", Baseline: BaselineRandom},
		{Name: "round-robin", Baseline: BaselineRoundRobin},
		{Name: "least-outstanding", Baseline: BaselineLeastOutstanding},
		Abyssinia(), Boateng(),
	}
}

// Abyssinia weighs latency: little waiting, faster servers first.
func Abyssinia() Policy {
	return Policy{Name: "latency-weighted", Config: config.Policy{
		LatencyWeight: 3, RefusalWeight: 1, QueueWait: config.Duration(50 * time.Millisecond),
	}}
}

// Boateng weighs refusals: requests wait for room, load is spread evenly.
func Boateng() Policy {
	return Policy{Name: "refusal-weighted", Config: config.Policy{
		LatencyWeight: 1, RefusalWeight: 3, QueueWait: config.Duration(500 * time.Millisecond),
	}}
}

// steerer is the steering of one entry instance.
type balancer interface {
	recordRequest(q *request)
	place(q *request) (*backend, error)
	// ended takes the outcome and returns whether and when to try again.
	attemptEnded(q *request, k serverstate.EventKind, closing bool) (wait time.Duration, again bool)
	tick()
}

// newSteerer returns nil for an unknown baseline.
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

// baseline steers without knowledge and retries at once.
type baselineBalancer struct {
	replay     *replay
	region     string
	rng        *rand.Rand
	placements int
	inFlight   map[*backend]int
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
