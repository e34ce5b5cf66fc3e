// Package entry puts the services of an entry instance together. It is what
// jacinthrackd runs and what a program embeds.
//
// Each service is registered with the kernel under its name; the table in
// docs/design.md lists them. Only wiring and adapters belong here: decisions are
// made in the packages that the services wrap.
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

// platformName is the name of the platform service in the kernel registry.
const platformName = httpclient.ServiceName

// Platform is the platform as an entry instance needs it.
type Platform interface {
	tablestore.Table
	tablestore.Objects
	tablestore.InstanceList
}

// PlatformService is a platform that can be registered with the kernel.
type PlatformService interface {
	kernel.Service
	Platform
}

// Options configure an entry instance.
type Options struct {
	Settings settings.Entry
	// Platform replaces the HTTP client. Its name must be that of the client.
	Platform PlatformService
	Log      *slog.Logger
	// MetricsRegistry collects the metrics. Nil means a new one.
	MetricsRegistry *prometheus.Registry
	// WrapPeerListener wraps the listener for other instances, and DialPeer opens
	// connections to them, for example to count or cut their traffic. Nil means
	// plain TCP.
	WrapPeerListener func(net.Listener) net.Listener
	DialPeer  func(ctx context.Context, address string) (net.Conn, error)
	// OnSuperseded is called when a newer process has this instance's name. The
	// process should then end. Nil means that it is only logged.
	OnSuperseded func(error)
}

// Instance is an entry instance.
type Instance struct {
	settings  settings.Entry
	log       *slog.Logger
	registry  *prometheus.Registry
	kernel    *kernel.Registry
	listeners listeners

	members  *membership
	config   *configuration
	lookups  *lookups
	limiter  *limiter
	keys     *keyService
	balancer *balancer.Balancer
	peers    *peer.Service
	gossip   *gossip

	refusing atomic.Bool // new requests, during the drain
}

// listeners are opened before anything else, so that an address in use is found
// before the instance registers.
type listeners struct {
	caller   net.Listener
	operator net.Listener
	peer     net.Listener
}

// New opens the listeners and registers the services. Start must follow. It
// returns a *ListenError, a *peer.CertificateError or the errors of the kernel.
func New(o Options) (*Instance, error) {
	e := &Instance{settings: o.Settings, log: o.Log.With("instance", o.Settings.Name), registry: o.MetricsRegistry}
	if e.registry == nil {
		e.registry = prometheus.NewRegistry()
	}
	e.kernel = kernel.New(e.log)
	if err := e.listen(); err != nil {
		return nil, err
	}
	if err := e.register(o); err != nil {
		e.closeListeners()
		return nil, err
	}
	return e, nil
}

// ListenError reports an address that cannot be listened on.
type ListenError = listen.Error

func (e *Instance) listen() error {
	targets := []struct {
		address *string
		into    *net.Listener
	}{
		{&e.settings.CallerAddress, &e.listeners.caller},
		{&e.settings.OperatorAddress, &e.listeners.operator},
		{&e.settings.PeerAddress, &e.listeners.peer},
	}
	for _, target := range targets {
		listener, err := net.Listen("tcp", *target.address)
		if err != nil {
			e.closeListeners()
			return &ListenError{Address: *target.address, Err: err}
		}
		*target.into = listener
		// A port of 0 becomes the one that the system chose.
		*target.address = listener.Addr().String()
	}
	return nil
}

func (e *Instance) closeListeners() {
	for _, listener := range []net.Listener{e.listeners.caller, e.listeners.operator, e.listeners.peer} {
		if listener != nil {
			listener.Close()
		}
	}
}

// register adds the services to the kernel. They find each other by name when they
// are provisioned.
func (e *Instance) register(o Options) error {
	store := o.Platform
	if store == nil {
		store = httpclient.New(e.settings.Platform)
	}
	onLost := o.OnSuperseded
	if onLost == nil {
		onLost = func(error) {}
	}
	self := identity.InstanceConfig{
		Name:          e.settings.Name,
		Zone:          e.settings.Zone,
		BootID:        identity.NewBootID(),
		PeerAddress:   e.settings.PeerAddress,
		CallerAddress: e.settings.CallerAddress,
	}
	e.members = &membership{self: self, seeds: e.settings.Seeds, log: e.log, onLost: onLost}
	e.config = &configuration{log: e.log}
	e.keys = &keyService{self: self, log: e.log}
	e.limiter = &limiter{self: self, log: e.log}
	e.lookups = &lookups{log: e.log}
	e.gossip = &gossip{log: e.log}
	e.balancer = balancer.New(balancer.Options{
		InstanceName:  self.Name,
		Zone:          self.Zone,
		Members:       e.members.live,
		OnServerCrash: func() { go e.gossip.announceSuspects() },
		ShiftTokens:   e.limiter,
		Registry:      e.registry,
		Log:           e.log,
	})
	peers, err := e.newPeers(o)
	if err != nil {
		return err
	}
	e.peers = peers
	services := []kernel.Service{
		store, e.members, e.config, e.keys, e.limiter, e.balancer, e.lookups, e.gossip, peers,
		&admission{},
		&claimService{self: self, log: e.log},
		&maintenance{log: e.log},
		e.operatorHTTP(),
		e.callerHTTP(),
	}
	for _, s := range services {
		if err := e.kernel.Register(s); err != nil {
			return err
		}
	}
	return nil
}

func (e *Instance) newPeers(o Options) (*peer.Service, error) {
	if o.WrapPeerListener != nil {
		e.listeners.peer = o.WrapPeerListener(e.listeners.peer)
	}
	options := peer.Options{
		Name:      e.settings.Name,
		Zone:      e.settings.Zone,
		Listener:  e.listeners.peer,
		Knowledge: e.gossip,
		Directory: e.members,
		Shares:    e.limiter,
		Dial:      o.DialPeer,
		Log:       e.log,
		Requires:  []string{gossipName},
	}
	if e.settings.TLS != nil {
		certs, err := peer.LoadCertificates(*e.settings.TLS)
		if err != nil {
			return nil, err
		}
		options.TLS = certs
	}
	return peer.NewService(options), nil
}

// Start starts the instance. It returns the errors of the kernel.
func (e *Instance) Start(ctx context.Context) error {
	if err := e.kernel.Start(ctx); err != nil {
		e.closeListeners()
		return err
	}
	e.log.Info("entry instance started", "zone", e.settings.Zone, "caller_address", e.settings.CallerAddress,
		"operator_address", e.settings.OperatorAddress, "peer_address", e.settings.PeerAddress)
	return nil
}

// Shutdown drains the instance until ctx ends, then stops it. Requests in
// progress finish if they can before ctx ends.
func (e *Instance) Shutdown(ctx context.Context) error {
	e.log.Info("entry instance drains")
	drainErr := e.kernel.Drain(ctx)
	stopErr := e.stop()
	if drainErr != nil {
		return drainErr
	}
	return stopErr
}

// stopTimeout bounds the release of everything after the drain.
const stopTimeout = 5 * time.Second

func (e *Instance) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := e.kernel.Stop(ctx)
	e.log.Info("entry instance stopped")
	return err
}

// Kill ends the instance as a crash would: requests in progress break off, no
// share or registration is given back, and no peer is told. It is for tests of
// failures.
func (e *Instance) Kill() {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	// Errors are expected, since every call to the platform fails at once.
	_ = e.kernel.Stop(ended)
}

// Settings returns the settings with the addresses that the instance listens on.
func (e *Instance) Settings() settings.Entry { return e.settings }

// Ready reports whether the instance can serve requests.
func (e *Instance) Ready() bool { return e.lookups.Snapshot() != nil && !e.members.draining() }
