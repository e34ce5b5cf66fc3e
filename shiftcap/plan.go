package shiftcap

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Block is a client block to move.
type Block struct {
	Prefix netip.Prefix
	Weight float64 // expected requests per second, or 1 to count blocks
}

// Move describes a move of client blocks from one site to another.
type Move struct {
	From, To string // site names
	Blocks   []Block
	// Cap is the largest weight of blocks whose callers may change site in any
	// window of MaxAge.
	Cap    float64
	MaxAge time.Duration // how long a cached lookup answer steers
	// Spread is the time in which a published configuration comes into force at
	// all entry instances.
	Spread time.Duration
}

// Step is a part of a move that is published at once.
type Step struct {
	After  time.Duration // since the first step was published
	Blocks []netip.Prefix
	Weight float64
}

// Interval returns the shortest time between two steps. Callers follow a step
// at any time within Spread and MaxAge after it. One more MaxAge keeps the last
// followers of a step and the first of the next out of a common window.
func (m Move) Interval() time.Duration { return m.Spread + 2*m.MaxAge }

// Plan divides the move into steps of at most Cap, with as few steps as
// first-fit by falling weight gives. It returns *MoveError or *OversizeError.
func Plan(m Move) ([]Step, error) {
	if err := m.validate(); err != nil {
		return nil, err
	}
	var steps []Step
	for _, b := range byWeight(m.Blocks) {
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

func byWeight(blocks []Block) []Block {
	sorted := slices.Clone(blocks)
	slices.SortFunc(sorted, func(a, b Block) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), a.Prefix.Compare(b.Prefix))
	})
	return sorted
}

func (m Move) validate() error {
	switch {
	case m.From == m.To:
		return &MoveError{Field: "to", Reason: "the sites are the same"}
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
			return &MoveError{Field: "blocks", Reason: b.Prefix.String() + " is named twice"}
		}
		seen[b.Prefix] = true
		if !(b.Weight >= 0) {
			return &MoveError{Field: "blocks", Reason: b.Prefix.String() + " has no valid weight"}
		}
		if b.Weight > m.Cap {
			return &OversizeError{Prefix: b.Prefix, Weight: b.Weight, Cap: m.Cap}
		}
	}
	return nil
}

// MoveError reports a field of a Move that cannot be planned with.
type MoveError struct {
	Field  string
	Reason string
}

func (e *MoveError) Error() string {
	return fmt.Sprintf("move of client blocks: %s: %s", e.Field, e.Reason)
}

// OversizeError reports a block that alone exceeds the cap. It must be divided
// into smaller blocks before it can move.
type OversizeError struct {
	Prefix netip.Prefix
	Weight float64
	Cap    float64
}

func (e *OversizeError) Error() string {
	return fmt.Sprintf("client block %s has weight %g, the cap is %g", e.Prefix, e.Weight, e.Cap)
}

// Progress carries out a plan. It counts the interval from the confirmation of a
// step, not from its sending, because a publication may take long to be applied.
type Progress struct {
	steps     []Step
	interval  time.Duration
	next      int
	sent      bool // the next step was handed out and is not confirmed
	confirmed time.Time
}

// NewProgress starts a plan at its first step.
func NewProgress(m Move, steps []Step) *Progress {
	return &Progress{steps: steps, interval: m.Interval()}
}

// Due returns the step to publish at the time now. The second result is false
// while the interval lasts, while a step is unconfirmed, and at the end.
func (p *Progress) Due(now time.Time) (Step, bool) {
	if p.Finished() || p.sent {
		return Step{}, false
	}
	if p.next > 0 && now.Sub(p.confirmed) < p.interval {
		return Step{}, false
	}
	p.sent = true
	return p.steps[p.next], true
}

// Confirm reports that the step handed out last is in force. now is a clock
// reading after the publication was confirmed.
func (p *Progress) Confirm(now time.Time) {
	if !p.sent {
		return
	}
	p.sent = false
	p.next++
	p.confirmed = now
}

// Retry reports that the step handed out last was not published and never will
// be. Due returns it again.
func (p *Progress) Retry() { p.sent = false }

// Finished reports whether all steps are confirmed.
func (p *Progress) Finished() bool { return p.next >= len(p.steps) }
