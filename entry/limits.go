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
	"github.com/jacinthrack/jacinthrack/shiftcap"
)

// limitsName is the name in the kernel registry.
const limitsName = "limits.manager"

// limiter is the kernel service around a limits.Manager.
type limiter struct {
	kernel.Base
	*limits.Manager
	config *configuration
	log    *slog.Logger

	cancel context.CancelFunc
	done   sync.WaitGroup
}

func newLimiter(self identity.Config, store Platform, config *configuration, log *slog.Logger) *limiter {
	l := &limiter{config: config, log: log}
	l.Manager = limits.NewManager(limits.Options{
		Table:     store,
		Instances: store,
		ID:        fmt.Sprintf("%s/%016x", self.Name, self.BootID),
		Instance:  self.Name,
		OnError:   func(err error) { log.Debug("limit share not renewed", "error", err) },
	})
	return l
}

// Name implements kernel.Service.
func (l *limiter) Name() string { return limitsName }

// Requires implements kernel.Service.
func (l *limiter) Requires() []string { return []string{configurationName} }

// Provision implements kernel.Service.
func (l *limiter) Provision(kernel.Resolver) error {
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
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.done.Go(func() {
		err := l.Run(ctx)
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
