// Package capacity measures what the control traffic of a fleet costs each entry
// instance, at several sizes, so that docs/CAPACITY.md can be worked out from
// slopes.
//
// All instances and the platform stand-in run in one process. The processor time
// therefore contains the stand-in's and both ends of every exchange.
package capacity

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/internal/sleep"
	"github.com/jacinthrack/jacinthrack/internal/testfleet"
	"github.com/jacinthrack/jacinthrack/operatorapi"
)

// FleetSize is one fleet to measure.
type FleetSize struct {
	Instances int
	Regions   int
	Zones     int
	Blocks    int // client blocks
	Sites     int
	Customers int
}

// Measurement is the measurement of one fleet.
type Measurement struct {
	FleetSize
	Measured time.Duration

	CPUPercent      float64 // of a core, for each instance
	HeapMB          float64 // live heap, for each instance
	SentPerSecond   float64 // bytes to peers, for each instance
	ReceivedPerSec  float64 // bytes from peers, for each instance
	ReadsPerSecond  float64 // of the platform, by the whole fleet
	WritesPerSecond float64 // rows, by the whole fleet
	PublishInForce  time.Duration
	ReplaceReady    time.Duration // from the start of a replacement until it is ready
}

// settle is the time in which a new fleet reaches a steady state: shares of limits
// are divided and all peers have been heard.
const settle = 20 * time.Second

// Measure runs one fleet without requests for the given time.
func Measure(ctx context.Context, size FleetSize, measured time.Duration) (Measurement, error) {
	row := Measurement{FleetSize: size, Measured: measured}
	document := documentOf(size)
	before := heap()
	fleet, err := testfleet.Start(ctx, testfleet.Options{
		Document: document,
		InstanceZones:    zonesOf(size),
		Log:      slog.New(slog.DiscardHandler),
	})
	if err != nil {
		return row, err
	}
	defer fleet.Stop()
	if err := sleep.For(ctx, settle); err != nil {
		return row, err
	}
	row.HeapMB = float64(heap()-before) / 1e6 / float64(size.Instances)
	if err := row.steady(ctx, fleet); err != nil {
		return row, err
	}
	if err := row.publish(ctx, fleet); err != nil {
		return row, err
	}
	return row, row.replace(ctx, fleet)
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// steady measures the rates of a fleet at rest.
func (r *Measurement) steady(ctx context.Context, fleet *testfleet.Fleet) error {
	cpu := processorTime()
	counts := fleet.Platform.Store.Counts()
	sent, received := bytesOf(fleet)
	if err := sleep.For(ctx, r.Measured); err != nil {
		return err
	}
	seconds := r.Measured.Seconds()
	each := seconds * float64(r.Instances)
	r.CPUPercent = 100 * (processorTime() - cpu).Seconds() / each
	sentNow, receivedNow := bytesOf(fleet)
	r.SentPerSecond = float64(sentNow-sent) / each
	r.ReceivedPerSec = float64(receivedNow-received) / each
	after := fleet.Platform.Store.Counts()
	r.ReadsPerSecond = float64(after.RowReads-counts.RowReads+after.ObjectGets-counts.ObjectGets) / seconds
	r.WritesPerSecond = float64(after.RowWrites-counts.RowWrites+after.ObjectPuts-counts.ObjectPuts) / seconds
	return nil
}

// publish measures the time until a change of one client block is in force on
// every instance.
func (r *Measurement) publish(ctx context.Context, fleet *testfleet.Fleet) error {
	document := *fleet.Document
	document.ClientBlocks = append([]config.ClientBlock(nil), document.ClientBlocks...)
	document.ClientBlocks[0].Site = document.Sites[1].Name
	started := time.Now()
	if _, err := fleet.OperatorClient(0).Publish(ctx, &document, 1); err != nil {
		return err
	}
	err := waitForAll(ctx, fleet, func(s operatorapi.StatusResponse) bool { return s.Generation == 2 })
	r.PublishInForce = time.Since(started)
	return err
}

// replace measures the start of a replacement with a full fetch of the state.
func (r *Measurement) replace(ctx context.Context, fleet *testfleet.Fleet) error {
	fleet.Kill(0)
	started := time.Now()
	if _, err := fleet.StartInstance(ctx, 0); err != nil {
		return err
	}
	for !fleet.Instances[0].Ready() {
		if err := sleep.For(ctx, time.Millisecond); err != nil {
			return err
		}
	}
	r.ReplaceReady = time.Since(started)
	return nil
}

func waitForAll(ctx context.Context, fleet *testfleet.Fleet, done func(operatorapi.StatusResponse) bool) error {
	errs := make([]error, len(fleet.Instances))
	var waits sync.WaitGroup
	for i := range fleet.Instances {
		waits.Go(func() { errs[i] = waitFor(ctx, fleet.OperatorClient(i), done) })
	}
	waits.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func waitFor(ctx context.Context, operator *operatorapi.Client, done func(operatorapi.StatusResponse) bool) error {
	for {
		status, err := operator.Status(ctx)
		if err == nil && done(status) {
			return nil
		}
		if err := sleep.For(ctx, 10*time.Millisecond); err != nil {
			return err
		}
	}
}

func bytesOf(fleet *testfleet.Fleet) (sent, received int64) {
	for _, n := range fleet.InstanceNetworks {
		s, r := n.PeerBytes()
		sent += s
		received += r
	}
	return sent, received
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	// Getrusage does not fail for the calling process.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func zoneName(i int) string { return fmt.Sprintf("zone-%02d", i) }

func zonesOf(size FleetSize) []string {
	zones := make([]string, size.Instances)
	for i := range zones {
		zones[i] = zoneName(i % size.Zones)
	}
	return zones
}

// Sizes of the synthetic deployment that do not change with the fleet.
const (
	services       = 4
	serversPerZone = 2
)

// documentOf returns a synthetic configuration.
func documentOf(size FleetSize) *config.Document {
	doc := &config.Document{}
	for i := range size.Regions {
		doc.Regions = append(doc.Regions, config.Region{Name: fmt.Sprintf("region-%d", i)})
		for j := range i {
			doc.Links = append(doc.Links, config.Link{From: doc.Regions[j].Name, To: doc.Regions[i].Name, BitsPerSecond: 4e9})
		}
	}
	for i := range size.Zones {
		doc.Zones = append(doc.Zones, config.Zone{Name: zoneName(i), Region: doc.Regions[i%size.Regions].Name})
	}
	for i := range services {
		addService(doc, fmt.Sprintf("service-%d", i))
	}
	for i := range size.Customers {
		doc.Customers = append(doc.Customers, config.Customer{Name: fmt.Sprintf("customer-%d", i), RatePerSecond: 1000, Burst: 2000})
	}
	for i := range size.Sites {
		doc.Sites = append(doc.Sites, config.Site{Name: fmt.Sprintf("site-%d", i), Zone: zoneName(i % size.Zones)})
	}
	for i := range size.Blocks {
		// 10.0.0.0/24 and up, with room for 2^24 blocks.
		address := netip.AddrFrom4([4]byte{byte(10 + i>>16), byte(i >> 8), byte(i), 0})
		doc.ClientBlocks = append(doc.ClientBlocks, config.ClientBlock{Prefix: netip.PrefixFrom(address, 24), Site: doc.Sites[i%size.Sites].Name})
	}
	return doc
}

func addService(doc *config.Document, name string) {
	doc.Services = append(doc.Services, config.Service{Name: name})
	doc.Routes = append(doc.Routes, config.Route{
		Name: name, Service: name, Methods: []string{"GET"}, Idempotent: true,
		Access: config.AccessKeyed, Deadline: config.Duration(time.Second),
	})
	for _, zone := range doc.Zones {
		for i := range serversPerZone {
			doc.BackendServers = append(doc.BackendServers, config.BackendServer{
				Name: fmt.Sprintf("%s-%s-%d", name, zone.Name, i), Service: name, Zone: zone.Name, Slots: 4, Connections: 100,
			})
		}
	}
}
