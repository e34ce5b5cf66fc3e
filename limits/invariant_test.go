package limits

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// actions returns the moves that both property tests draw from.
func (w *world) actions() map[string]func(*rapid.T) {
	flying := func(t *rapid.T) *flight {
		if len(w.flights) == 0 {
			t.Skip("nothing in flight")
		}
		return rapid.SampledFrom(w.flights).Draw(t, "flight")
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
		"drain":     func(t *rapid.T) { w.drain(w.pick()) },
		"drain all": func(*rapid.T) { w.drainAll() },
		"read":      func(t *rapid.T) { w.read(w.pick()) },
		"propose":   func(t *rapid.T) { w.propose(w.pick()) },
		"exchange":  func(t *rapid.T) { w.exchange(w.pick()) },
		"rounds": func(t *rapid.T) {
			w.hot = w.pick()
			w.rounds(t, w.pick())
		},
		"send": func(t *rapid.T) { w.send(w.pick()) },
		"slow reply": func(t *rapid.T) {
			p := w.pick()
			if f := w.send(p); f != nil {
				w.decide(f)
				w.rounds(t, p)
				w.land(f, true)
			}
		},
		"slow read": func(t *rapid.T) {
			p := w.pick()
			row, version := w.table.clone(), w.version
			w.rounds(t, w.pick())
			p.holder.ObserveRow(row, version, w.clock(p))
		},
		"second write refused while the first is open": func(t *rapid.T) {
			p := w.pick()
			first, second := w.send(p), w.send(p)
			if first != nil && second != nil {
				w.remove(second)
				p.holder.WriteFailed(second.proposal, w.clock(p))
				w.read(p)
				w.decide(first)
			}
		},
		"borrow": func(t *rapid.T) {
			travel := time.Duration(rapid.IntRange(0, 300).Draw(t, "travel ms")) * time.Millisecond
			w.borrow(w.pick(), w.pick(), rapid.IntRange(1, 40).Draw(t, "tokens"), travel)
		},
		"use loans": func(*rapid.T) { w.useLoans() },
		"drain all and use loans": func(t *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			w.drainAll()
			w.useLoans()
		},
		"write decided": func(t *rapid.T) { w.land(flying(t), true) },
		"reply delayed": func(t *rapid.T) { w.decide(flying(t)) },
		"reply lost":    func(t *rapid.T) { w.land(flying(t), false) },
		"write lost":    func(t *rapid.T) { w.remove(flying(t)) },
		"write refused": func(t *rapid.T) {
			f := flying(t)
			if f.applied > 0 {
				t.Skip("already applied")
			}
			w.remove(f)
			f.from.holder.WriteFailed(f.proposal, w.clock(f.from))
		},
		"": func(*rapid.T) { w.checkUse() },
	}
}

func (w *world) drainAll() {
	for _, p := range w.procs {
		w.drain(p)
	}
}

func (w *world) restart(t *rapid.T, keepOld bool) {
	if len(w.procs) > 8 {
		t.Skip("enough processes")
	}
	i := rapid.IntRange(0, len(w.procs)-1).Draw(t, "restarted")
	next := w.boot(w.procs[i].instance)
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
		w := newWorld(t)
		actions := w.actions()
		actions["restart beside the old process"] = func(t *rapid.T) { w.restart(t, true) }
		actions["restart"] = func(t *rapid.T) { w.restart(t, false) }
		actions["change the limit"] = func(t *rapid.T) {
			w.gen++
			w.limit = drawLimit(t)
			w.pick().holder.SetLimit(w.limit, w.gen)
		}
		actions["leave"] = func(t *rapid.T) {
			p := w.pick()
			if proposal, ok := p.holder.Deregister(w.clock(p)); ok {
				w.flights = append(w.flights, &flight{from: p, proposal: proposal})
			}
		}
		t.Repeat(actions)
	})
}

// Guards against over-admission when a process takes over the entries of its
// ended predecessors, and when floors are reclaimed by the platform's list.
func TestAdmissionStaysWithinLimitWhenEndIsKnown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.policy.ReclaimPredecessorEntries = true
		w.policy.ReclaimDelistedFloors = true
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
			p.holder.seen.list(p.holder.row, listed, w.clock(p))
		}
		t.Repeat(actions)
	})
}
