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

// maintenanceServiceName is the service's name in the kernel's service registry.
const maintenanceServiceName = "maintenance"

// Maintenance schedule.
const (
	// claimSweepInterval is the time between two pages of claim rows that the whole
	// fleet checks for expired ones. A page has at most 100 rows, so that sweeps use
	// about 3 of the platform's 2,000 reads per second.
	claimSweepInterval = 30 * time.Second
	// registrationPruneInterval is the time between two removals of expired
	// registrations by the whole fleet.
	registrationPruneInterval = time.Hour
	// maintenanceTimeout bounds one check of a page or one removal of registrations.
	maintenanceTimeout = 10 * time.Second
)

// maintenanceService removes rows from the platform that are past their retention time.
// The instances share the work: with n live ones, each waits n times as long.
type maintenanceService struct {
	kernel.Base
	claims     *claimService
	membership *membershipService
	platform   Platform
	log        *slog.Logger

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Name implements kernel.Service.
func (m *maintenanceService) Name() string { return maintenanceServiceName }

// Requires implements kernel.Service.
func (m *maintenanceService) Requires() []string {
	return []string{platformServiceName, claimsServiceName, membershipServiceName}
}

// Provision implements kernel.Service.
func (m *maintenanceService) Provision(r kernel.Resolver) error {
	f := &serviceFinder{resolver: r}
	m.platform = findService[Platform](f, platformServiceName)
	m.claims = findService[*claimService](f, claimsServiceName)
	m.membership = findService[*membershipService](f, membershipServiceName)
	return f.err
}

// Start implements kernel.Service.
func (m *maintenanceService) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.done.Go(func() { m.sweepClaims(ctx) })
	m.done.Go(func() { m.pruneRegistrations(ctx) })
	return nil
}

// Stop implements kernel.Service.
func (m *maintenanceService) Stop(context.Context) error {
	m.cancel()
	m.done.Wait()
	return nil
}

// waitForTurn sleeps until this instance's next turn, that is, for the fleet's interval
// times the number of live instances. It returns false if ctx ends first.
func (m *maintenanceService) waitForTurn(ctx context.Context, fleetInterval time.Duration) bool {
	return sleep.For(ctx, fleetInterval*time.Duration(len(m.membership.liveMembers()))) == nil
}

func (m *maintenanceService) sweepClaims(ctx context.Context) {
	cursor := ""
	for m.waitForTurn(ctx, claimSweepInterval) {
		callCtx, cancel := context.WithTimeout(ctx, maintenanceTimeout)
		result, err := m.claims.store.Sweep(callCtx, time.Now(), cursor)
		cancel()
		if err != nil {
			m.log.Warn("removing expired claims failed", "error", err)
			continue
		}
		cursor = result.NextCursor
		if result.Removed > 0 {
			m.log.Info("expired claims removed", "removed", result.Removed, "scanned", result.Scanned)
		}
	}
}

func (m *maintenanceService) pruneRegistrations(ctx context.Context) {
	for m.waitForTurn(ctx, registrationPruneInterval) {
		callCtx, cancel := context.WithTimeout(ctx, maintenanceTimeout)
		removed, err := identity.PruneRegistrations(callCtx, m.platform, newChangeID(), time.Now())
		cancel()
		if err != nil {
			m.log.Warn("removing expired registrations failed", "error", err)
			continue
		}
		if removed > 0 {
			m.log.Info("expired registrations removed", "removed", removed)
		}
	}
}

func newChangeID() string {
	var b [16]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
