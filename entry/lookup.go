package entry

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/configstore"
	"github.com/jacinthrack/jacinthrack/identity"
	"github.com/jacinthrack/jacinthrack/kernel"
	"github.com/jacinthrack/jacinthrack/lookup"
)

// lookupName is the name in the kernel registry.
const lookupName = "lookup.snapshot"

// viewInterval is the time between two comparisons of the membership with the
// view in use.
const viewInterval = 200 * time.Millisecond

// lookups keeps the snapshot that look-ups are answered from. It implements
// lookup.Source.
type lookups struct {
	kernel.Base
	members *membership
	config  *configuration
	log     *slog.Logger

	snapshot atomic.Pointer[lookup.Snapshot]
	cancel   context.CancelFunc
	done     sync.WaitGroup

	mu  sync.Mutex // held while a snapshot is made
	doc *config.Document
}

// Name implements kernel.Service.
func (l *lookups) Name() string { return lookupName }

// Requires implements kernel.Service.
func (l *lookups) Requires() []string { return []string{configurationName, membershipName} }

// Provision implements kernel.Service.
func (l *lookups) Provision(r kernel.Resolver) error {
	f := &finder{resolver: r}
	l.members = find[*membership](f, membershipName)
	l.config = find[*configuration](f, configurationName)
	if f.err != nil {
		return f.err
	}
	l.config.Subscribe(l.setConfig)
	return nil
}

// Start implements kernel.Service.
func (l *lookups) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.done.Go(func() { l.run(ctx) })
	return nil
}

// Stop implements kernel.Service.
func (l *lookups) Stop(context.Context) error {
	l.cancel()
	l.done.Wait()
	return nil
}

// Snapshot implements lookup.Source.
func (l *lookups) Snapshot() *lookup.Snapshot { return l.snapshot.Load() }

func (l *lookups) run(ctx context.Context) {
	ticker := time.NewTicker(viewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.refresh()
		case <-ctx.Done():
			return
		}
	}
}

// setConfig builds the snapshot of a new generation.
func (l *lookups) setConfig(s *configstore.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	snapshot, err := lookup.NewSnapshot(s.Generation, s.Document(), l.candidates())
	if err != nil {
		// Validation admits only documents that have a table.
		l.log.Error("look-up snapshot was not built", "generation", s.Generation, "error", err)
		return
	}
	l.doc = s.Document()
	l.swap(snapshot)
}

// refresh swaps the snapshot if the membership changed.
func (l *lookups) refresh() {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.snapshot.Load()
	if old == nil {
		return
	}
	snapshot := old.WithMembers(l.doc, l.candidates())
	if snapshot.View.Version() != old.View.Version() {
		l.swap(snapshot)
	}
}

func (l *lookups) swap(s *lookup.Snapshot) {
	l.snapshot.Store(s)
	l.log.Info("look-up view changed", "generation", s.Generation, "instances", s.View.Len())
}

// candidates returns the entry instances that look-ups may name. This instance
// vouches for itself until it drains.
func (l *lookups) candidates() []lookup.Member {
	self := l.members.self
	status := lookup.StatusLive
	if l.members.draining() {
		status = lookup.StatusDraining
	}
	out := []lookup.Member{lookupMember(self.Name, self.CallerAddress, self.Zone, status)}
	for _, m := range l.members.watcher.LookupCandidates() {
		if m.Name == self.Name || m.CallerAddress == "" {
			continue
		}
		out = append(out, lookupMember(m.Name, m.CallerAddress, m.Zone, lookupStatus(m.State)))
	}
	return out
}

func lookupMember(name, address, zone string, status lookup.Status) lookup.Member {
	return lookup.Member{
		Instance: lookup.Instance{Name: name, Address: address, Zone: zone},
		Status:   status,
	}
}

func lookupStatus(state identity.MemberState) lookup.Status {
	switch state {
	case identity.MemberLive, identity.MemberSuspected:
		return lookup.StatusLive
	case identity.MemberDraining:
		return lookup.StatusDraining
	default:
		return lookup.StatusDead
	}
}
