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

// lookupServiceName is the service's name in the kernel's service registry.
const lookupServiceName = "lookup.snapshot"

// viewRefreshInterval is the time between two checks whether the membership still
// matches the view of the current snapshot.
const viewRefreshInterval = 200 * time.Millisecond

// lookupService maintains the snapshot from which look-ups are answered. It implements
// lookup.SnapshotSource.
type lookupService struct {
	kernel.Base
	membership *membershipService
	config     *configService
	log        *slog.Logger

	snapshot atomic.Pointer[lookup.Snapshot]
	cancel   context.CancelFunc
	done     sync.WaitGroup

	mu       sync.Mutex // held while a snapshot is built
	document *config.Document
}

// Name implements kernel.Service.
func (l *lookupService) Name() string { return lookupServiceName }

// Requires implements kernel.Service.
func (l *lookupService) Requires() []string {
	return []string{configServiceName, membershipServiceName}
}

// Provision implements kernel.Service.
func (l *lookupService) Provision(r kernel.Resolver) error {
	f := &serviceFinder{resolver: r}
	l.membership = findService[*membershipService](f, membershipServiceName)
	l.config = findService[*configService](f, configServiceName)
	if f.err != nil {
		return f.err
	}
	l.config.Subscribe(l.applyConfig)
	return nil
}

// Start implements kernel.Service.
func (l *lookupService) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.done.Go(func() { l.refreshPeriodically(ctx) })
	return nil
}

// Stop implements kernel.Service.
func (l *lookupService) Stop(context.Context) error {
	l.cancel()
	l.done.Wait()
	return nil
}

// Snapshot implements lookup.SnapshotSource.
func (l *lookupService) Snapshot() *lookup.Snapshot { return l.snapshot.Load() }

func (l *lookupService) refreshPeriodically(ctx context.Context) {
	ticker := time.NewTicker(viewRefreshInterval)
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

// applyConfig builds the snapshot of a new configuration generation.
func (l *lookupService) applyConfig(s *configstore.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	snapshot, err := lookup.NewSnapshot(s.Generation, s.Document(), l.lookupCandidates())
	if err != nil {
		// Not expected, since a snapshot can be built from every valid document.
		l.log.Error("building the look-up snapshot failed", "generation", s.Generation, "error", err)
		return
	}
	l.document = s.Document()
	l.replaceSnapshot(snapshot)
}

// refresh replaces the snapshot if the membership has changed its view.
func (l *lookupService) refresh() {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.snapshot.Load()
	if old == nil {
		return
	}
	snapshot := old.WithMembers(l.document, l.lookupCandidates())
	if snapshot.Membership.InstancesHash() != old.Membership.InstancesHash() {
		l.replaceSnapshot(snapshot)
	}
}

func (l *lookupService) replaceSnapshot(s *lookup.Snapshot) {
	l.snapshot.Store(s)
	l.log.Info("look-up snapshot replaced", "generation", s.Generation, "instances", s.Membership.InstanceCount())
}

// lookupCandidates returns the entry instances that look-ups may name. This instance
// counts as live until it drains, whatever the membership says.
func (l *lookupService) lookupCandidates() []lookup.Member {
	self := l.membership.self
	status := lookup.StatusLive
	if l.membership.draining() {
		status = lookup.StatusDraining
	}
	out := []lookup.Member{lookupMember(self.Name, self.CallerAddress, self.Zone, status)}
	for _, m := range l.membership.watcher.LookupCandidates() {
		if m.Name == self.Name || m.CallerAddress == "" {
			continue
		}
		out = append(out, lookupMember(m.Name, m.CallerAddress, m.Zone, lookupStatus(m.State)))
	}
	return out
}

func lookupMember(name, address, zone string, status lookup.MemberStatus) lookup.Member {
	return lookup.Member{
		Instance: lookup.Instance{Name: name, Address: address, Zone: zone},
		Status:   status,
	}
}

func lookupStatus(state identity.MemberState) lookup.MemberStatus {
	switch state {
	case identity.MemberLive, identity.MemberSuspected:
		return lookup.StatusLive
	case identity.MemberDraining:
		return lookup.StatusDraining
	default:
		return lookup.StatusDead
	}
}
