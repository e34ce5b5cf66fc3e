package shiftcap

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Block is a client block, a prefix of client addresses, with its weight.
type Block struct {
	Prefix netip.Prefix
	Weight float64 // expected requests per second, or 1 for each block to bound their number
}

// Move describes a move of client blocks from one site to another.
type Move struct {
	From, To string // site names
	Blocks   []Block
	// Cap is the maximum weight of the blocks whose callers may change site within any
	// interval of the lookup answers' maximum age.
	Cap float64
	// MaxAge is the maximum time for which callers use a cached lookup answer.
	MaxAge time.Duration
	// Spread is the maximum time until a published configuration is in force at all
	// entry instances.
	Spread time.Duration
}

// Step is a part of a move that is published in one configuration.
type Step struct {
	After  time.Duration // earliest time of publication, since that of the first step
	Blocks []netip.Prefix
	Weight float64 // sum over the blocks
}

// Interval returns the shortest time between two steps. Callers change site at some time
// between the publication of a step and the end of the propagation delay plus the maximum
// age of lookup answers. Another maximum age separates the last callers of one step from
// the first callers of the next, so that no interval of that length contains both.
func (m Move) Interval() time.Duration { return m.Spread + 2*m.MaxAge }

// Plan divides the move into steps of at most the cap. It assigns the blocks in order of
// decreasing weight to the first step that has space left (first fit), which keeps the
// number of steps low. It returns a *MoveError or an *OversizeError for an invalid move.
func Plan(m Move) ([]Step, error) {
	if err := m.validate(); err != nil {
		return nil, err
	}
	var steps []Step
	for _, b := range sortedByWeight(m.Blocks) {
		i := slices.IndexFunc(steps, func(s Step) bool { return s.Weight+b.Weight <= m.Cap })
		if i < 0 {
			i = len(steps)
			steps = append(steps, Step{After: time.Duration(i) * m.Interval()})
		}
		steps[i].Blocks = append(steps[i].Blocks, b.Prefix)
		steps[i].Weight += b.Weight
	}
	return steps, nil
}

// sortedByWeight returns the blocks by decreasing weight, then by prefix.
func sortedByWeight(blocks []Block) []Block {
	sorted := slices.Clone(blocks)
	slices.SortFunc(sorted, func(a, b Block) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), a.Prefix.Compare(b.Prefix))
	})
	return sorted
}

// validate returns an error if the move cannot be planned.
func (m Move) validate() error {
	switch {
	case m.From == m.To:
		return &MoveError{Field: "to", Reason: "must differ from the source site"}
	case !(m.Cap > 0):
		return &MoveError{Field: "cap", Reason: "must be above 0"}
	case m.MaxAge <= 0:
		return &MoveError{Field: "max age", Reason: "must be above 0"}
	case m.Spread < 0:
		return &MoveError{Field: "spread", Reason: "must not be negative"}
	}
	seen := make(map[netip.Prefix]bool, len(m.Blocks))
	for _, b := range m.Blocks {
		if seen[b.Prefix] {
			return &MoveError{Field: "blocks", Reason: b.Prefix.String() + " is listed twice"}
		}
		seen[b.Prefix] = true
		if !(b.Weight >= 0) {
			return &MoveError{Field: "blocks", Reason: b.Prefix.String() + " has a negative or undefined weight"}
		}
		if b.Weight > m.Cap {
			return &OversizeError{Prefix: b.Prefix, Weight: b.Weight, Cap: m.Cap}
		}
	}
	return nil
}

// MoveError reports a move that cannot be planned because of an invalid field.
type MoveError struct {
	Field  string
	Reason string
}

func (e *MoveError) Error() string {
	return fmt.Sprintf("invalid move of client blocks: %s: %s", e.Field, e.Reason)
}

// OversizeError reports a block whose weight alone exceeds the cap. It must be divided into
// smaller blocks before it can move.
type OversizeError struct {
	Prefix netip.Prefix
	Weight float64
	Cap    float64
}

func (e *OversizeError) Error() string {
	return fmt.Sprintf("client block %s cannot move: weight %g exceeds the cap of %g", e.Prefix, e.Weight, e.Cap)
}

// Progress tracks which steps of a plan have been published and confirmed. The interval
// between steps starts when a step is confirmed, not when it is published, because it may
// take long until a publication is applied. Progress is not safe for concurrent use.
type Progress struct {
	steps                []Step
	interval             time.Duration
	nextStep             int       // index in steps
	awaitingConfirmation bool      // Due returned the next step, which is not yet confirmed
	confirmedAt          time.Time // of the previous step
}

// NewProgress returns a Progress at the first of the steps that Plan returned for m.
func NewProgress(m Move, steps []Step) *Progress {
	return &Progress{steps: steps, interval: m.Interval()}
}

// Due returns the next step if it is to be published at the time now. Each step is returned
// once. The second result is false if the interval since the previous step has not passed,
// if a step is unconfirmed, or if all steps are confirmed.
func (p *Progress) Due(now time.Time) (Step, bool) {
	if p.Finished() || p.awaitingConfirmation {
		return Step{}, false
	}
	if p.nextStep > 0 && now.Sub(p.confirmedAt) < p.interval {
		return Step{}, false
	}
	p.awaitingConfirmation = true
	return p.steps[p.nextStep], true
}

// Confirm records that the step last returned by Due is in force at all entry instances.
// now is a time after the confirmation of its publication.
func (p *Progress) Confirm(now time.Time) {
	if !p.awaitingConfirmation {
		return
	}
	p.awaitingConfirmation = false
	p.nextStep++
	p.confirmedAt = now
}

// Retry records that the step last returned by Due was not published and never will be, so
// that it is returned again.
func (p *Progress) Retry() { p.awaitingConfirmation = false }

// Finished reports whether all steps are confirmed.
func (p *Progress) Finished() bool { return p.nextStep >= len(p.steps) }
