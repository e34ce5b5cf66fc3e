package shiftcap

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// WeightedBlock is a client block to move.
type WeightedBlock struct {
	Prefix netip.Prefix
	Weight float64 // expected requests per second, or 1 to count blocks
}

// BlockMove describes a move of client blocks from one site to another.
type BlockMove struct {
	From, To string // site names
	Blocks   []WeightedBlock
	// Cap is the largest weight of blocks whose callers may change site in any
	// window of LookupMaxAge.
	Cap    float64
	LookupMaxAge time.Duration // how long a cached lookup answer steers
	// PropagationDelay is the time in which a published configuration comes into force at
	// all entry instances.
	PropagationDelay time.Duration
}

// Step is a part of a move that is published at once.
type Step struct {
	Offset  time.Duration // since the first step was published
	Blocks []netip.Prefix
	Weight float64
}

// StepInterval returns the shortest time between two steps. Callers follow a step
// at any time within Spread and LookupMaxAge after it. One more LookupMaxAge keeps the last
// followers of a step and the first of the next out of a common window.
func (m BlockMove) StepInterval() time.Duration { return m.PropagationDelay + 2*m.LookupMaxAge }

// Plan divides the move into steps of at most Cap, with as few steps as
// first-fit by falling weight gives. It returns *InvalidMoveError or *OversizedBlockError.
func Plan(m BlockMove) ([]Step, error) {
	if err := m.validate(); err != nil {
		return nil, err
	}
	var steps []Step
	for _, b := range byWeight(m.Blocks) {
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

func byWeight(blocks []WeightedBlock) []WeightedBlock {
	sorted := slices.Clone(blocks)
	slices.SortFunc(sorted, func(a, b WeightedBlock) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), a.Prefix.Compare(b.Prefix))
	})
	return sorted
}

func (m BlockMove) validate() error {
	switch {
	case m.From == m.To:
		return &InvalidMoveError{Field: "to", Reason: "the sites are the same"}
	case !(m.Cap > 0):
		return &InvalidMoveError{Field: "cap", Reason: "must be above 0"}
	case m.LookupMaxAge <= 0:
		return &InvalidMoveError{Field: "max age", Reason: "must be above 0"}
	case m.PropagationDelay < 0:
		return &InvalidMoveError{Field: "spread", Reason: "must not be negative"}
	}
	seen := make(map[netip.Prefix]bool, len(m.Blocks))
	for _, b := range m.Blocks {
		if seen[b.Prefix] {
			return &InvalidMoveError{Field: "blocks", Reason: b.Prefix.String() + " is named twice"}
		}
		seen[b.Prefix] = true
		if !(b.Weight >= 0) {
			return &InvalidMoveError{Field: "blocks", Reason: b.Prefix.String() + " has no valid weight"}
		}
		if b.Weight > m.Cap {
			return &OversizedBlockError{Prefix: b.Prefix, Weight: b.Weight, Cap: m.Cap}
		}
	}
	return nil
}

// InvalidMoveError reports a field of a Move that cannot be planned with.
type InvalidMoveError struct {
	Field  string
	Reason string
}

func (e *InvalidMoveError) Error() string {
	return fmt.Sprintf("move of client blocks: %s: %s", e.Field, e.Reason)
}

// OversizedBlockError reports a block that alone exceeds the cap. It must be divided
// into smaller blocks before it can move.
type OversizedBlockError struct {
	Prefix netip.Prefix
	Weight float64
	Cap    float64
}

func (e *OversizedBlockError) Error() string {
	return fmt.Sprintf("client block %s has weight %g, the cap is %g", e.Prefix, e.Weight, e.Cap)
}

// Execution carries out a plan. It counts the interval from the confirmation of a
// step, not from its sending, because a publication may take long to be applied.
type Execution struct {
	steps     []Step
	interval  time.Duration
	next      int
	sent      bool // the next step was handed out and is not confirmed
	confirmed time.Time
}

// NewExecution starts a plan at its first step.
func NewExecution(m BlockMove, steps []Step) *Execution {
	return &Execution{steps: steps, interval: m.StepInterval()}
}

// TakeDueStep returns the step to publish at the time now. The second result is false
// while the interval lasts, while a step is unconfirmed, and at the end.
func (p *Execution) TakeDueStep(now time.Time) (Step, bool) {
	if p.Finished() || p.sent {
		return Step{}, false
	}
	if p.next > 0 && now.Sub(p.confirmed) < p.interval {
		return Step{}, false
	}
	p.sent = true
	return p.steps[p.next], true
}

// ConfirmStep reports that the step handed out last is in force. now is a clock
// reading after the publication was confirmed.
func (p *Execution) ConfirmStep(now time.Time) {
	if !p.sent {
		return
	}
	p.sent = false
	p.next++
	p.confirmed = now
}

// RetryStep reports that the step handed out last was not published and never will
// be. Due returns it again.
func (p *Execution) RetryStep() { p.sent = false }

// Finished reports whether all steps are confirmed.
func (p *Execution) Finished() bool { return p.next >= len(p.steps) }
