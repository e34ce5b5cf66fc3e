package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"sync"
	"time"

	"github.com/jacinthrack/jacinthrack/identity"
	"github.com/jacinthrack/jacinthrack/internal/sleep"
	"github.com/jacinthrack/jacinthrack/kernel"
)

// maintenanceName is the name in the kernel registry.
const maintenanceName = "maintenance"

// Maintenance schedule.
const (
	// sweepEvery is the time between two pages of old claims that the whole fleet
	// looks at. A page has at most 100 rows, so that sweeps use about 3 of the
	// platform's 2,000 reads a second.
	sweepEvery = 30 * time.Second
	// pruneEvery is the time between two removals of old registrations by the
	// whole fleet.
	pruneEvery = time.Hour
	// maintenanceTimeout bounds one sweep or removal.
	maintenanceTimeout = 10 * time.Second
)

// maintenance removes rows of the platform that are past their retention time. The
// instances share the work: with n live ones, each waits n times as long.
type maintenance struct {
	kernel.Base
	claims  *claimService
	members *membership
	store   Platform
	log     *slog.Logger

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Name implements kernel.Service.
func (m *maintenance) Name() string { return maintenanceName }

// Requires implements kernel.Service.
func (m *maintenance) Requires() []string {
	return []string{platformName, claimsName, membershipName}
}

// Provision implements kernel.Service.
func (m *maintenance) Provision(r kernel.Resolver) error {
	f := &finder{resolver: r}
	m.store = find[Platform](f, platformName)
	m.claims = find[*claimService](f, claimsName)
	m.members = find[*membership](f, membershipName)
	return f.err
}

// Start implements kernel.Service.
func (m *maintenance) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.done.Go(func() { m.sweepClaims(ctx) })
	m.done.Go(func() { m.pruneRegistrations(ctx) })
	return nil
}

// Stop implements kernel.Service.
func (m *maintenance) Stop(context.Context) error {
	m.cancel()
	m.done.Wait()
	return nil
}

// wait sleeps for this instance's part of the fleet's period.
func (m *maintenance) wait(ctx context.Context, every time.Duration) bool {
	return sleep.For(ctx, every*time.Duration(len(m.members.live()))) == nil
}

func (m *maintenance) sweepClaims(ctx context.Context) {
	cursor := ""
	for m.wait(ctx, sweepEvery) {
		call, cancel := context.WithTimeout(ctx, maintenanceTimeout)
		result, err := m.claims.store.Sweep(call, time.Now(), cursor)
		cancel()
		if err != nil {
			m.log.Warn("old claims were not removed", "error", err)
			continue
		}
		cursor = result.Next
		if result.Removed > 0 {
			m.log.Info("old claims removed", "removed", result.Removed, "scanned", result.Scanned)
		}
	}
}

func (m *maintenance) pruneRegistrations(ctx context.Context) {
	for m.wait(ctx, pruneEvery) {
		call, cancel := context.WithTimeout(ctx, maintenanceTimeout)
		removed, err := identity.PruneRegistrations(call, m.store, newChangeID(), time.Now())
		cancel()
		if err != nil {
			m.log.Warn("old registrations were not removed", "error", err)
			continue
		}
		if removed > 0 {
			m.log.Info("old registrations removed", "removed", removed)
		}
	}
}

func newChangeID() string {
	var b [16]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
