package serverstate

import "time"

// observe applies one event and returns the transitions that it causes.
func (s *server) observe(e Event) []Transition {
	switch e.Kind {
	case KindSuccess:
		return s.onSuccess(e)
	case KindConnectionReset:
		return s.onReset(e)
	case KindConnectionRefused:
		return s.onRefused(e)
	case KindShedResponse:
		return s.onShed(e)
	case KindServerError:
		return s.onServerError(e)
	case KindProbe:
		return s.onProbe(e)
	case KindLoadReport:
		s.load = e.Utilization
		s.loadAt = e.At
		return nil
	case KindPeerReport:
		return s.onPeer(e)
	case KindPlatformListing:
		return s.onListing(e)
	default:
		return nil
	}
}

func (s *server) onSuccess(e Event) []Transition {
	s.successAt = e.At
	s.resets = 0
	s.refused = 0
	s.errors = 0
	s.sheds = 0
	s.badProbes = 0
	s.latency.add(e.Latency, e.At)
	if e.ConnectionClose {
		return s.onClosing(e)
	}
	s.closings = 0
	s.keepsAlive = true
	// A warming server may be slow from cold caches; its weight is low already.
	if s.state == Serving && s.latency.outlier() >= slowOut {
		return s.suspect(Reason{Code: CodeHighLatency, Evidence: e.Kind}, true, e.At)
	}
	return nil
}

// onClosing counts closing responses. A server that never kept a connection says
// nothing by closing one.
func (s *server) onClosing(e Event) []Transition {
	if !s.keepsAlive {
		return nil
	}
	if s.closings == 0 {
		s.closingAt = e.At
	}
	s.closings++
	if s.closings < closingRun {
		return nil
	}
	r := Reason{Code: CodeConsecutiveCloses, Evidence: e.Kind, Count: s.closings}
	return s.move(actionDrain, r, false, e.At)
}

func (s *server) onReset(e Event) []Transition {
	s.resets++
	if s.resets < resetRun {
		return nil
	}
	r := Reason{Code: CodeConnectionResets, Evidence: e.Kind, Count: s.resets}
	return s.suspect(r, false, e.At)
}

// onRefused needs no second sign: nothing listens at the server's address.
func (s *server) onRefused(e Event) []Transition {
	s.refused++
	s.fineProbeAt = time.Time{}
	r := Reason{Code: CodeConnectionRefused, Evidence: e.Kind, Count: s.refused}
	if s.state == Draining || s.state == Suspect && s.refused >= refusedGone {
		return s.move(actionLeave, r, false, e.At)
	}
	if s.state == Suspect && !s.soft {
		s.since = e.At
		return nil
	}
	return s.suspect(r, false, e.At)
}

func (s *server) onShed(e Event) []Transition {
	s.sheds++
	s.shed.reduce(e.At)
	if e.ConnectionClose {
		return s.onClosing(e)
	}
	if s.sheds < failureRun {
		return nil
	}
	return s.suspect(Reason{Code: CodeShedding, Evidence: e.Kind, Count: s.sheds}, true, e.At)
}

func (s *server) onServerError(e Event) []Transition {
	s.errors++
	if e.ConnectionClose {
		return s.onClosing(e)
	}
	if s.errors < failureRun {
		return nil
	}
	return s.suspect(Reason{Code: CodeServerErrors, Evidence: e.Kind, Count: s.errors}, true, e.At)
}

// onProbe applies a probe. A bad probe is soft evidence, and only while no
// request succeeds; a good one ends no suspicion before its cooldown is over.
func (s *server) onProbe(e Event) []Transition {
	if e.ConnectionClose {
		return s.onClosing(e)
	}
	if e.Healthy {
		s.badProbes = 0
		s.refused = 0
		s.fineProbeAt = e.At
		return s.onFineProbe(e)
	}
	s.badProbes++
	s.fineProbeAt = time.Time{}
	if s.badProbes < probeRun || e.At.Sub(s.successAt) < passiveFresh {
		return nil
	}
	return s.suspect(Reason{Code: CodeProbesFailed, Evidence: e.Kind, Count: s.badProbes}, true, e.At)
}

func (s *server) onFineProbe(e Event) []Transition {
	if s.listing == ListingLeaving {
		return nil
	}
	r := Reason{Code: CodeProbeSucceeded, Evidence: e.Kind}
	switch s.state {
	case Joining:
		return s.move(actionAdmit, r, false, e.At)
	case Gone:
		r.Code = CodeRestarted
		return s.move(actionRejoin, r, false, e.At)
	default:
		return nil
	}
}

// onPeer applies another instance's report of a drain, so that an instance that
// rarely uses a server needs no request of its own to learn of it. Other states
// are not taken over: they may be due to the path between the two.
func (s *server) onPeer(e Event) []Transition {
	if e.PeerState != Draining {
		return nil
	}
	return s.move(actionDrain, Reason{Code: CodePeerDraining, Evidence: e.Kind}, false, e.At)
}

// onListing applies the platform's list. "Leaving" is the owner's intention, which
// successful requests do not contradict. "Absent" may be the list's lag.
func (s *server) onListing(e Event) []Transition {
	before := s.listing
	s.listing = e.Listing
	switch e.Listing {
	case ListingLeaving:
		r := Reason{Code: CodeListedLeaving, Evidence: e.Kind}
		return s.move(actionDrain, r, false, e.At)
	case ListingAbsent:
		return s.onAbsent(e)
	case ListingLive:
		return s.onListedLive(e, before)
	default:
		return nil
	}
}

func (s *server) onAbsent(e Event) []Transition {
	r := Reason{Code: CodeNotListed, Evidence: e.Kind}
	if s.state == Draining || s.state == Suspect && !s.soft {
		return s.move(actionLeave, r, false, e.At)
	}
	if e.At.Sub(s.successAt) < passiveFresh {
		return nil
	}
	return s.suspect(r, true, e.At)
}

func (s *server) onListedLive(e Event, before PlatformListing) []Transition {
	r := Reason{Code: CodeListedLive, Evidence: e.Kind}
	if s.state == Joining && !s.Probed {
		return s.move(actionAdmit, r, false, e.At)
	}
	// A server that returns to the list after it was absent has been restarted.
	if s.state == Gone && before != ListingLive {
		return s.move(actionRejoin, r, false, e.At)
	}
	return nil
}

// tick applies the passing of time.
func (s *server) tick(now time.Time) []Transition {
	age := now.Sub(s.since)
	switch s.state {
	case Joining:
		if !s.Probed && age >= joinPatience {
			return s.move(actionAdmit, Reason{Code: CodeNoFailure}, false, now)
		}
	case Warming, Serving:
		return s.tickInUse(now)
	case Suspect:
		return s.tickSuspect(now)
	case Draining:
		return s.tickDraining(now)
	case Gone:
		if !s.Probed && s.listing != ListingAbsent && s.listing != ListingLeaving && age >= goneRecheck {
			return s.move(actionRejoin, Reason{Code: CodeCooldownOver}, false, now)
		}
	}
	return nil
}

func (s *server) tickInUse(now time.Time) []Transition {
	if s.closingOverdue(now) {
		r := Reason{Code: CodeUnresolvedClose, Evidence: KindSuccess, Count: s.closings}
		return s.suspect(r, true, now)
	}
	if s.state == Warming && now.Sub(s.since) >= s.SlowStart {
		return s.move(actionWarmed, Reason{Code: CodeSlowStartComplete}, false, now)
	}
	return nil
}

func (s *server) closingOverdue(now time.Time) bool {
	return s.closings > 0 && now.Sub(s.closingAt) >= closingPatience
}

// tickSuspect ends a suspicion after its time, if the probes agree.
func (s *server) tickSuspect(now time.Time) []Transition {
	if now.Sub(s.since) < s.recheckAfter() {
		return nil
	}
	if s.Probed && !s.fineProbeAt.After(s.since) {
		return nil
	}
	if s.reason.Code == CodeNotListed && s.listing == ListingAbsent {
		return nil
	}
	s.cooldown = min(2*s.cooldown, maxCooldown)
	return s.move(actionAdmit, Reason{Code: CodeCooldownOver}, false, now)
}

func (s *server) tickDraining(now time.Time) []Transition {
	if now.Sub(s.since) < drainTime {
		return nil
	}
	return s.move(actionLeave, Reason{Code: CodeDrainTimeOver}, false, now)
}
