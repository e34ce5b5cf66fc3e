// Package dispatch decides which backend server runs a request, which request waits
// for room and which one is refused.
//
// It is pure: it holds no lock, clock, socket or goroutine, and time is an argument.
// The load that it answers is a fleet of instances that share servers without asking
// each other for each request, where the work asked for exceeds the slots of a
// service for seconds at a time.
package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthrack/jacinthrack/routes"
)

// Estimates about a server.
const (
	// latencyGain is the weight of a new sample in the mean service time.
	latencyGain = 0.2
	// latencyMemory is the time after which a server's own mean has moved most
	// of the way back to that of its service, so that it gets tried again.
	latencyMemory = 4 * time.Second
	// reportMemory is the time in which a report of the load decays to the long
	// mean. It is in the order of one request.
	reportMemory = 400 * time.Millisecond
	// meanGain is the weight of a report in the long mean.
	meanGain = 0.1
	// unknownShare is the part of the slots that others are taken to use at a
	// server that has reported nothing.
	unknownShare = 0.35
	// warmObjects bounds the objects that are remembered for a server.
	warmObjects = 256
	// ejectFirst and ejectMost bound the time without requests after failures.
	ejectFirst = 300 * time.Millisecond
	ejectMost  = 4 * time.Second
)

// LoadReport is what a server reports about itself.
type LoadReport struct{ InFlight, Waiting, Slots int }

// Server is the state that an instance keeps about one backend server.
type Server struct {
	routes.Server
	Region string
	// Removed is set when the platform no longer lists the server.
	Removed bool
	// Evacuated is set while the operator keeps its zone empty.
	Evacuated bool

	hash      uint64
	own       int // requests in progress from this instance
	others    float64
	othersAt  time.Time
	meanOther float64
	latency   time.Duration // mean service time, 0 without a sample
	latencyAt time.Time
	failures  int // in a row
	ejected   time.Time
	coldSince time.Time
	coldUntil time.Time
	coldNext  time.Time // when the next request may go to the cold server
	warm      map[uint64]time.Time
	rejected  float64 // recent share of requests that the server did not run or failed
}

func newServer(s routes.Server, region string) *Server {
	return &Server{Server: s, Region: region, hash: xxhash.Sum64String(s.ID), meanOther: unknownShare * float64(s.Slots), warm: make(map[uint64]time.Time)}
}

// update takes a new listing. A new incarnation starts without history.
func (s *Server) update(listed routes.Server, now time.Time) {
	if listed.Incarnation != s.Incarnation || listed.Address != s.Address {
		own := s.own
		fresh := newServer(listed, s.Region)
		fresh.Evacuated = s.Evacuated
		*s = *fresh
		s.own = own
	}
	s.Server = listed
	s.Removed = false
	if listed.WarmupLeft > 0 {
		s.cool(listed.WarmupLeft, now)
	}
}

// cool marks the server as cold for d from now.
func (s *Server) cool(d time.Duration, now time.Time) {
	if !s.cold(now) {
		s.coldSince = now
	}
	if until := now.Add(d); until.After(s.coldUntil) {
		s.coldUntil = until
	}
}

// cold reports whether the server bears few requests now.
func (s *Server) cold(now time.Time) bool { return now.Before(s.coldUntil) }

// usable reports whether new requests may go to the server at all.
func (s *Server) usable(now time.Time) bool {
	return s.Ready && !s.Removed && !s.Evacuated && s.Slots > 0 && !now.Before(s.ejected)
}

// load estimates the requests at the server, from this instance and others.
func (s *Server) load(now time.Time) float64 {
	return float64(s.own) + s.otherLoad(now)
}

func (s *Server) otherLoad(now time.Time) float64 {
	if s.othersAt.IsZero() {
		return s.meanOther
	}
	weight := math.Exp(-float64(now.Sub(s.othersAt)) / float64(reportMemory))
	return weight*s.others + (1-weight)*s.meanOther
}

// report takes the load that came with a response. own requests are already without
// the one that ended.
func (s *Server) report(l LoadReport, now time.Time) {
	if l.Slots > 0 {
		s.Slots = l.Slots
	}
	s.others = max(0, float64(l.InFlight+l.Waiting-s.own))
	s.othersAt = now
	s.meanOther += meanGain * (s.others - s.meanOther)
}

// serviceTime estimates the time of a request at the server. mean is that of its
// service.
func (s *Server) serviceTime(mean time.Duration, now time.Time) time.Duration {
	if s.latency == 0 {
		return mean
	}
	weight := math.Exp(-float64(now.Sub(s.latencyAt)) / float64(latencyMemory))
	return time.Duration(weight*float64(s.latency) + (1-weight)*float64(mean))
}

func (s *Server) observe(took time.Duration, now time.Time) {
	if s.latency == 0 {
		s.latency = took
	} else {
		s.latency += time.Duration(latencyGain * float64(took-s.latency))
	}
	s.latencyAt = now
}

// fail counts a failure and keeps requests away for a time that doubles.
func (s *Server) fail(now time.Time) {
	s.failures++
	wait := ejectFirst << min(s.failures-1, 8)
	s.ejected = now.Add(min(wait, ejectMost))
}

// remember notes that the server has handled an object.
func (s *Server) remember(object uint64, now time.Time) {
	if object == 0 {
		return
	}
	if len(s.warm) >= warmObjects {
		for old := range s.warm {
			delete(s.warm, old)
			break
		}
	}
	s.warm[object] = now
}
