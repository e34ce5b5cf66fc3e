package embed_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/entry"
	"github.com/jacinthrack/jacinthrack/kernel"
	"github.com/jacinthrack/jacinthrack/limits"
	"github.com/jacinthrack/jacinthrack/operatorapi"
	"github.com/jacinthrack/jacinthrack/settings"
	"github.com/jacinthrack/jacinthrack/tablestore"
	"github.com/jacinthrack/jacinthrack/tablestore/httpclient"
	"github.com/jacinthrack/jacinthrack/tablestore/memory"
)

// A decision package can be used on its own. Time is an argument, so the example needs no
// clock.
func Example_bucket() {
	start := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	bucket := limits.NewBucket(limits.NewShare(10, 2), true, start)
	for range 3 {
		fmt.Println(bucket.Take(1, start))
	}
	wait, _ := bucket.TimeUntilAvailable(1)
	fmt.Println("next in", wait)
	fmt.Println(bucket.Take(1, start.Add(wait)))
	// Output:
	// true
	// true
	// false
	// next in 100ms
	// true
}

// memoryPlatform replaces the HTTP client of the platform with an in-memory store. A
// replacement must have the service name under which the client is registered in the kernel.
type memoryPlatform struct {
	kernel.Base
	*memory.Store
}

func (memoryPlatform) Name() string { return httpclient.ServiceName }

// A program can run a whole entry instance with another implementation of the platform.
func Example_entry() {
	const anyAddress = "127.0.0.1:0"
	store := memory.New()
	store.SetInstances([]tablestore.Instance{{Name: "entry-0", Zone: "addis-a", State: tablestore.InstanceLive}}, time.Now())
	e, err := entry.New(entry.Options{
		Settings: settings.Entry{
			Name:            "entry-0",
			Zone:            "addis-a",
			CallerAddress:   anyAddress,
			OperatorAddress: anyAddress,
			PeerAddress:     anyAddress,
			InsecurePeers:   true,
			OperatorToken:   "token of the example",
		},
		Platform: memoryPlatform{Store: store},
		Log:      slog.New(slog.DiscardHandler),
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err := e.Start(ctx); err != nil {
		fmt.Println(err)
		return
	}
	// Kill stops the instance at once. A drain would wait until look-up answers have expired.
	defer e.Kill()

	s := e.Settings()
	client := operatorapi.NewClient("http://"+s.OperatorAddress, s.OperatorToken, "example")
	published, err := client.Publish(ctx, document(), 0)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("generation", published.Published.Generation, "in force on", published.Propagation.InForce)
	resp, err := http.Get("http://" + s.CallerAddress + "/v1/lookup?client=10.16.0.1")
	if err != nil {
		fmt.Println(err)
		return
	}
	resp.Body.Close()
	fmt.Println("look-up", resp.Status)
	// Output:
	// generation 1 in force on [entry-0]
	// look-up 200 OK
}

// document returns a configuration with one zone and one route.
func document() *config.Document {
	return &config.Document{
		Regions:  []config.Region{{Name: "addis"}},
		Zones:    []config.Zone{{Name: "addis-a", Region: "addis"}},
		Services: []config.Service{{Name: "catalogue"}},
		BackendServers: []config.BackendServer{
			{Name: "catalogue-01", Service: "catalogue", Zone: "addis-a", Address: "127.0.0.1:9", Slots: 4, Connections: 16},
		},
		// A required list must not be nil: it would be encoded as null, which is rejected.
		Customers: []config.Customer{},
		Routes: []config.Route{{
			Name: "public-catalogue", Service: "catalogue", Methods: []string{http.MethodGet},
			Idempotent: true, Access: config.AccessOpen, Deadline: config.Duration(2 * time.Second),
		}},
		Sites:        []config.Site{{Name: "addis-a-site", Zone: "addis-a"}},
		ClientBlocks: []config.ClientBlock{{Prefix: netip.MustParsePrefix("10.16.0.0/16"), Site: "addis-a-site"}},
	}
}
