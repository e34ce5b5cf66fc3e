package shiftcap

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// WeightedBlock is a client block, a prefix of client addresses, with its weight.
type WeightedBlock struct {
	Prefix netip.Prefix
	Weight float64 // expected requests per second, or 1 for each block to bound their number
}

// BlockMove describes a move of client blocks from one site to another.
type BlockMove struct {
	From, To string // site names
	Blocks   []WeightedBlock
	// Cap is the maximum weight of the blocks whose callers may change site within any
	// interval of the lookup answers' maximum age.
	Cap float64
	// LookupMaxAge is the maximum time for which callers use a cached lookup answer.
	LookupMaxAge time.Duration
	// PropagationDelay is the maximum time until a published configuration is in force at
	// all entry instances.
	PropagationDelay time.Duration
}

// Step is a part of a move that is published in one configuration.
type Step struct {
	Offset time.Duration // earliest time of publication, since that of the first step
	Blocks []netip.Prefix
	Weight float64 // sum over the blocks
}

// StepInterval returns the shortest time between two steps. Callers change site at some
// time between the publication of a step and the end of the propagation delay plus the
// maximum age of lookup answers. Another maximum age separates the last callers of one
// step from the first callers of the next, so that no interval of that length contains
// both.
func (m BlockMove) StepInterval() time.Duration { return m.PropagationDelay + 2*m.LookupMaxAge }

// Plan divides the move into steps of at most the cap. It assigns the blocks in order of
// decreasing weight to the first step that has space left (first fit), which keeps the
// number of steps low. It returns an *InvalidMoveError or an *OversizedBlockError for an
// invalid move.
func Plan(m BlockMove) ([]Step, error) {
	if err := m.validate(); err != nil {
		return nil, err
	}
	var steps []Step
	for _, b := range sortedByWeight(m.Blocks) {
		i := slices.IndexFunc(steps, func(s Step) bool { return s.Weight+b.Weight <= m.Cap })
		if i < 0 {
			i = len(steps)
			steps = append(steps, Step{Offset: time.Duration(i) * m.StepInterval()})
		}
		steps[i].Blocks = append(steps[i].Blocks, b.Prefix)
		steps[i].Weight += b.Weight
	}
	return steps, nil
}

// sortedByWeight returns the blocks by decreasing weight, then by prefix.
func sortedByWeight(blocks []WeightedBlock) []WeightedBlock {
	sorted := slices.Clone(blocks)
	slices.SortFunc(sorted, func(a, b WeightedBlock) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), a.Prefix.Compare(b.Prefix))
	})
	return sorted
}

// validate returns an error if the move cannot be planned.
func (m BlockMove) validate() error {
	switch {
	case m.From == m.To:
		return &InvalidMoveError{Field: "to", Reason: "must differ from the source site"}
	case !(m.Cap > 0): // also true for NaN
		return &InvalidMoveError{Field: "cap", Reason: "must be above 0"}
	case m.LookupMaxAge <= 0:
		return &InvalidMoveError{Field: "max age", Reason: "must be above 0"}
	case m.PropagationDelay < 0:
		return &InvalidMoveError{Field: "spread", Reason: "must not be negative"}
	}
	seen := make(map[netip.Prefix]bool, len(m.Blocks))
	for _, b := range m.Blocks {
		if seen[b.Prefix] {
			return &InvalidMoveError{Field: "blocks", Reason: b.Prefix.String() + " is listed twice"}
		}
		seen[b.Prefix] = true
		if !(b.Weight >= 0) { // also true for NaN
			return &InvalidMoveError{Field: "blocks", Reason: b.Prefix.String() + " has a negative or undefined weight"}
		}
		if b.Weight > m.Cap {
			return &OversizedBlockError{Prefix: b.Prefix, Weight: b.Weight, Cap: m.Cap}
		}
	}
	return nil
}

// InvalidMoveError reports a move that cannot be planned because of an invalid field.
type InvalidMoveError struct {
	Field  string
	Reason string
}

func (e *InvalidMoveError) Error() string {
	return fmt.Sprintf("invalid move of client blocks: %s: %s", e.Field, e.Reason)
}

// OversizedBlockError reports a block whose weight alone exceeds the cap. It must be
// divided into smaller blocks before it can move.
type OversizedBlockError struct {
	Prefix netip.Prefix
	Weight float64
	Cap    float64
}

func (e *OversizedBlockError) Error() string {
	return fmt.Sprintf("client block %s cannot move: weight %g exceeds the cap of %g", e.Prefix, e.Weight, e.Cap)
}

// Execution tracks which steps of a plan have been published and confirmed. The interval
// between steps starts when a step is confirmed, not when it is published, because it may
// take long until a publication is applied. Execution is not safe for concurrent use.
type Execution struct {
	steps                []Step
	interval             time.Duration
	nextStep             int       // index in steps
	awaitingConfirmation bool      // TakeDueStep returned the next step, which is not yet confirmed
	confirmedAt          time.Time // of the previous step
}

// NewExecution returns an Execution at the first of the steps that Plan returned for m.
func NewExecution(m BlockMove, steps []Step) *Execution {
	return &Execution{steps: steps, interval: m.StepInterval()}
}

// TakeDueStep returns the next step if it is to be published at the time now. Each step is
// returned once. The second result is false if the interval since the previous step has
// not passed, if a step is unconfirmed, or if all steps are confirmed.
func (e *Execution) TakeDueStep(now time.Time) (Step, bool) {
	if e.Finished() || e.awaitingConfirmation {
		return Step{}, false
	}
	if e.nextStep > 0 && now.Sub(e.confirmedAt) < e.interval {
		return Step{}, false
	}
	e.awaitingConfirmation = true
	return e.steps[e.nextStep], true
}

// ConfirmStep records that the step last returned by TakeDueStep is in force at all entry
// instances. now is a time after the confirmation of its publication.
func (e *Execution) ConfirmStep(now time.Time) {
	if !e.awaitingConfirmation {
		return
	}
	e.awaitingConfirmation = false
	e.nextStep++
	e.confirmedAt = now
}

// RetryStep records that the step last returned by TakeDueStep was not published and never
// will be, so that it is returned again.
func (e *Execution) RetryStep() { e.awaitingConfirmation = false }

// Finished reports whether all steps are confirmed.
func (e *Execution) Finished() bool { return e.nextStep >= len(e.steps) }
