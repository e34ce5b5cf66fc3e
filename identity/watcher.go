package identity

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jacinthrack/jacinthrack/internal/sleep"
	"github.com/jacinthrack/jacinthrack/tablestore"
)

// Watcher keeps a Membership up to date from the platform and from digests of peers. It
// is safe for concurrent use.
type Watcher struct {
	table          tablestore.Table
	list           tablestore.InstanceLister
	logger         *slog.Logger
	jitterFraction func() float64 // random, in [0, 1); replaced in tests

	mu         sync.Mutex
	zone       string
	membership *Membership
	fleetSize  FleetSize
}

// NewWatcher returns a watcher for an instance in zone. It reads the platform only after
// Run or Bootstrap has been called.
func NewWatcher(zone string, table tablestore.Table, list tablestore.InstanceLister, logger *slog.Logger) *Watcher {
	return &Watcher{
		table:          table,
		list:           list,
		logger:         logger,
		jitterFraction: rand.Float64,
		zone:           zone,
		membership:     NewMembership(zone, FleetSize{}.MembershipTimeouts()),
	}
}

// Run calls Bootstrap and then scans the registrations and reads the listing
// periodically, at the intervals for the current fleet size, until ctx is done.
func (w *Watcher) Run(ctx context.Context) {
	var loops sync.WaitGroup
	w.Bootstrap(ctx)
	loops.Go(func() {
		if sleep.For(ctx, w.FleetSize().FirstScanDelay(w.jitterFraction())) == nil {
			w.runPeriodically(ctx, w.ScanRegistrations, FleetSize.ScanInterval, "scan registrations")
		}
	})
	loops.Go(func() { w.runPeriodically(ctx, w.ListInstances, FleetSize.ListInterval, "list instances") })
	loops.Wait()
}

func (w *Watcher) runPeriodically(ctx context.Context, refresh func(context.Context) error, interval func(FleetSize) time.Duration, operation string) {
	for {
		if err := refresh(ctx); err != nil && ctx.Err() == nil {
			w.logger.Warn("could not update membership from the platform", "operation", operation, "error", err)
		}
		if sleep.For(ctx, jittered(interval(w.FleetSize()), w.jitterFraction())) != nil {
			return
		}
	}
}

// Bootstrap reads the listing and the registration rows that a new process needs
// first, see bootstrapNames. After an error it stops and leaves the rest to digests and
// scans.
func (w *Watcher) Bootstrap(ctx context.Context) {
	if err := w.ListInstances(ctx); err != nil {
		w.logger.Warn("could not update membership from the platform", "operation", "list instances", "error", err)
		return
	}
	for _, name := range bootstrapNames(w.Members(), w.zone) {
		if err := w.readRegistration(ctx, name); err != nil {
			w.logger.Warn("could not update membership from the platform", "operation", "read registration", "error", err)
			return
		}
	}
}

func (w *Watcher) readRegistration(ctx context.Context, name string) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	readAt := time.Now()
	row, err := w.table.Read(call, RegistrationKey(name))
	if err != nil || row.Version == 0 {
		return err
	}
	r, err := DecodeRegistration(row)
	if err != nil {
		return err
	}
	w.updateMembership(func(m *Membership) { m.ApplyRegistration(r, readAt) })
	return nil
}

// bootstrapNames returns the names of all instances of the own zone and of one instance
// of each other zone: about 40 in a fleet of 410 instances and 24 zones.
func bootstrapNames(members []Member, zone string) []string {
	var names []string
	seen := make(map[string]bool)
	for _, m := range members {
		if m.Zone == zone || !seen[m.Zone] {
			names = append(names, m.Name)
		}
		seen[m.Zone] = true
	}
	return names
}

// ScanRegistrations reads all registrations once. It returns the errors of the table, and
// then leaves the membership unchanged.
func (w *Watcher) ScanRegistrations(ctx context.Context) error {
	started := time.Now()
	registrations, err := ScanRegistrations(ctx, w.table)
	if err != nil {
		return err
	}
	w.updateMembership(func(m *Membership) { m.ApplyRegistrations(registrations, started) })
	return nil
}

// ListInstances reads the platform's listing once. It returns *tablestore.UnavailableError,
// and then leaves the membership unchanged.
func (w *Watcher) ListInstances(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	listing, err := w.list.List(call)
	if err != nil {
		return err
	}
	now := time.Now()
	w.updateMembership(func(m *Membership) { m.ApplyListing(listing, now) })
	return nil
}

// ApplySighting merges a digest that has just arrived.
func (w *Watcher) ApplySighting(s Sighting) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.membership.ApplySighting(s, now)
}

// DirectSightings returns the digests received directly within the last time, to be relayed to
// instances of the own zone. See Membership.DirectSightings.
func (w *Watcher) DirectSightings(within time.Duration) []Sighting {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.membership.DirectSightings(time.Now(), within)
}

// Members returns all known instances ordered by name.
func (w *Watcher) Members() []Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.membership.Members(time.Now())
}

// ProcessState returns the state of one process of an instance, see Membership.ProcessState.
func (w *Watcher) ProcessState(name string, bootID uint64) MemberState {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.membership.ProcessState(name, bootID, time.Now())
}

// LookupCandidates returns the instances that lookup answers may contain, ordered by name, see
// Membership.LookupCandidates.
func (w *Watcher) LookupCandidates() []Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.membership.LookupCandidates(time.Now())
}

// FleetSize returns the size of the fleet, from which RegistrationHolder and Watcher compute their
// intervals.
func (w *Watcher) FleetSize() FleetSize {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fleetSize
}

// updateMembership applies an update from the platform and then adapts the timeouts to
// the new size of the fleet.
func (w *Watcher) updateMembership(apply func(*Membership)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	apply(w.membership)
	w.fleetSize = w.membership.FleetSize(time.Now())
	w.membership.SetTimeouts(w.fleetSize.MembershipTimeouts())
}
