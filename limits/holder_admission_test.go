package limits

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// actions returns the actions that both property tests draw from.
func (s *simulation) actions() map[string]func(*rapid.T) {
	drawWrite := func(t *rapid.T) *writeInTransit {
		if len(s.writes) == 0 {
			t.Skip("no write in transit")
		}
		return rapid.SampledFrom(s.writes).Draw(t, "write")
	}
	return map[string]func(*rapid.T){
		"short pause": func(t *rapid.T) {
			s.advance(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
		},
		// Leases, and at times floors, end during this pause, because no process renews
		// them: all are paused or cut off from the table.
		"long pause": func(t *rapid.T) {
			s.advance(time.Duration(rapid.IntRange(4, 40).Draw(t, "s")) * time.Second)
		},
		"drain":           func(t *rapid.T) { s.admitAll(s.pick()) },
		"drain all":       func(*rapid.T) { s.admitAllEverywhere() },
		"read":            func(t *rapid.T) { s.read(s.pick()) },
		"propose a write": func(t *rapid.T) { s.proposeWrite(s.pick()) },
		"fault-free sync": func(t *rapid.T) { s.sync(s.pick()) },
		"rounds of syncs": func(t *rapid.T) {
			s.busiest = s.pick()
			s.rounds(t, s.pick())
		},
		"send a write": func(t *rapid.T) { s.readAndPropose(s.pick()) },
		"slow reply": func(t *rapid.T) {
			p := s.pick()
			if write := s.readAndPropose(p); write != nil {
				s.applyIfCurrent(write)
				s.rounds(t, p)
				s.completeWrite(write, true)
			}
		},
		"slow read": func(t *rapid.T) {
			p := s.pick()
			row, version := s.row.clone(), s.rowVersion
			s.rounds(t, s.pick())
			p.holder.ObserveRow(row, version, s.clock(p))
		},
		"second write rejected while the first is pending": func(t *rapid.T) {
			p := s.pick()
			first, second := s.readAndPropose(p), s.readAndPropose(p)
			if first != nil && second != nil {
				s.removeWrite(second)
				p.holder.WriteFailed(second.proposal, s.clock(p))
				s.read(p)
				s.applyIfCurrent(first)
			}
		},
		"borrow": func(t *rapid.T) {
			latency := time.Duration(rapid.IntRange(0, 300).Draw(t, "latency ms")) * time.Millisecond
			s.requestLoan(s.pick(), s.pick(), rapid.IntRange(1, 40).Draw(t, "tokens"), latency)
		},
		"use loans": func(*rapid.T) { s.spendLoans() },
		"drain all and use loans": func(t *rapid.T) {
			s.advance(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			s.admitAllEverywhere()
			s.spendLoans()
		},
		"write completed": func(t *rapid.T) { s.completeWrite(drawWrite(t), true) },
		"reply delayed":   func(t *rapid.T) { s.applyIfCurrent(drawWrite(t)) },
		"reply lost":      func(t *rapid.T) { s.completeWrite(drawWrite(t), false) },
		"write lost":      func(t *rapid.T) { s.removeWrite(drawWrite(t)) },
		"write rejected": func(t *rapid.T) {
			write := drawWrite(t)
			if write.appliedVersion > 0 {
				t.Skip("already applied")
			}
			s.removeWrite(write)
			write.from.holder.WriteFailed(write.proposal, s.clock(write.from))
		},
		"": func(*rapid.T) { s.checkActiveShares() },
	}
}

// admitAllEverywhere calls admitAll for all processes.
func (s *simulation) admitAllEverywhere() {
	for _, p := range s.processes {
		s.admitAll(p)
	}
}

// restart starts a new process of a random instance. The old process ends, or goes on running
// if keepOld is set.
func (s *simulation) restart(t *rapid.T, keepOld bool) {
	if len(s.processes) > 8 {
		t.Skip("maximum number of processes reached")
	}
	i := rapid.IntRange(0, len(s.processes)-1).Draw(t, "restarted")
	next := s.startProcess(s.processes[i].instance)
	if keepOld {
		s.processes = append(s.processes, next)
		return
	}
	s.processes[i] = next
}

// Checks that all holders together admit at most burst + rate·t when shares move between
// holders, holders are paused or cut off beyond the terms of their shares, writes or their
// replies are lost or late, an instance restarts while its old process still runs, and the
// limit is raised or lowered.
func TestAdmissionStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		actions := s.actions()
		actions["restart beside the old process"] = func(t *rapid.T) { s.restart(t, true) }
		actions["restart"] = func(t *rapid.T) { s.restart(t, false) }
		actions["change the limit"] = func(t *rapid.T) {
			s.generation++
			s.limit = drawLimit(t)
			s.pick().holder.SetLimit(s.limit, s.generation)
		}
		actions["leave"] = func(t *rapid.T) {
			p := s.pick()
			if proposal, ok := p.holder.Deregister(s.clock(p)); ok {
				s.writes = append(s.writes, &writeInTransit{from: p, proposal: proposal})
			}
		}
		t.Repeat(actions)
	})
}

// Checks that all holders together admit at most burst + rate·t when holders reclaim the
// entries of ended processes of their own instance, and the floors of instances that the
// platform has delisted.
func TestAdmissionStaysWithinLimitWithPredecessorReclaim(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		s.policy.ReclaimPredecessorEntries = true
		s.policy.ReclaimDelistedFloors = true
		for _, p := range s.processes {
			p.holder.policy = s.policy
		}
		actions := s.actions()
		actions["restart"] = func(t *rapid.T) { s.restart(t, false) }
		actions["stop"] = func(t *rapid.T) {
			if len(s.processes) < 2 {
				t.Skip("only one process is left")
			}
			i := rapid.IntRange(0, len(s.processes)-1).Draw(t, "stopped")
			s.processes = append(s.processes[:i], s.processes[i+1:]...)
		}
		actions["list"] = func(t *rapid.T) {
			listed := make(map[string]bool)
			for _, p := range s.processes {
				listed[p.instance] = true
			}
			p := s.pick()
			p.holder.observed.updateFromListing(p.holder.row, listed, s.clock(p))
		}
		t.Repeat(actions)
	})
}
