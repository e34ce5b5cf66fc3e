// Package entry assembles an entry instance from its services. jacinthrackd runs
// it, and other programs can embed it.
//
// Each service is registered with the kernel under its name; the table in
// docs/design.md lists them. This package contains only wiring and adapters. The
// packages that the services wrap make the decisions.
package entry

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/jacinthrack/jacinthrack/balancer"
	"github.com/jacinthrack/jacinthrack/identity"
	"github.com/jacinthrack/jacinthrack/internal/listen"
	"github.com/jacinthrack/jacinthrack/kernel"
	"github.com/jacinthrack/jacinthrack/peer"
	"github.com/jacinthrack/jacinthrack/settings"
	"github.com/jacinthrack/jacinthrack/tablestore"
	"github.com/jacinthrack/jacinthrack/tablestore/httpclient"
)

// platformServiceName is the name of the platform service in the kernel's service
// registry.
const platformServiceName = httpclient.ServiceName

// Platform is the part of the platform's API that an entry instance uses.
type Platform interface {
	tablestore.Table
	tablestore.ObjectStore
	tablestore.InstanceLister
}

// PlatformService is a Platform that can be registered with the kernel.
type PlatformService interface {
	kernel.Service
	Platform
}

// Options configure an entry instance.
type Options struct {
	Settings settings.Entry
	// Platform replaces the HTTP client of the platform. Its Name must return
	// httpclient.ServiceName. Nil means the HTTP client.
	Platform PlatformService
	Log      *slog.Logger
	// MetricsRegistry collects the metrics. Nil means a new one.
	MetricsRegistry *prometheus.Registry
	// WrapPeerListener wraps the listener for connections from other entry instances,
	// and DialPeer opens connections to them, for example to count or cut this traffic.
	// Nil means plain TCP.
	WrapPeerListener func(net.Listener) net.Listener
	DialPeer         func(ctx context.Context, address string) (net.Conn, error)
	// OnSuperseded is called when a newer process has registered under this
	// instance's name. This process should then exit. Nil means that the event is
	// only logged.
	OnSuperseded func(error)
}

// Instance is an entry instance.
type Instance struct {
	settings        settings.Entry
	log             *slog.Logger
	metricsRegistry *prometheus.Registry
	kernel          *kernel.Registry
	listeners       listeners

	membership *membershipService
	config     *configService
	lookups    *lookupService
	limiter    *limitService
	keys       *keyService
	balancer   *balancer.Balancer
	peers      *peer.Service
	gossip     *gossipService

	rejecting atomic.Bool // set late in the drain: new requests are rejected
}

// listeners are opened before any service starts, so that an address that is
// already in use is detected before the instance registers.
type listeners struct {
	caller   net.Listener
	operator net.Listener
	peer     net.Listener
}

// New opens the listeners and registers the services with the kernel. Call Start
// to run the instance. New returns a *ListenError, a *peer.CertificateError or an
// error of the kernel.
func New(o Options) (*Instance, error) {
	i := &Instance{settings: o.Settings, log: o.Log.With("instance", o.Settings.Name), metricsRegistry: o.MetricsRegistry}
	if i.metricsRegistry == nil {
		i.metricsRegistry = prometheus.NewRegistry()
	}
	i.kernel = kernel.New(i.log)
	if err := i.openListeners(); err != nil {
		return nil, err
	}
	if err := i.registerServices(o); err != nil {
		i.closeListeners()
		return nil, err
	}
	return i, nil
}

// ListenError reports an address on which no listener could be opened.
type ListenError = listen.Error

func (i *Instance) openListeners() error {
	targets := []struct {
		address  *string
		listener *net.Listener
	}{
		{&i.settings.CallerAddress, &i.listeners.caller},
		{&i.settings.OperatorAddress, &i.listeners.operator},
		{&i.settings.PeerAddress, &i.listeners.peer},
	}
	for _, target := range targets {
		listener, err := net.Listen("tcp", *target.address)
		if err != nil {
			i.closeListeners()
			return &ListenError{Address: *target.address, Err: err}
		}
		*target.listener = listener
		// Replaces port 0 by the port that the operating system chose.
		*target.address = listener.Addr().String()
	}
	return nil
}

func (i *Instance) closeListeners() {
	for _, listener := range []net.Listener{i.listeners.caller, i.listeners.operator, i.listeners.peer} {
		if listener != nil {
			listener.Close()
		}
	}
}

// registerServices registers the services with the kernel. They look each other up
// by name in Provision.
func (i *Instance) registerServices(o Options) error {
	platform := o.Platform
	if platform == nil {
		platform = httpclient.New(i.settings.PlatformURL)
	}
	onSuperseded := o.OnSuperseded
	if onSuperseded == nil {
		onSuperseded = func(error) {}
	}
	self := identity.InstanceConfig{
		Name:          i.settings.Name,
		Zone:          i.settings.Zone,
		BootID:        identity.NewBootID(),
		PeerAddress:   i.settings.PeerAddress,
		CallerAddress: i.settings.CallerAddress,
	}
	i.membership = &membershipService{self: self, seeds: i.settings.Seeds, log: i.log, onSuperseded: onSuperseded}
	i.config = &configService{log: i.log}
	i.keys = &keyService{self: self, log: i.log}
	i.limiter = &limitService{self: self, log: i.log}
	i.lookups = &lookupService{log: i.log}
	i.gossip = &gossipService{log: i.log}
	i.balancer = balancer.New(balancer.Options{
		InstanceName:  self.Name,
		Zone:          self.Zone,
		Members:       i.membership.liveMembers,
		OnServerCrash: func() { go i.gossip.announceSuspectRequests() },
		ShiftTokens:   i.limiter,
		Registry:      i.metricsRegistry,
		Log:           i.log,
	})
	peers, err := i.newPeerService(o)
	if err != nil {
		return err
	}
	i.peers = peers
	services := []kernel.Service{
		platform, i.membership, i.config, i.keys, i.limiter, i.balancer, i.lookups, i.gossip, peers,
		&admissionService{},
		&claimService{self: self, log: i.log},
		&maintenanceService{log: i.log},
		i.newOperatorHTTP(),
		i.newCallerHTTP(),
	}
	for _, s := range services {
		if err := i.kernel.Register(s); err != nil {
			return err
		}
	}
	return nil
}

func (i *Instance) newPeerService(o Options) (*peer.Service, error) {
	if o.WrapPeerListener != nil {
		i.listeners.peer = o.WrapPeerListener(i.listeners.peer)
	}
	options := peer.Options{
		Name:           i.settings.Name,
		Zone:           i.settings.Zone,
		Listener:       i.listeners.peer,
		Handler:        i.gossip,
		Directory:      i.membership,
		ShareAllocator: i.limiter,
		Dial:           o.DialPeer,
		Log:            i.log,
		Requires:       []string{gossipServiceName},
	}
	if i.settings.TLS != nil {
		certs, err := peer.LoadCertificates(*i.settings.TLS)
		if err != nil {
			return nil, err
		}
		options.TLS = certs
	}
	return peer.NewService(options), nil
}

// Start starts the services of the instance. It returns the error of the kernel.
func (i *Instance) Start(ctx context.Context) error {
	if err := i.kernel.Start(ctx); err != nil {
		i.closeListeners()
		return err
	}
	i.log.Info("entry instance started", "zone", i.settings.Zone, "caller_address", i.settings.CallerAddress,
		"operator_address", i.settings.OperatorAddress, "peer_address", i.settings.PeerAddress)
	return nil
}

// Shutdown drains the instance, for at most as long as ctx lasts, and then stops
// it. In-flight requests that have not completed when ctx ends are cut off.
func (i *Instance) Shutdown(ctx context.Context) error {
	i.log.Info("entry instance draining")
	drainErr := i.kernel.Drain(ctx)
	stopErr := i.stop()
	if drainErr != nil {
		return drainErr
	}
	return stopErr
}

// stopTimeout bounds the stop of all services after the drain.
const stopTimeout = 5 * time.Second

func (i *Instance) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := i.kernel.Stop(ctx)
	i.log.Info("entry instance stopped")
	return err
}

// Kill stops the instance as a crash would, for failure tests: in-flight requests
// are cut off, no limit share or registration is released, and no peer is notified.
func (i *Instance) Kill() {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	// Errors are expected: with a cancelled context every call to the platform fails
	// immediately.
	_ = i.kernel.Stop(cancelled)
}

// Settings returns the settings, with the addresses that the listeners actually use.
func (i *Instance) Settings() settings.Entry { return i.settings }

// Ready reports whether the instance has a look-up snapshot, hence a configuration,
// and is not draining.
func (i *Instance) Ready() bool { return i.lookups.Snapshot() != nil && !i.membership.draining() }
