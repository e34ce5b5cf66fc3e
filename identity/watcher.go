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
	list   tablestore.InstanceList
	logger *slog.Logger
	jitterFraction func() float64 // in [0, 1); replaced in tests

	mu    sync.Mutex
	zone  string
	membership  *Membership
	fleetSize Fleet
}

// NewWatcher returns a watcher for an instance in zone. Run must be called.
func NewWatcher(zone string, table tablestore.Table, list tablestore.InstanceList, logger *slog.Logger) *Watcher {
	return &Watcher{
		table:  table,
		list:   list,
		logger: logger,
		jitterFraction: rand.Float64,
		zone:   zone,
		membership:   NewMembership(zone, Fleet{}.Rules()),
	}
}

// Run scans and lists at the fleet's intervals until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	var both sync.WaitGroup
	w.Bootstrap(ctx)
	both.Go(func() {
		if sleep.For(ctx, w.Fleet().FirstScanDelay(w.jitterFraction())) == nil {
			w.runPeriodically(ctx, w.Scan, Fleet.ScanInterval, "scan registrations")
		}
	})
	both.Go(func() { w.runPeriodically(ctx, w.List, Fleet.ListInterval, "list instances") })
	both.Wait()
}

func (w *Watcher) runPeriodically(ctx context.Context, step func(context.Context) error, interval func(Fleet) time.Duration, what string) {
	for {
		if err := step(ctx); err != nil && ctx.Err() == nil {
			w.logger.Warn("membership not updated", "step", what, "error", err)
		}
		if sleep.For(ctx, jittered(interval(w.Fleet()), w.jitterFraction())) != nil {
			return
		}
	}
}

// Bootstrap reads the listing and the rows of the instances that a new process
// needs first. Failures leave the view as it is; digests and scans follow.
func (w *Watcher) Bootstrap(ctx context.Context) {
	if err := w.List(ctx); err != nil {
		w.logger.Warn("membership not updated", "step", "list instances", "error", err)
		return
	}
	for _, name := range bootstrapNames(w.Members(), w.zone) {
		if err := w.readRegistration(ctx, name); err != nil {
			w.logger.Warn("membership not updated", "step", "read registration", "error", err)
			return
		}
	}
}

func (w *Watcher) readRegistration(ctx context.Context, name string) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	readAt := time.Now()
	row, err := w.table.Read(call, RowKey(name))
	if err != nil || row.Version == 0 {
		return err
	}
	r, err := Decode(row)
	if err != nil {
		return err
	}
	w.updateMembership(func(m *Membership) { m.ApplyRegistration(r, readAt) })
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

// Scan reads all registrations once. It returns the errors of the table; the
// view then stays as it is.
func (w *Watcher) Scan(ctx context.Context) error {
	started := time.Now()
	registrations, err := Scan(ctx, w.table)
	if err != nil {
		return err
	}
	w.updateMembership(func(m *Membership) { m.ApplyRegistrations(registrations, started) })
	return nil
}

// List reads the platform's instance list once. It returns *UnavailableError of
// the platform; the view then stays as it is.
func (w *Watcher) List(ctx context.Context) error {
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

// Heard merges a digest that arrived now.
func (w *Watcher) Heard(s Sighting) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.membership.ApplySighting(s, now)
}

// Direct returns what the digests to zone mates pass on: the instances heard
// without a relay within the last time.
func (w *Watcher) Direct(within time.Duration) []Sighting {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.membership.Direct(time.Now(), within)
}

// Members returns all known instances ordered by name.
func (w *Watcher) Members() []Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.membership.Members(time.Now())
}

// Process returns the state of one process, as Membership.Process.
func (w *Watcher) Process(name string, bootID uint64) MemberState {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.membership.Process(name, bootID, time.Now())
}

// Usable returns the instances that lookups may name, ordered by name.
func (w *Watcher) Usable() []Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.membership.Usable(time.Now())
}

// Fleet returns the size of the fleet for the intervals of Holder and Watcher.
func (w *Watcher) Fleet() Fleet {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fleetSize
}

// updateMembership merges news from the platform and adapts the rules to the fleet's size.
func (w *Watcher) updateMembership(apply func(*Membership)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	apply(w.membership)
	w.fleetSize = w.membership.Fleet(time.Now())
	w.membership.SetRules(w.fleetSize.Rules())
}
