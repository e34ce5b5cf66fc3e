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
	// NoSpillover keeps requests in the region of their entry instance.
	NoSpillover bool `json:"no_spill,omitempty"`
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
		LatencyWeighted(), RefusalWeighted(),
	}
}

// LatencyWeighted weighs latency: little waiting, faster servers first.
func LatencyWeighted() Policy {
	return Policy{Name: "latency-weighted", Config: config.Policy{
		LatencyWeight: 3, RefusalWeight: 1, QueueWait: config.Duration(50 * time.Millisecond),
	}}
}

// RefusalWeighted weighs refusals: requests wait for room, load is spread evenly.
func RefusalWeighted() Policy {
	return Policy{Name: "refusal-weighted", Config: config.Policy{
		LatencyWeight: 1, RefusalWeight: 3, QueueWait: config.Duration(500 * time.Millisecond),
	}}
}

// steerer is the steering of one entry instance.
type steerer interface {
	request(q *request)
	place(q *request) (*backend, error)
	// ended takes the outcome and returns whether and when to try again.
	ended(q *request, k serverstate.EventKind, closing bool) (wait time.Duration, again bool)
	tick()
}

// newSteerer returns nil for an unknown baseline.
func newSteerer(r *replay, e *entryInstance) steerer {
	switch r.policy.Baseline {
	case "":
		return newDecisions(r, e)
	case BaselineRandom, BaselineRoundRobin, BaselineLeastOutstanding:
		return &baseline{r: r, region: e.Region, rng: r.random(e.Name), inUse: map[*backend]int{}}
	default:
		return nil
	}
}

// baseline steers without knowledge and retries at once.
type baseline struct {
	r      *replay
	region string
	rng    *rand.Rand
	next   int
	inUse  map[*backend]int
}

func (s *baseline) request(*request) {}
func (s *baseline) tick()            {}

func (s *baseline) place(*request) (*backend, error) {
	local := slices.DeleteFunc(slices.Clone(s.r.backends), func(b *backend) bool { return b.Region != s.region })
	s.next++
	chosen := local[s.next%len(local)]
	switch s.r.policy.Baseline {
	case BaselineRandom:
		chosen = local[s.rng.IntN(len(local))]
	case BaselineLeastOutstanding:
		for _, b := range local {
			if s.inUse[b] < s.inUse[chosen] {
				chosen = b
			}
		}
	}
	s.inUse[chosen]++
	return chosen, nil
}

func (s *baseline) ended(q *request, k serverstate.EventKind, _ bool) (time.Duration, bool) {
	s.inUse[q.server]--
	safe := q.Idempotent || k == serverstate.KindConnectionRefused
	return 0, k != serverstate.KindSuccess && safe && len(q.tried) < retry.MaxAttempts
}
