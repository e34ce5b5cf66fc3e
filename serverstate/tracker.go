package serverstate

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Tracker tracks a set of servers. All methods are safe for concurrent use: the
// forwarding path calls Observe and Eligible from many goroutines.
type Tracker struct {
	mu      sync.RWMutex
	servers map[string]*server
	groups  map[group][]*server
}

// group is the set in which soft evidence may take out at most half.
type group struct{ service, zone string }

// UnknownServerError reports a server that is not tracked.
type UnknownServerError struct{ Server string }

func (e *UnknownServerError) Error() string {
	return fmt.Sprintf("server %q is not tracked", e.Server)
}

// NewTracker returns a tracker without servers.
func NewTracker() *Tracker {
	return &Tracker{
		servers: make(map[string]*server),
		groups:  make(map[group][]*server),
	}
}

// Add tracks a new server in state Joining. A server that is tracked already keeps
// its state and gets the new description.
func (t *Tracker) Add(spec Server, now time.Time) {
	t.add(spec, Joining, now, Reason{Code: CodeAdded})
}

// AddServing tracks a server in state Serving. It is for the servers of the
// first configuration: an entry instance that starts says nothing about them.
func (t *Tracker) AddServing(spec Server, now time.Time) {
	t.add(spec, Serving, now, Reason{Code: CodeConfiguredAtStartup})
}

func (t *Tracker) add(spec Server, initial State, now time.Time, r Reason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := newServer(spec, initial, now, r)
	if old, ok := t.servers[spec.Name]; ok {
		t.ungroup(old)
		spec.SlowStart = s.SlowStart
		old.Server = spec
		s = old
	}
	t.servers[spec.Name] = s
	key := group{s.Service, s.Zone}
	t.groups[key] = append(t.groups[key], s)
	t.limitSoft(key)
}

// Remove forgets a server that is no longer configured.
func (t *Tracker) Remove(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[name]
	if !ok {
		return
	}
	delete(t.servers, name)
	t.ungroup(s)
	t.limitSoft(group{s.Service, s.Zone})
}

func (t *Tracker) ungroup(s *server) {
	key := group{s.Service, s.Zone}
	t.groups[key] = slices.DeleteFunc(t.groups[key], func(o *server) bool { return o == s })
	if len(t.groups[key]) == 0 {
		delete(t.groups, key)
	}
}

// Observe applies an event and returns the transitions that it caused. It returns
// an *UnknownServerError for a server that is not tracked.
func (t *Tracker) Observe(e Event) ([]Transition, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[e.Server]
	if !ok {
		return nil, &UnknownServerError{Server: e.Server}
	}
	wasSoft := s.soft
	moved := s.observe(e)
	if len(moved) > 0 || wasSoft != s.soft {
		t.limitSoft(group{s.Service, s.Zone})
	}
	return moved, nil
}

// Tick applies the passing of time and returns the transitions, ordered by server.
// The adapter calls it once per second.
func (t *Tracker) Tick(now time.Time) []Transition {
	t.mu.Lock()
	defer t.mu.Unlock()
	var moved []Transition
	for _, s := range t.servers {
		moved = append(moved, s.tick(now)...)
	}
	if len(moved) == 0 {
		return nil
	}
	for key := range t.groups {
		t.limitSoft(key)
	}
	slices.SortFunc(moved, func(a, b Transition) int { return cmp.Compare(a.Server, b.Server) })
	return moved
}

// Eligible returns the weight of a server for new work, 0 to 1, and the reason for
// it. Weight 0 means no new work.
func (t *Tracker) Weight(name string, now time.Time) (float64, Reason) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s, ok := t.servers[name]
	if !ok {
		return 0, Reason{Code: CodeUnknownServer}
	}
	return s.weight(now)
}

// State returns the state of a server and the reason for it, or state 0 for a
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

// StateForPeers returns the state of a server for the digest, as this instance's own
// evidence supports it. A drain learned from another instance is left out, so that
// two instances do not confirm it to each other forever.
func (t *Tracker) StateForPeers(name string) State {
	state, reason := t.State(name)
	if reason.Code == CodePeerDraining {
		return 0
	}
	return state
}

// Latency returns the server's recent average latency, zero when unknown.
func (t *Tracker) Latency(name string) time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s, ok := t.servers[name]
	if !ok {
		return 0
	}
	return time.Duration(s.latency.recent)
}

// limitSoft keeps servers in use when more than half of those that no hard evidence
// took out are out on soft evidence. The longest suspected stay out.
func (t *Tracker) limitSoft(key group) {
	var soft []*server
	usable := 0
	for _, s := range t.groups[key] {
		s.kept = false
		if s.out() && !s.soft {
			continue
		}
		usable++
		if s.out() {
			soft = append(soft, s)
		}
	}
	allowed := usable / 2
	if len(soft) <= allowed {
		return
	}
	slices.SortFunc(soft, func(a, b *server) int {
		return cmp.Or(a.since.Compare(b.since), cmp.Compare(a.Name, b.Name))
	})
	for _, s := range soft[allowed:] {
		s.kept = true
	}
}
