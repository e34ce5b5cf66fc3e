package kernel_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"

	"github.com/jacinthrack/jacinthrack/kernel"
)

// members is the service that reporter requires.
type members struct{ kernel.Base }

func (members) Name() string { return "fleet.members" }
func (members) Live() int    { return 7 }

// reporter is a service with a goroutine that prints the number of live instances and runs until
// the service is stopped.
type reporter struct {
	kernel.Base
	members interface{ Live() int }
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

func (r *reporter) Name() string       { return "report.live" }
func (r *reporter) Requires() []string { return []string{"fleet.members"} }

func (r *reporter) Provision(registry kernel.Resolver) error {
	service, err := kernel.Find[interface{ Live() int }](registry, "fleet.members")
	r.members = service
	return err
}

func (r *reporter) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.done.Go(func() { r.run(ctx) })
	return nil
}

func (r *reporter) run(ctx context.Context) {
	fmt.Println("live instances:", r.members.Live())
	<-ctx.Done()
}

func (r *reporter) Stop(context.Context) error {
	r.cancel()
	r.done.Wait()
	return nil
}

func Example() {
	registry := kernel.New(slog.New(slog.DiscardHandler))
	for _, s := range []kernel.Service{&reporter{}, members{}} {
		if err := registry.Register(s); err != nil {
			fmt.Println(err)
			return
		}
	}
	ctx := context.Background()
	if err := registry.Start(ctx); err != nil {
		fmt.Println(err)
		return
	}
	if err := registry.Stop(ctx); err != nil {
		fmt.Println(err)
	}
	// Output: live instances: 7
}
