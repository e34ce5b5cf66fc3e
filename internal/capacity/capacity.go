// Package capacity measures the cost of control traffic for each entry instance at several
// fleet sizes. docs/CAPACITY.md extrapolates from the slopes between these measurements.
//
// All instances and the platform stand-in run in one process. The measured CPU time
// therefore includes the stand-in and both ends of every peer exchange.
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

// FleetSize is the size of a fleet to measure.
type FleetSize struct {
	Instances int
	Regions   int
	Zones     int
	Blocks    int // configured client blocks
	Sites     int
	Customers int
}

// Measurement holds the results of measuring one fleet.
type Measurement struct {
	FleetSize
	Measured time.Duration // duration over which the steady-state rates were measured

	CPUPercent      float64       // percent of one core, per instance
	HeapMB          float64       // growth of this process's live heap in MB (1e6 bytes), per instance
	SentPerSecond   float64       // bytes sent to peers, per instance
	ReceivedPerSec  float64       // bytes received from peers, per instance
	ReadsPerSecond  float64       // rows and objects read from the platform by the whole fleet
	WritesPerSecond float64       // rows and objects written to the platform by the whole fleet
	PublishInForce  time.Duration // from publishing a configuration until it is in force on every instance
	ReplaceReady    time.Duration // from starting a replacement instance until it is ready
}

// settlingTime is long enough for a new fleet to reach a steady state: the limits are
// divided into shares and every instance has seen all its peers.
const settlingTime = 20 * time.Second

// Measure starts a fleet and measures its control traffic for the given duration, then
// a configuration change and the replacement of an instance. No requests are sent.
func Measure(ctx context.Context, size FleetSize, measured time.Duration) (Measurement, error) {
	result := Measurement{FleetSize: size, Measured: measured}
	document := syntheticDocument(size)
	heapBefore := liveHeapBytes()
	fleet, err := testfleet.Start(ctx, testfleet.Options{
		Document:      document,
		InstanceZones: instanceZones(size),
		Log:           slog.New(slog.DiscardHandler),
	})
	if err != nil {
		return result, err
	}
	defer fleet.Stop()
	if err := sleep.For(ctx, settlingTime); err != nil {
		return result, err
	}
	result.HeapMB = float64(liveHeapBytes()-heapBefore) / 1e6 / float64(size.Instances)
	if err := result.measureSteadyState(ctx, fleet); err != nil {
		return result, err
	}
	if err := result.measurePublish(ctx, fleet); err != nil {
		return result, err
	}
	return result, result.measureReplacement(ctx, fleet)
}

func liveHeapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// measureSteadyState measures the rates of a fleet without requests or changes.
func (r *Measurement) measureSteadyState(ctx context.Context, fleet *testfleet.Fleet) error {
	cpuBefore := cpuTime()
	countsBefore := fleet.Platform.Store.Counts()
	sentBefore, receivedBefore := peerBytes(fleet)
	if err := sleep.For(ctx, r.Measured); err != nil {
		return err
	}
	seconds := r.Measured.Seconds()
	instanceSeconds := seconds * float64(r.Instances)
	r.CPUPercent = 100 * (cpuTime() - cpuBefore).Seconds() / instanceSeconds
	sentAfter, receivedAfter := peerBytes(fleet)
	r.SentPerSecond = float64(sentAfter-sentBefore) / instanceSeconds
	r.ReceivedPerSec = float64(receivedAfter-receivedBefore) / instanceSeconds
	countsAfter := fleet.Platform.Store.Counts()
	r.ReadsPerSecond = float64(countsAfter.RowReads-countsBefore.RowReads+countsAfter.ObjectGets-countsBefore.ObjectGets) / seconds
	r.WritesPerSecond = float64(countsAfter.RowWrites-countsBefore.RowWrites+countsAfter.ObjectPuts-countsBefore.ObjectPuts) / seconds
	return nil
}

// measurePublish measures the time from publishing a change of one client block until it
// is in force on every instance.
func (r *Measurement) measurePublish(ctx context.Context, fleet *testfleet.Fleet) error {
	document := *fleet.Document
	document.ClientBlocks = append([]config.ClientBlock(nil), document.ClientBlocks...)
	document.ClientBlocks[0].Site = document.Sites[1].Name
	started := time.Now()
	if _, err := fleet.OperatorClient(0).Publish(ctx, &document, 1); err != nil {
		return err
	}
	err := waitForEveryInstance(ctx, fleet, func(s operatorapi.StatusResponse) bool { return s.Generation == 2 })
	r.PublishInForce = time.Since(started)
	return err
}

// measureReplacement kills one instance and measures the time until its replacement,
// which fetches the whole state, is ready.
func (r *Measurement) measureReplacement(ctx context.Context, fleet *testfleet.Fleet) error {
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

func waitForEveryInstance(ctx context.Context, fleet *testfleet.Fleet, done func(operatorapi.StatusResponse) bool) error {
	errs := make([]error, len(fleet.Instances))
	var wg sync.WaitGroup
	for i := range fleet.Instances {
		wg.Go(func() { errs[i] = waitForStatus(ctx, fleet.OperatorClient(i), done) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func waitForStatus(ctx context.Context, operator *operatorapi.Client, done func(operatorapi.StatusResponse) bool) error {
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

func peerBytes(fleet *testfleet.Fleet) (sent, received int64) {
	for _, network := range fleet.InstanceNetworks {
		s, r := network.PeerBytes()
		sent += s
		received += r
	}
	return sent, received
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	// Getrusage cannot fail for the calling process.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func zoneName(i int) string { return fmt.Sprintf("zone-%02d", i) }

func instanceZones(size FleetSize) []string {
	zones := make([]string, size.Instances)
	for i := range zones {
		zones[i] = zoneName(i % size.Zones)
	}
	return zones
}

// Parts of the synthetic configuration that do not depend on the fleet size.
const (
	serviceCount             = 4
	serversPerServiceAndZone = 2
)

// syntheticDocument returns a generated configuration for a fleet of the given size.
func syntheticDocument(size FleetSize) *config.Document {
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
	for i := range serviceCount {
		addService(doc, fmt.Sprintf("service-%d", i))
	}
	for i := range size.Customers {
		doc.Customers = append(doc.Customers, config.Customer{Name: fmt.Sprintf("customer-%d", i), RatePerSecond: 1000, Burst: 2000})
	}
	for i := range size.Sites {
		doc.Sites = append(doc.Sites, config.Site{Name: fmt.Sprintf("site-%d", i), Zone: zoneName(i % size.Zones)})
	}
	for i := range size.Blocks {
		// Consecutive prefixes from 10.0.0.0/24. The address arithmetic allows 2^24 blocks.
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
		for i := range serversPerServiceAndZone {
			doc.BackendServers = append(doc.BackendServers, config.BackendServer{
				Name: fmt.Sprintf("%s-%s-%d", name, zone.Name, i), Service: name, Zone: zone.Name, Slots: 4, Connections: 100,
			})
		}
	}
}
