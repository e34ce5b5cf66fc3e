package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/configstore"
	"github.com/jacinthrack/jacinthrack/kernel"
)

// configServiceName is the service's name in the kernel's service registry.
const configServiceName = "config.follower"

// configService wraps a configstore.Follower, which keeps the newest configuration
// in force at this instance, as a kernel service. The store publishes and loads
// generations for operators.
type configService struct {
	kernel.Base
	*configstore.Follower
	store *configstore.Store
	log   *slog.Logger

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Provision implements kernel.Service.
func (c *configService) Provision(r kernel.Resolver) error {
	f := &serviceFinder{resolver: r}
	platform := findService[Platform](f, platformServiceName)
	membership := findService[*membershipService](f, membershipServiceName)
	if f.err != nil {
		return f.err
	}
	c.store = configstore.NewStore(platform, platform)
	c.Follower = configstore.NewFollower(configstore.FollowerOptions{
		Table:             platform,
		Objects:           platform,
		LiveZoneInstances: membership.liveZoneMemberCount,
		Random:            rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Log:               c.log,
	})
	return nil
}

// Name implements kernel.Service.
func (c *configService) Name() string { return configServiceName }

// Requires implements kernel.Service.
func (c *configService) Requires() []string {
	return []string{platformServiceName, membershipServiceName}
}

// Start implements kernel.Service.
func (c *configService) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.done.Go(func() { c.Run(ctx) })
	return nil
}

// Stop implements kernel.Service.
func (c *configService) Stop(context.Context) error {
	c.cancel()
	c.done.Wait()
	return nil
}

// currentIndex returns the index of the configuration in force, or nil if there is
// none.
func (c *configService) currentIndex() *config.Index {
	snapshot := c.Current()
	if snapshot == nil {
		return nil
	}
	return snapshot.Index
}
