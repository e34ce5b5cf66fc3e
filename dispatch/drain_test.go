package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// play runs requests through a table in steps of 10 ms. Each takes 400 ms.
type play struct {
	table   *Dispatcher
	running map[time.Time][]*Assignment // by the end
	started func(s *Server, at time.Time)
}

func (p *play) start(r *Request, s *Server, now time.Time) {
	end := now.Add(400 * time.Millisecond)
	p.running[end] = append(p.running[end], &Assignment{Waiter: &Waiter{Request: r}, Server: s})
	p.started(s, now)
}

func (p *play) step(now time.Time) {
	for _, g := range p.running[now] {
		p.table.Finish(g.Waiter.Request, g.Server, AttemptResult{Outcome: OutcomeSucceeded, Duration: 400 * time.Millisecond}, now)
	}
	delete(p.running, now)
	for _, g := range p.table.StartWaiters("books", now) {
		p.start(g.Waiter.Request, g.Server, now)
	}
}

// When traffic ends, the requests that are left are those that waited for the busy
// servers of another region. They must not all run there: the share of a region may
// change by the bound only.
func TestWaitingRequestsKeepTheRegionShareWhenTrafficEnds(t *testing.T) {
	const most = 0.15
	table, _ := newTable(t, 6, "a", "a", "a", "a", "c")
	table.SetMaxRegionShift(most)
	var total, far [4]int // in windows of two seconds
	p := &play{table: table, running: make(map[time.Time][]*Assignment), started: func(s *Server, at time.Time) {
		window := at.Sub(start) / (2 * time.Second)
		total[window]++
		if s.Region == "r2" {
			far[window]++
		}
	}}
	for ms := 0; ms < 8000; ms += 10 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		p.step(now)
		if ms >= 4000 || ms%20 != 0 {
			continue
		}
		zone := "a"
		if ms%40 == 0 {
			zone = "c"
		}
		r := &Request{
			Service: "books", Route: "read", ObjectHash: objectOf(table, zone, uint64(ms%400)),
			ObjectiveAt: now.Add(time.Second), Deadline: now.Add(4 * time.Second),
		}
		if d, _ := table.Submit(r, now); d.Verdict == VerdictStart {
			p.start(r, d.Server, now)
		}
	}
	must.GreaterEq(t, 20, total[2])
	must.InDelta(t, float64(far[1])/float64(total[1]), float64(far[2])/float64(total[2]), most)
}
