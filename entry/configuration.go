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

// configurationName is the name in the kernel registry.
const configurationName = "config.follower"

// configuration is the kernel service around a configstore.Follower.
type configuration struct {
	kernel.Base
	*configstore.Follower
	store *configstore.Store
	log   *slog.Logger

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Provision implements kernel.Service.
func (c *configuration) Provision(r kernel.Resolver) error {
	f := &finder{resolver: r}
	store := find[Platform](f, platformName)
	members := find[*membership](f, membershipName)
	if f.err != nil {
		return f.err
	}
	c.store = configstore.NewStore(store, store)
	c.Follower = configstore.NewFollower(configstore.FollowerOptions{
		Table:   store,
		Objects: store,
		LiveZoneInstances:    members.zoneLive,
		Random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Log:     c.log,
	})
	return nil
}

// Name implements kernel.Service.
func (c *configuration) Name() string { return configurationName }

// Requires implements kernel.Service.
func (c *configuration) Requires() []string { return []string{platformName, membershipName} }

// Start implements kernel.Service.
func (c *configuration) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.done.Go(func() { c.Run(ctx) })
	return nil
}

// Stop implements kernel.Service.
func (c *configuration) Stop(context.Context) error {
	c.cancel()
	c.done.Wait()
	return nil
}

// index returns the configuration in force, or nil.
func (c *configuration) index() *config.Index {
	snapshot := c.Current()
	if snapshot == nil {
		return nil
	}
	return snapshot.Index
}
