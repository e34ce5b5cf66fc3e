package entry

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/configstore"
	"github.com/jacinthrack/jacinthrack/identity"
	"github.com/jacinthrack/jacinthrack/kernel"
	"github.com/jacinthrack/jacinthrack/limits"
	"github.com/jacinthrack/jacinthrack/peer"
	"github.com/jacinthrack/jacinthrack/shiftcap"
)

// limitServiceName is the service's name in the kernel's service registry.
const limitServiceName = "limits.manager"

// limitService wraps a limits.ModeSwitch, which has this instance's shares of the
// fleet-wide limits, as a kernel service. It implements peer.ShareAllocator.
type limitService struct {
	kernel.Base
	*limits.ModeSwitch
	self       identity.InstanceConfig
	platform   Platform
	membership *membershipService
	config     *configService
	peers      *peer.Service
	log        *slog.Logger

	runCtx context.Context // cancelled before the peer service stops
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// chooseMode returns the mode (direct or zone) for the number of listed instances. It
// counts instances that cannot be reached, so that a zone that is cut off keeps its
// shares.
func (l *limitService) chooseMode(current limits.Mode) limits.Mode {
	mode := limits.ChooseMode(current, len(l.membership.listedInstances()))
	if mode != current {
		l.log.Info("limit share mode chosen", "mode", mode, "instances", len(l.membership.listedInstances()))
	}
	return mode
}

// newLimiter returns a limiter with a holder ID that has not been used before: number is
// different in each call of a process.
func (l *limitService) newLimiter(mode limits.Mode, number int) limits.Limiter {
	options := limits.Options{
		Table:     l.platform,
		Instances: l.platform,
		ID:        fmt.Sprintf("%s/%016x/%d", l.self.Name, l.self.BootID, number),
		Instance:  l.self.Name,
		OnError:   func(err error) { l.log.Debug("syncing a limit ledger failed", "error", err) },
	}
	if mode == limits.ModeDirect {
		return limits.NewManager(options)
	}
	return limits.NewZoneManager(limits.ZoneOptions{
		Options:             options,
		Zone:                l.self.Zone,
		AllocatorCandidates: l.membership.allocatorCandidates,
		RequestShares:       l.requestShares,
	})
}

// Name implements kernel.Service.
func (l *limitService) Name() string { return limitServiceName }

// Requires implements kernel.Service.
func (l *limitService) Requires() []string {
	return []string{platformServiceName, membershipServiceName, configServiceName}
}

// Provision implements kernel.Service.
func (l *limitService) Provision(r kernel.Resolver) error {
	f := &serviceFinder{resolver: r}
	l.platform = findService[Platform](f, platformServiceName)
	l.membership = findService[*membershipService](f, membershipServiceName)
	l.config = findService[*configService](f, configServiceName)
	// The peer service, which serves share requests from this service, is provisioned
	// later. It is therefore not in Requires.
	l.peers = findService[*peer.Service](f, peer.ServiceName)
	if f.err != nil {
		return f.err
	}
	l.runCtx, l.cancel = context.WithCancel(context.Background())
	l.ModeSwitch = limits.NewModeSwitch(l.chooseMode, l.newLimiter)
	l.config.Subscribe(l.applyConfig)
	return nil
}

// applyConfig sets the limits of a new configuration generation.
func (l *limitService) applyConfig(s *configstore.Snapshot) {
	err := l.SetLimits(int64(s.Generation), fleetWideLimits(s.Document()))
	if err != nil {
		l.log.Error("applying the configured limits failed", "generation", s.Generation, "error", err)
	}
}

// fleetWideLimits returns the fleet-wide limits of the customers and of the traffic
// shifts.
func fleetWideLimits(doc *config.Document) []limits.Limit {
	out := shiftcap.Limits(doc.Shifts)
	for _, c := range doc.Customers {
		out = append(out, limits.Limit{Name: customerLimitName(c.Name), RatePerSecond: c.RatePerSecond, Burst: c.Burst})
	}
	return out
}

// Start implements kernel.Service.
func (l *limitService) Start(context.Context) error {
	l.done.Go(func() {
		err := l.Run(l.runCtx)
		l.log.Debug("limit share renewal ended", "reason", err)
	})
	return nil
}

// shareReleaseTimeout bounds the release of limit shares when the process stops.
const shareReleaseTimeout = 2 * time.Second

// Stop implements kernel.Service. It releases the limit shares, so that the other
// instances do not have to wait for them to expire.
func (l *limitService) Stop(ctx context.Context) error {
	l.cancel()
	l.done.Wait()
	ctx, cancel := context.WithTimeout(ctx, shareReleaseTimeout)
	defer cancel()
	for _, err := range l.Release(ctx) {
		l.log.Warn("releasing a limit share failed", "error", err)
	}
	return nil
}
