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

// limitsName is the name in the kernel registry.
const limitsName = "limits.manager"

// limiter is the kernel service around a limits.ModeSwitch. It implements
// peer.SharesKeeper.
type limiter struct {
	kernel.Base
	*limits.ModeSwitch
	self    identity.InstanceConfig
	store   Platform
	members *membership
	config  *configuration
	peers   *peer.Service
	log     *slog.Logger

	running context.Context // ends before the peer service stops
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

// mode returns the mode for the fleet that the platform lists. Instances that
// cannot be reached count, so that a zone that is cut off keeps its shares.
func (l *limiter) mode(current limits.Mode) limits.Mode {
	mode := limits.ChooseMode(current, len(l.members.listed()))
	if mode != current {
		l.log.Info("mode of limits chosen", "mode", mode, "instances", len(l.members.listed()))
	}
	return mode
}

// newLimits returns a limiter that is a new holder of the ledgers.
func (l *limiter) newLimits(mode limits.Mode, number int) limits.Limiter {
	options := limits.Options{
		Table:     l.store,
		Instances: l.store,
		ID:        fmt.Sprintf("%s/%016x/%d", l.self.Name, l.self.BootID, number),
		Instance:  l.self.Name,
		OnError:   func(err error) { l.log.Debug("limit share not renewed", "error", err) },
	}
	if mode == limits.ModeDirect {
		return limits.NewManager(options)
	}
	return limits.NewZoneManager(limits.ZoneOptions{
		Options:             options,
		Zone:                l.self.Zone,
		AllocatorCandidates: l.members.zoneKeepers,
		RequestShares:       l.askKeeper,
	})
}

// Name implements kernel.Service.
func (l *limiter) Name() string { return limitsName }

// Requires implements kernel.Service.
func (l *limiter) Requires() []string {
	return []string{platformName, membershipName, configurationName}
}

// Provision implements kernel.Service.
func (l *limiter) Provision(r kernel.Resolver) error {
	f := &finder{resolver: r}
	l.store = find[Platform](f, platformName)
	l.members = find[*membership](f, membershipName)
	l.config = find[*configuration](f, configurationName)
	// The peer service is provisioned later, since it serves this one to others.
	l.peers = find[*peer.Service](f, peer.ServiceName)
	if f.err != nil {
		return f.err
	}
	l.running, l.cancel = context.WithCancel(context.Background())
	l.ModeSwitch = limits.NewModeSwitch(l.mode, l.newLimits)
	l.config.Subscribe(l.setConfig)
	return nil
}

func (l *limiter) setConfig(s *configstore.Snapshot) {
	err := l.SetLimits(int64(s.Generation), limitsOf(s.Document()))
	if err != nil {
		l.log.Error("limits were not set", "generation", s.Generation, "error", err)
	}
}

// limitsOf returns the fleet-wide limits of customers and shifts.
func limitsOf(doc *config.Document) []limits.Limit {
	out := shiftcap.Limits(doc.Shifts)
	for _, c := range doc.Customers {
		out = append(out, limits.Limit{Name: customerLimit(c.Name), RatePerSecond: c.RatePerSecond, Burst: c.Burst})
	}
	return out
}

// Start implements kernel.Service.
func (l *limiter) Start(context.Context) error {
	l.done.Go(func() {
		err := l.Run(l.running)
		l.log.Debug("limit shares are no longer renewed", "reason", err)
	})
	return nil
}

// releaseTimeout bounds the return of the shares of a process that ends.
const releaseTimeout = 2 * time.Second

// Stop implements kernel.Service. It gives the shares back, so that the other
// instances need not wait for them to expire.
func (l *limiter) Stop(ctx context.Context) error {
	l.cancel()
	l.done.Wait()
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	for _, err := range l.Release(ctx) {
		l.log.Warn("limit share was not returned", "error", err)
	}
	return nil
}
