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

// Watcher keeps a Membership up to date from the platform and from digests. It
// is safe for concurrent use.
type Watcher struct {
	table  tablestore.Table
	list   tablestore.InstanceLister
	logger *slog.Logger
	jitter func() float64 // in [0, 1); replaced in tests

	mu    sync.Mutex
	zone  string
	view  *Membership
	fleet FleetSize
}

// NewWatcher returns a watcher for an instance in zone. Run must be called.
func NewWatcher(zone string, table tablestore.Table, list tablestore.InstanceLister, logger *slog.Logger) *Watcher {
	return &Watcher{
		table:  table,
		list:   list,
		logger: logger,
		jitter: rand.Float64,
		zone:   zone,
		view:   NewMembership(zone, FleetSize{}.MembershipTimeouts()),
	}
}

// Run scans and lists at the fleet's intervals until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	var both sync.WaitGroup
	w.Bootstrap(ctx)
	both.Go(func() {
		if sleep.For(ctx, w.FleetSize().FirstScanDelay(w.jitter())) == nil {
			w.every(ctx, w.ScanRegistrations, FleetSize.ScanInterval, "scan registrations")
		}
	})
	both.Go(func() { w.every(ctx, w.ListInstances, FleetSize.ListInterval, "list instances") })
	both.Wait()
}

func (w *Watcher) every(ctx context.Context, step func(context.Context) error, interval func(FleetSize) time.Duration, what string) {
	for {
		if err := step(ctx); err != nil && ctx.Err() == nil {
			w.logger.Warn("membership not updated", "step", what, "error", err)
		}
		if sleep.For(ctx, jittered(interval(w.FleetSize()), w.jitter())) != nil {
			return
		}
	}
}

// Bootstrap reads the listing and the rows of the instances that a new process
// needs first. Failures leave the view as it is; digests and scans follow.
func (w *Watcher) Bootstrap(ctx context.Context) {
	if err := w.ListInstances(ctx); err != nil {
		w.logger.Warn("membership not updated", "step", "list instances", "error", err)
		return
	}
	for _, name := range bootstrapNames(w.Members(), w.zone) {
		if err := w.readOne(ctx, name); err != nil {
			w.logger.Warn("membership not updated", "step", "read registration", "error", err)
			return
		}
	}
}

func (w *Watcher) readOne(ctx context.Context, name string) error {
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
	w.update(func(m *Membership) { m.ApplyRegistration(r, readAt) })
	return nil
}

// bootstrapNames returns all instances of the own zone and one of each other
// zone: about 40 rows in a fleet of 410 instances and 24 zones.
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

// ScanRegistrations reads all registrations once. It returns the errors of the table; the
// view then stays as it is.
func (w *Watcher) ScanRegistrations(ctx context.Context) error {
	started := time.Now()
	registrations, err := ScanRegistrations(ctx, w.table)
	if err != nil {
		return err
	}
	w.update(func(m *Membership) { m.ApplyRegistrations(registrations, started) })
	return nil
}

// ListInstances reads the platform's instance list once. It returns *UnavailableError of
// the platform; the view then stays as it is.
func (w *Watcher) ListInstances(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	listing, err := w.list.List(call)
	if err != nil {
		return err
	}
	now := time.Now()
	w.update(func(m *Membership) { m.ApplyListing(listing, now) })
	return nil
}

// ApplySighting merges a digest that arrived now.
func (w *Watcher) ApplySighting(s Sighting) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.view.ApplySighting(s, now)
}

// DirectSightings returns what the digests to zone mates pass on: the instances heard
// without a relay within the last time.
func (w *Watcher) DirectSightings(within time.Duration) []Sighting {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view.DirectSightings(time.Now(), within)
}

// Members returns all known instances ordered by name.
func (w *Watcher) Members() []Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view.Members(time.Now())
}

// ProcessState returns the state of one process, as Membership.ProcessState.
func (w *Watcher) ProcessState(name string, bootID uint64) MemberState {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view.ProcessState(name, bootID, time.Now())
}

// LookupCandidates returns the instances that lookups may name, ordered by name.
func (w *Watcher) LookupCandidates() []Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view.LookupCandidates(time.Now())
}

// FleetSize returns the size of the fleet for the intervals of Holder and Watcher.
func (w *Watcher) FleetSize() FleetSize {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fleet
}

// update merges news from the platform and adapts the rules to the fleet's size.
func (w *Watcher) update(apply func(*Membership)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	apply(w.view)
	w.fleet = w.view.FleetSize(time.Now())
	w.view.SetTimeouts(w.fleet.MembershipTimeouts())
}
