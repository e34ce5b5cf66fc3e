package limits

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// actions returns the moves that both property tests draw from.
func (w *simulation) actions() map[string]func(*rapid.T) {
	flying := func(t *rapid.T) *writeInTransit {
		if len(w.writes) == 0 {
			t.Skip("nothing in flight")
		}
		return rapid.SampledFrom(w.writes).Draw(t, "flight")
	}
	return map[string]func(*rapid.T){
		"short pause": func(t *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
		},
		// Long enough for leases, and at times floors, to end: the
		// processes that do nothing meanwhile are paused or cut off.
		"long pause": func(t *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(4, 40).Draw(t, "s")) * time.Second)
		},
		"drain":     func(t *rapid.T) { w.admitAll(w.pick()) },
		"drain all": func(*rapid.T) { w.admitAllEverywhere() },
		"read":      func(t *rapid.T) { w.read(w.pick()) },
		"propose":   func(t *rapid.T) { w.proposeWrite(w.pick()) },
		"exchange":  func(t *rapid.T) { w.sync(w.pick()) },
		"rounds": func(t *rapid.T) {
			w.busiest = w.pick()
			w.rounds(t, w.pick())
		},
		"send": func(t *rapid.T) { w.readAndPropose(w.pick()) },
		"slow reply": func(t *rapid.T) {
			p := w.pick()
			if f := w.readAndPropose(p); f != nil {
				w.applyIfCurrent(f)
				w.rounds(t, p)
				w.completeWrite(f, true)
			}
		},
		"slow read": func(t *rapid.T) {
			p := w.pick()
			row, version := w.row.clone(), w.rowVersion
			w.rounds(t, w.pick())
			p.holder.Observe(row, version, w.clock(p))
		},
		"second write refused while the first is open": func(t *rapid.T) {
			p := w.pick()
			first, second := w.readAndPropose(p), w.readAndPropose(p)
			if first != nil && second != nil {
				w.removeWrite(second)
				p.holder.Failed(second.proposal, w.clock(p))
				w.read(p)
				w.applyIfCurrent(first)
			}
		},
		"borrow": func(t *rapid.T) {
			travel := time.Duration(rapid.IntRange(0, 300).Draw(t, "travel ms")) * time.Millisecond
			w.requestLoan(w.pick(), w.pick(), rapid.IntRange(1, 40).Draw(t, "tokens"), travel)
		},
		"use loans": func(*rapid.T) { w.spendLoans() },
		"drain all and use loans": func(t *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			w.admitAllEverywhere()
			w.spendLoans()
		},
		"write decided": func(t *rapid.T) { w.completeWrite(flying(t), true) },
		"reply delayed": func(t *rapid.T) { w.applyIfCurrent(flying(t)) },
		"reply lost":    func(t *rapid.T) { w.completeWrite(flying(t), false) },
		"write lost":    func(t *rapid.T) { w.removeWrite(flying(t)) },
		"write refused": func(t *rapid.T) {
			f := flying(t)
			if f.appliedVersion > 0 {
				t.Skip("already applied")
			}
			w.removeWrite(f)
			f.from.holder.Failed(f.proposal, w.clock(f.from))
		},
		"": func(*rapid.T) { w.checkActiveShares() },
	}
}

func (w *simulation) admitAllEverywhere() {
	for _, p := range w.procs {
		w.admitAll(p)
	}
}

func (w *simulation) restart(t *rapid.T, keepOld bool) {
	if len(w.procs) > 8 {
		t.Skip("enough processes")
	}
	i := rapid.IntRange(0, len(w.procs)-1).Draw(t, "restarted")
	next := w.startProcess(w.procs[i].instance)
	if keepOld {
		w.procs = append(w.procs, next)
		return
	}
	w.procs[i] = next
}

// Guards against over-admission: tokens that are minted twice when a share
// moves, a share used after its term by a holder that was paused or cut off, a
// share grown on a write that was lost, a restarted process that takes its
// predecessor's share while that one still runs, and a raised or lowered limit.
func TestAdmissionStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		actions := w.actions()
		actions["restart beside the old process"] = func(t *rapid.T) { w.restart(t, true) }
		actions["restart"] = func(t *rapid.T) { w.restart(t, false) }
		actions["change the limit"] = func(t *rapid.T) {
			w.generation++
			w.limit = drawLimit(t)
			w.pick().holder.SetLimit(w.limit, w.generation)
		}
		actions["leave"] = func(t *rapid.T) {
			p := w.pick()
			if proposal, ok := p.holder.Leave(w.clock(p)); ok {
				w.writes = append(w.writes, &writeInTransit{from: p, proposal: proposal})
			}
		}
		t.Repeat(actions)
	})
}

// Guards against over-admission when a process takes over the entries of its
// ended predecessors, and when floors are reclaimed by the platform's list.
func TestAdmissionStaysWithinLimitWithPredecessorReclaim(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		w.policy.PredecessorEnded = true
		w.policy.TrustListing = true
		for _, p := range w.procs {
			p.holder.policy = w.policy
		}
		actions := w.actions()
		actions["restart"] = func(t *rapid.T) { w.restart(t, false) }
		actions["stop"] = func(t *rapid.T) {
			if len(w.procs) < 2 {
				t.Skip("last process")
			}
			i := rapid.IntRange(0, len(w.procs)-1).Draw(t, "stopped")
			w.procs = append(w.procs[:i], w.procs[i+1:]...)
		}
		actions["list"] = func(t *rapid.T) {
			listed := make(map[string]bool)
			for _, p := range w.procs {
				listed[p.instance] = true
			}
			p := w.pick()
			p.holder.observed.updateFromListing(p.holder.row, listed, w.clock(p))
		}
		t.Repeat(actions)
	})
}
