package serverstate

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Tracker tracks the states of a set of servers. All methods are safe for concurrent use.
// The forwarding path reads weights and adds observations from many goroutines.
type Tracker struct {
	mu         sync.RWMutex
	servers    map[string]*server // by name
	zoneGroups map[zoneGroup][]*server
}

// zoneGroup identifies the servers of a service in an availability zone. Soft evidence may
// exclude at most half of them.
type zoneGroup struct{ service, zone string }

// UnknownServerError reports a server that is not tracked.
type UnknownServerError struct{ Server string }

func (e *UnknownServerError) Error() string {
	return fmt.Sprintf("backend server %q is not tracked", e.Server)
}

// NewTracker returns a tracker without servers.
func NewTracker() *Tracker {
	return &Tracker{
		servers:    make(map[string]*server),
		zoneGroups: make(map[zoneGroup][]*server),
	}
}

// Add adds a server in state Joining. If the server is tracked already, Add replaces its
// configuration and keeps its state.
func (t *Tracker) Add(spec Server, now time.Time) {
	t.add(spec, Joining, now, Reason{Code: CodeAdded})
}

// AddServing adds a server in state Serving. It is meant for the servers in the first
// configuration. They need no slow start, because they were most likely running before
// this entry instance started.
func (t *Tracker) AddServing(spec Server, now time.Time) {
	t.add(spec, Serving, now, Reason{Code: CodeConfiguredAtStartup})
}

// add adds a server in the given state or replaces the configuration of a tracked one.
func (t *Tracker) add(spec Server, initial State, now time.Time, r Reason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := newServer(spec, initial, now, r)
	if existing, ok := t.servers[spec.Name]; ok {
		t.ungroup(existing)
		spec.SlowStart = s.SlowStart
		existing.Server = spec
		s = existing
	}
	t.servers[spec.Name] = s
	key := zoneGroup{s.Service, s.Zone}
	t.zoneGroups[key] = append(t.zoneGroups[key], s)
	t.limitSoftExclusions(key)
}

// Remove removes a server that is no longer configured.
func (t *Tracker) Remove(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[name]
	if !ok {
		return
	}
	delete(t.servers, name)
	t.ungroup(s)
	t.limitSoftExclusions(zoneGroup{s.Service, s.Zone})
}

// ungroup removes a server from its zone group.
func (t *Tracker) ungroup(s *server) {
	key := zoneGroup{s.Service, s.Zone}
	t.zoneGroups[key] = slices.DeleteFunc(t.zoneGroups[key], func(other *server) bool { return other == s })
	if len(t.zoneGroups[key]) == 0 {
		delete(t.zoneGroups, key)
	}
}

// Observe applies an event to its server and returns the transitions that it caused. It
// returns an *UnknownServerError if the server is not tracked.
func (t *Tracker) Observe(e Event) ([]Transition, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[e.Server]
	if !ok {
		return nil, &UnknownServerError{Server: e.Server}
	}
	wasSoft := s.softEvidence
	changed := s.observe(e)
	if len(changed) > 0 || wasSoft != s.softEvidence {
		t.limitSoftExclusions(zoneGroup{s.Service, s.Zone})
	}
	return changed, nil
}

// Tick applies the transitions that are due because time has passed and returns them,
// sorted by server. It must be called once per second.
func (t *Tracker) Tick(now time.Time) []Transition {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []Transition
	for _, s := range t.servers {
		changed = append(changed, s.tick(now)...)
	}
	if len(changed) == 0 {
		return nil
	}
	for key := range t.zoneGroups {
		t.limitSoftExclusions(key)
	}
	slices.SortFunc(changed, func(a, b Transition) int { return cmp.Compare(a.Server, b.Server) })
	return changed
}

// Weight returns the weight of a server for new requests, 0 to 1, and the reason for it.
// A server with weight 0 must get none.
func (t *Tracker) Weight(name string, now time.Time) (float64, Reason) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s, ok := t.servers[name]
	if !ok {
		return 0, Reason{Code: CodeUnknownServer}
	}
	return s.weight(now)
}

// State returns the state of a server and the reason for it. It returns state 0 for a
// server that is not tracked.
func (t *Tracker) State(name string) (State, Reason) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s, ok := t.servers[name]
	if !ok {
		return 0, Reason{Code: CodeUnknownServer}
	}
	return s.state, s.reason
}

// StateForPeers returns the state of a server for the digests to other instances, as far
// as it follows from this instance's own observations. It returns state 0 for a drain
// reported by another instance, so that two instances do not keep confirming it to each
// other.
func (t *Tracker) StateForPeers(name string) State {
	state, reason := t.State(name)
	if reason.Code == CodePeerDraining {
		return 0
	}
	return state
}

// Latency returns a server's recent average latency, zero when unknown.
func (t *Tracker) Latency(name string) time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s, ok := t.servers[name]
	if !ok {
		return 0
	}
	return time.Duration(s.latency.recentNs)
}

// limitSoftExclusions keeps servers in use when soft evidence excludes more than half of
// the servers that hard evidence does not exclude. Those that were excluded first stay
// excluded.
func (t *Tracker) limitSoftExclusions(key zoneGroup) {
	var softExcluded []*server
	notHardExcluded := 0
	for _, s := range t.zoneGroups[key] {
		s.keptInUse = false
		if s.excluded() && !s.softEvidence {
			continue
		}
		notHardExcluded++
		if s.excluded() {
			softExcluded = append(softExcluded, s)
		}
	}
	maxExcluded := notHardExcluded / 2
	if len(softExcluded) <= maxExcluded {
		return
	}
	slices.SortFunc(softExcluded, func(a, b *server) int {
		return cmp.Or(a.stateSince.Compare(b.stateSince), cmp.Compare(a.Name, b.Name))
	})
	for _, s := range softExcluded[maxExcluded:] {
		s.keptInUse = true
	}
}
