package serverstate

import "time"

// observe applies an event and returns the transitions that it causes.
func (s *server) observe(e Event) []Transition {
	switch e.Kind {
	case KindSuccess:
		return s.onSuccess(e)
	case KindConnectionReset:
		return s.onConnectionReset(e)
	case KindConnectionRefused:
		return s.onConnectionRefused(e)
	case KindShedResponse:
		return s.onShedResponse(e)
	case KindServerError:
		return s.onServerError(e)
	case KindProbe:
		return s.onProbe(e)
	case KindLoadReport:
		s.utilization = e.Utilization
		s.utilizationAt = e.At
		return nil
	case KindPeerReport:
		return s.onPeerReport(e)
	case KindPlatformListing:
		return s.onListing(e)
	default:
		return nil
	}
}

// onSuccess resets the counts of failures and compares the latency with the server's own
// history.
func (s *server) onSuccess(e Event) []Transition {
	s.lastSuccessAt = e.At
	s.resetCount = 0
	s.refusalCount = 0
	s.serverErrorCount = 0
	s.shedCount = 0
	s.failedProbeCount = 0
	s.latency.addSample(e.Latency, e.At)
	if e.ConnectionClose {
		return s.onConnectionClose(e)
	}
	s.closeCount = 0
	s.supportsKeepAlive = true
	// A warming server may be slow because its caches are cold. Its weight is low anyway.
	if s.state == Serving && s.latency.slowdownRatio() >= excludedLatencyRatio {
		return s.suspect(Reason{Code: CodeHighLatency, Evidence: e.Kind}, true, e.At)
	}
	return nil
}

// onConnectionClose counts closing responses. They mean nothing at a server that has never
// kept a connection open.
func (s *server) onConnectionClose(e Event) []Transition {
	if !s.supportsKeepAlive {
		return nil
	}
	if s.closeCount == 0 {
		s.firstCloseAt = e.At
	}
	s.closeCount++
	if s.closeCount < drainCloseCount {
		return nil
	}
	r := Reason{Code: CodeConsecutiveCloses, Evidence: e.Kind, Count: s.closeCount}
	return s.applyAction(actionDrain, r, false, e.At)
}

// onConnectionReset counts connection resets.
func (s *server) onConnectionReset(e Event) []Transition {
	s.resetCount++
	if s.resetCount < suspectResetCount {
		return nil
	}
	r := Reason{Code: CodeConnectionResets, Evidence: e.Kind, Count: s.resetCount}
	return s.suspect(r, false, e.At)
}

// onConnectionRefused excludes the server at once, because no connection to it could be
// opened.
func (s *server) onConnectionRefused(e Event) []Transition {
	s.refusalCount++
	s.probeSucceededAt = time.Time{}
	r := Reason{Code: CodeConnectionRefused, Evidence: e.Kind, Count: s.refusalCount}
	if s.state == Draining || s.state == Suspect && s.refusalCount >= goneRefusalCount {
		return s.applyAction(actionMarkGone, r, false, e.At)
	}
	if s.state == Suspect && !s.softEvidence {
		s.stateSince = e.At
		return nil
	}
	return s.suspect(r, false, e.At)
}

// onShedResponse lowers the server's weight and counts shed responses.
func (s *server) onShedResponse(e Event) []Transition {
	s.shedCount++
	s.shedReduction.reduce(e.At)
	if e.ConnectionClose {
		return s.onConnectionClose(e)
	}
	if s.shedCount < suspectFailureCount {
		return nil
	}
	return s.suspect(Reason{Code: CodeShedding, Evidence: e.Kind, Count: s.shedCount}, true, e.At)
}

// onServerError counts server errors.
func (s *server) onServerError(e Event) []Transition {
	s.serverErrorCount++
	if e.ConnectionClose {
		return s.onConnectionClose(e)
	}
	if s.serverErrorCount < suspectFailureCount {
		return nil
	}
	return s.suspect(Reason{Code: CodeServerErrors, Evidence: e.Kind, Count: s.serverErrorCount}, true, e.At)
}

// onProbe applies the result of a probe. A failed probe is soft evidence, and only if no
// request has succeeded recently. A successful probe does not end a suspicion before its
// cooldown is over.
func (s *server) onProbe(e Event) []Transition {
	if e.ConnectionClose {
		return s.onConnectionClose(e)
	}
	if e.Healthy {
		s.failedProbeCount = 0
		s.refusalCount = 0
		s.probeSucceededAt = e.At
		return s.onProbeSuccess(e)
	}
	s.failedProbeCount++
	s.probeSucceededAt = time.Time{}
	if s.failedProbeCount < suspectProbeCount || e.At.Sub(s.lastSuccessAt) < successValidity {
		return nil
	}
	return s.suspect(Reason{Code: CodeProbesFailed, Evidence: e.Kind, Count: s.failedProbeCount}, true, e.At)
}

// onProbeSuccess admits a joining server and lets a gone one rejoin, unless the platform
// lists it as leaving.
func (s *server) onProbeSuccess(e Event) []Transition {
	if s.listing == ListingLeaving {
		return nil
	}
	r := Reason{Code: CodeProbeSucceeded, Evidence: e.Kind}
	switch s.state {
	case Joining:
		return s.applyAction(actionAdmit, r, false, e.At)
	case Gone:
		r.Code = CodeRestarted
		return s.applyAction(actionRejoin, r, false, e.At)
	default:
		return nil
	}
}

// onPeerReport applies another instance's report that the server is draining, so that an
// instance that rarely uses the server learns of it without a request of its own. Other
// states are ignored, because they may be due to the network path between that instance
// and the server.
func (s *server) onPeerReport(e Event) []Transition {
	if e.PeerState != Draining {
		return nil
	}
	return s.applyAction(actionDrain, Reason{Code: CodePeerDraining, Evidence: e.Kind}, false, e.At)
}

// onListing applies the server's state in the platform's list. A server listed as leaving
// drains even if its requests succeed, because its owner has decided to take it out of
// service. A server that is missing may be so only because the list lags behind.
func (s *server) onListing(e Event) []Transition {
	previous := s.listing
	s.listing = e.Listing
	switch e.Listing {
	case ListingLeaving:
		r := Reason{Code: CodeListedLeaving, Evidence: e.Kind}
		return s.applyAction(actionDrain, r, false, e.At)
	case ListingAbsent:
		return s.onNotListed(e)
	case ListingLive:
		return s.onListedLive(e, previous)
	default:
		return nil
	}
}

// onNotListed marks a server gone if other evidence agrees, and otherwise suspects it
// unless a request has succeeded recently.
func (s *server) onNotListed(e Event) []Transition {
	r := Reason{Code: CodeNotListed, Evidence: e.Kind}
	if s.state == Draining || s.state == Suspect && !s.softEvidence {
		return s.applyAction(actionMarkGone, r, false, e.At)
	}
	if e.At.Sub(s.lastSuccessAt) < successValidity {
		return nil
	}
	return s.suspect(r, true, e.At)
}

// onListedLive admits a joining server that is not probed and lets a gone server rejoin.
func (s *server) onListedLive(e Event, previous PlatformListing) []Transition {
	r := Reason{Code: CodeListedLive, Evidence: e.Kind}
	if s.state == Joining && !s.Probed {
		return s.applyAction(actionAdmit, r, false, e.At)
	}
	// A gone server that is listed as live again has been restarted.
	if s.state == Gone && previous != ListingLive {
		return s.applyAction(actionRejoin, r, false, e.At)
	}
	return nil
}

// tick applies the transitions that are due because time has passed.
func (s *server) tick(now time.Time) []Transition {
	age := now.Sub(s.stateSince)
	switch s.state {
	case Joining:
		if !s.Probed && age >= unprobedJoinDelay {
			return s.applyAction(actionAdmit, Reason{Code: CodeNoFailure}, false, now)
		}
	case Warming, Serving:
		return s.tickInUse(now)
	case Suspect:
		return s.tickSuspect(now)
	case Draining:
		return s.tickDraining(now)
	case Gone:
		if !s.Probed && s.listing != ListingAbsent && s.listing != ListingLeaving && age >= goneRetryInterval {
			return s.applyAction(actionRejoin, Reason{Code: CodeCooldownOver}, false, now)
		}
	}
	return nil
}

// tickInUse handles a warming or serving server: it suspects one whose closing response is
// unresolved for too long, and ends slow start.
func (s *server) tickInUse(now time.Time) []Transition {
	if s.unresolvedCloseOverdue(now) {
		r := Reason{Code: CodeUnresolvedClose, Evidence: KindSuccess, Count: s.closeCount}
		return s.suspect(r, true, now)
	}
	if s.state == Warming && now.Sub(s.stateSince) >= s.SlowStart {
		return s.applyAction(actionSlowStartComplete, Reason{Code: CodeSlowStartComplete}, false, now)
	}
	return nil
}

// unresolvedCloseOverdue reports whether a closing response has been unresolved for
// unresolvedCloseTimeout or longer.
func (s *server) unresolvedCloseOverdue(now time.Time) bool {
	return s.closeCount > 0 && now.Sub(s.firstCloseAt) >= unresolvedCloseTimeout
}

// tickSuspect admits a suspect server again after its minimum time. A probed server must
// have passed a probe since it became suspect, and one that is suspect because the platform
// does not list it must be listed again.
func (s *server) tickSuspect(now time.Time) []Transition {
	if now.Sub(s.stateSince) < s.minSuspectTime() {
		return nil
	}
	if s.Probed && !s.probeSucceededAt.After(s.stateSince) {
		return nil
	}
	if s.reason.Code == CodeNotListed && s.listing == ListingAbsent {
		return nil
	}
	s.cooldown = min(2*s.cooldown, maxCooldown)
	return s.applyAction(actionAdmit, Reason{Code: CodeCooldownOver}, false, now)
}

// tickDraining marks a draining server gone after drainTime.
func (s *server) tickDraining(now time.Time) []Transition {
	if now.Sub(s.stateSince) < drainTime {
		return nil
	}
	return s.applyAction(actionMarkGone, Reason{Code: CodeDrainTimeOver}, false, now)
}
