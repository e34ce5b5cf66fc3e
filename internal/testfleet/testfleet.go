// Package testfleet starts a fleet in one process for the demo and the tests: entry
// instances, the platform stand-in and stand-ins for backend servers. Each of them listens
// on its own loopback addresses, as separate processes would.
package testfleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/entry"
	"github.com/jacinthrack/jacinthrack/internal/standin/backend"
	standin "github.com/jacinthrack/jacinthrack/internal/standin/platform"
	"github.com/jacinthrack/jacinthrack/operatorapi"
	"github.com/jacinthrack/jacinthrack/settings"
	"github.com/jacinthrack/jacinthrack/tablestore"
)

// anyLoopbackAddress lets the operating system choose a free port.
const anyLoopbackAddress = "127.0.0.1:0"

// OperatorToken authenticates operators at every instance.
const OperatorToken = "testfleet"

// Options configures a fleet.
type Options struct {
	// Document is the configuration to publish. Start replaces the addresses of its
	// backend servers by those of the stand-ins.
	Document *config.Document
	// InstanceZones holds the availability zone of each entry instance, by instance index.
	InstanceZones []string
	// ServiceTime is the time that a backend server takes for a request.
	ServiceTime time.Duration
	Log         *slog.Logger
}

// Fleet holds running entry instances and the stand-ins that they use.
type Fleet struct {
	Platform         *standin.Server
	Backends         *backend.Fleet
	Instances        []*entry.Instance // by instance index; nil after Kill
	InstanceNetworks []*Network        // by instance index
	Document         *config.Document  // as published, with the stand-ins' addresses

	options       Options
	cancel        context.CancelFunc
	controlServer *http.Server
	// ControlAddress is the address of the control API of the backend servers.
	ControlAddress string
}

// Start starts the stand-ins and the entry instances and publishes the configuration.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	f := &Fleet{options: o}
	if err := f.startStandins(); err != nil {
		return nil, err
	}
	for i := range o.InstanceZones {
		if _, err := f.StartInstance(ctx, i); err != nil {
			f.Stop()
			return nil, err
		}
	}
	if _, err := f.OperatorClient(0).Publish(ctx, f.Document, 0); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startStandins() error {
	server, err := standin.NewServer(anyLoopbackAddress)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.Platform = server
	go func() {
		if err := server.Serve(ctx); err != nil {
			f.options.Log.Error("serving the platform stand-in failed", "error", err)
		}
	}()
	document := *f.options.Document
	document.BackendServers = append([]config.BackendServer(nil), document.BackendServers...)
	for i := range document.BackendServers {
		document.BackendServers[i].Address = anyLoopbackAddress
	}
	f.Backends, err = backend.Start(backend.Options{
		Servers:     document.BackendServers,
		ServiceTime: f.options.ServiceTime,
		Jitter:      0.2,
		Log:         f.options.Log,
	})
	if err != nil {
		cancel()
		return err
	}
	document.BackendServers = f.Backends.BackendServers()
	f.Document = &document
	f.publishInstanceList()
	return f.serveControl()
}

// serveControl starts serving the control API of the backend servers.
func (f *Fleet) serveControl() error {
	listener, err := net.Listen("tcp", anyLoopbackAddress)
	if err != nil {
		f.Stop()
		return &standin.ListenError{Address: anyLoopbackAddress, Err: err}
	}
	f.ControlAddress = listener.Addr().String()
	f.controlServer = &http.Server{Handler: f.Backends.Control(), ReadHeaderTimeout: time.Second}
	go func() {
		if err := f.controlServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			f.options.Log.Error("serving the backend control API failed", "error", err)
		}
	}()
	return nil
}

// InstanceName returns the name of the entry instance with the given index.
func InstanceName(index int) string { return fmt.Sprintf("entry-%d", index) }

// publishInstanceList sets the platform's instance list to all instances as live.
func (f *Fleet) publishInstanceList() {
	var list []tablestore.Instance
	for i, zone := range f.options.InstanceZones {
		list = append(list, tablestore.Instance{Name: InstanceName(i), Zone: zone, State: tablestore.InstanceLive})
	}
	f.Platform.Store.SetInstances(list, time.Now())
}

// StartInstance starts the entry instance with the given index, or a replacement for it.
func (f *Fleet) StartInstance(ctx context.Context, index int) (*entry.Instance, error) {
	network := newNetwork(f.Platform.URL())
	e, err := entry.New(entry.Options{
		Platform:         network,
		WrapPeerListener: network.wrapPeerListener,
		DialPeer:         network.dialPeer,
		Settings: settings.Entry{
			Name:            InstanceName(index),
			Zone:            f.options.InstanceZones[index],
			CallerAddress:   anyLoopbackAddress,
			OperatorAddress: anyLoopbackAddress,
			PeerAddress:     anyLoopbackAddress,
			PlatformURL:     f.Platform.URL(),
			Seeds:           f.peerAddresses(),
			InsecurePeers:   true,
			OperatorToken:   OperatorToken,
		},
		Log: f.options.Log,
	})
	if err != nil {
		return nil, err
	}
	if err := e.Start(ctx); err != nil {
		return nil, err
	}
	if index < len(f.Instances) {
		f.Instances[index] = e
		f.InstanceNetworks[index] = network
	} else {
		f.Instances = append(f.Instances, e)
		f.InstanceNetworks = append(f.InstanceNetworks, network)
	}
	return e, nil
}

// peerAddresses returns the peer addresses of the running instances.
func (f *Fleet) peerAddresses() []string {
	var addresses []string
	for _, e := range f.Instances {
		if e != nil {
			addresses = append(addresses, e.Settings().PeerAddress)
		}
	}
	return addresses
}

// OperatorClient returns a client of the operator API of an entry instance.
func (f *Fleet) OperatorClient(index int) *operatorapi.Client {
	return operatorapi.NewClient("http://"+f.Instances[index].Settings().OperatorAddress, OperatorToken, "testfleet")
}

// CallerURL returns the base URL at which an entry instance accepts requests of callers.
func (f *Fleet) CallerURL(index int) string {
	return "http://" + f.Instances[index].Settings().CallerAddress
}

// Kill stops an entry instance like a crash: it does not drain, and it notifies neither
// the platform nor its peers.
func (f *Fleet) Kill(index int) {
	f.Instances[index].Kill()
	f.Instances[index] = nil
}

// Stop stops all instances and stand-ins without draining them.
func (f *Fleet) Stop() {
	for i, e := range f.Instances {
		if e != nil {
			f.Kill(i)
		}
	}
	if f.controlServer != nil {
		f.controlServer.Close()
	}
	if f.Backends != nil {
		f.Backends.Close()
	}
	f.cancel()
}
