// Package testfleet starts entry instances, a platform stand-in and backend
// servers in one process. The demo and the tests use it; each part listens on
// loopback addresses as its own process would.
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

// anyAddress is a loopback address with a port that the system chooses.
const anyAddress = "127.0.0.1:0"

// OperatorToken is the operator token of every instance.
const OperatorToken = "testfleet"

// Options describe a fleet.
type Options struct {
	// Document is the configuration to publish. The addresses of its backend
	// servers are replaced.
	Document *config.Document
	// InstanceZones names the availability zone of each entry instance.
	InstanceZones []string
	// ServiceTime is the duration of a request on a backend server.
	ServiceTime time.Duration
	Log         *slog.Logger
}

// Fleet is a running deployment.
type Fleet struct {
	Platform *standin.Server
	Backends *backend.Fleet
	Instances  []*entry.Instance
	InstanceNetworks []*Network // of the entry instances
	Document *config.Document

	options Options
	cancel  context.CancelFunc
	control *http.Server
	// ControlAddress serves the control API of the backend servers.
	ControlAddress string
}

// Start starts the stand-ins and the entry instances and publishes the
// configuration.
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
	server, err := standin.NewServer(anyAddress)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.Platform = server
	go func() {
		if err := server.Serve(ctx); err != nil {
			f.options.Log.Error("platform stand-in failed", "error", err)
		}
	}()
	document := *f.options.Document
	document.BackendServers = append([]config.BackendServer(nil), document.BackendServers...)
	for i := range document.BackendServers {
		document.BackendServers[i].Address = anyAddress
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
	f.listInstances()
	return f.serveControl()
}

// serveControl serves the control API of the backend servers.
func (f *Fleet) serveControl() error {
	listener, err := net.Listen("tcp", anyAddress)
	if err != nil {
		f.Stop()
		return &standin.ListenError{Address: anyAddress, Err: err}
	}
	f.ControlAddress = listener.Addr().String()
	f.control = &http.Server{Handler: f.Backends.Control(), ReadHeaderTimeout: time.Second}
	go func() {
		if err := f.control.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			f.options.Log.Error("control API failed", "error", err)
		}
	}()
	return nil
}

// InstanceName returns the name of the entry instance with the index.
func InstanceName(index int) string { return fmt.Sprintf("entry-%d", index) }

// listInstances sets the platform's instance list.
func (f *Fleet) listInstances() {
	var list []tablestore.Instance
	for i, zone := range f.options.InstanceZones {
		list = append(list, tablestore.Instance{Name: InstanceName(i), Zone: zone, State: tablestore.InstanceLive})
	}
	f.Platform.Store.SetInstances(list, time.Now())
}

// StartInstance starts the entry instance with the index, or its replacement.
func (f *Fleet) StartInstance(ctx context.Context, index int) (*entry.Instance, error) {
	network := newNetwork(f.Platform.URL())
	e, err := entry.New(entry.Options{
		Platform:         network,
		WrapPeerListener: network.wrap,
		DialPeer:         network.dial,
		Settings: settings.Entry{
			Name:            InstanceName(index),
			Zone:            f.options.InstanceZones[index],
			CallerAddress:   anyAddress,
			OperatorAddress: anyAddress,
			PeerAddress:     anyAddress,
			PlatformURL:        f.Platform.URL(),
			Seeds:           f.seeds(),
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

func (f *Fleet) seeds() []string {
	var seeds []string
	for _, e := range f.Instances {
		if e != nil {
			seeds = append(seeds, e.Settings().PeerAddress)
		}
	}
	return seeds
}

// OperatorClient returns an operator client of an entry instance.
func (f *Fleet) OperatorClient(index int) *operatorapi.Client {
	return operatorapi.NewClient("http://"+f.Instances[index].Settings().OperatorAddress, OperatorToken, "testfleet")
}

// CallerURL returns the base URL of an entry instance for callers.
func (f *Fleet) CallerURL(index int) string {
	return "http://" + f.Instances[index].Settings().CallerAddress
}

// Kill ends an entry instance without a drain and without telling anybody.
func (f *Fleet) Kill(index int) {
	f.Instances[index].Kill()
	f.Instances[index] = nil
}

// Stop ends everything without a drain.
func (f *Fleet) Stop() {
	for i, e := range f.Instances {
		if e != nil {
			f.Kill(i)
		}
	}
	if f.control != nil {
		f.control.Close()
	}
	if f.Backends != nil {
		f.Backends.Close()
	}
	f.cancel()
}
