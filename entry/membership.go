package entry

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthrack/jacinthrack/balancer"
	"github.com/jacinthrack/jacinthrack/claims"
	"github.com/jacinthrack/jacinthrack/identity"
	"github.com/jacinthrack/jacinthrack/kernel"
	"github.com/jacinthrack/jacinthrack/peer"
	"github.com/jacinthrack/jacinthrack/peer/peerpb"
	"github.com/jacinthrack/jacinthrack/tablestore"
)

// membershipName is the name in the kernel registry.
const membershipName = "identity.membership"

// membership registers this process and keeps the view of the others. It is the
// kernel service around package identity.
type membership struct {
	kernel.Base
	self    identity.InstanceConfig
	seeds   []string
	log     *slog.Logger
	onLost  func(error) // called when a newer process has this name
	holder  *identity.RegistrationHolder
	watcher *identity.Watcher
	list    *observedList

	cancel context.CancelFunc
	done   sync.WaitGroup
	mu     sync.Mutex
	drain  bool
	// adopted is the list of a peer, which stands in until the platform's was read.
	adopted []tablestore.Instance
}

// Provision implements kernel.Service.
func (m *membership) Provision(r kernel.Resolver) error {
	f := &finder{resolver: r}
	store := find[Platform](f, platformName)
	if f.err != nil {
		return f.err
	}
	m.list = &observedList{InstanceList: store}
	m.watcher = identity.NewWatcher(m.self.Zone, store, m.list, m.log)
	m.self.FleetSize = m.watcher.FleetSize
	m.holder = identity.NewRegistrationHolder(m.self, store)
	return nil
}

// observedList remembers whether the platform's list was ever read.
type observedList struct {
	tablestore.InstanceList
	read atomic.Bool
}

// List implements tablestore.InstanceList.
func (o *observedList) List(ctx context.Context) (tablestore.Listing, error) {
	listing, err := o.InstanceList.List(ctx)
	if err == nil {
		o.read.Store(true)
	}
	return listing, err
}

// Name implements kernel.Service.
func (m *membership) Name() string { return membershipName }

// Requires implements kernel.Service.
func (m *membership) Requires() []string { return []string{platformName} }

// Start implements kernel.Service.
func (m *membership) Start(ctx context.Context) error {
	m.watcher.Bootstrap(ctx)
	running, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.done.Go(func() { m.watcher.Run(running) })
	m.done.Go(func() {
		var superseded *identity.SupersededError
		err := m.holder.Run(running, m.log)
		if errors.As(err, &superseded) {
			m.log.Error("a newer process has this instance's name", "error", err)
			m.onLost(err)
		}
	})
	return nil
}

// Drain implements kernel.Service. Peers and look-ups learn at once that this
// instance takes no new work.
func (m *membership) Drain(ctx context.Context) error {
	m.mu.Lock()
	m.drain = true
	m.mu.Unlock()
	if err := m.holder.Drain(ctx); err != nil {
		m.log.Warn("drain is not registered yet", "error", err)
	}
	return nil
}

// Stop implements kernel.Service.
func (m *membership) Stop(ctx context.Context) error {
	m.cancel()
	m.done.Wait()
	if err := m.holder.Deregister(ctx); err != nil {
		m.log.Warn("registration was not ended", "error", err)
	}
	return nil
}

func (m *membership) draining() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.drain
}

// sender returns this instance's part of every digest.
func (m *membership) sender() *peerpb.Sender {
	registration := m.holder.Registration()
	return &peerpb.Sender{
		Name:          m.self.Name,
		Zone:          m.self.Zone,
		BootId:        registration.BootID,
		Token:         registration.FencingToken,
		PeerAddress:   m.self.PeerAddress,
		CallerAddress: m.self.CallerAddress,
		Draining:      m.draining(),
	}
}

// heard merges the sender of a digest that has just arrived (age 0), or one that
// a peer heard.
func (m *membership) heard(s *peerpb.Sender, age time.Duration) {
	if s.GetName() == m.self.Name {
		return
	}
	m.watcher.ApplySighting(identity.Sighting{
		Age:           age,
		Name:          s.GetName(),
		Zone:          s.GetZone(),
		BootID:        s.GetBootId(),
		FencingToken:         s.GetToken(),
		PeerAddress:   s.GetPeerAddress(),
		CallerAddress: s.GetCallerAddress(),
		Draining:      s.GetDraining(),
	})
}

// sightingAge bounds what digests to zone mates pass on: each instance hears its
// part of the other zones within about this time.
const sightingAge = 3 * time.Second

// sightings returns the instances that this one heard itself. In a small fleet
// everybody hears everybody, and there is nothing to pass on.
func (m *membership) sightings() []*peerpb.Sighting {
	if m.watcher.FleetSize().Instances <= peer.SmallFleet+1 {
		return nil
	}
	var out []*peerpb.Sighting
	for _, s := range m.watcher.DirectSightings(sightingAge) {
		seen := &peerpb.Sender{
			Name:     s.Name,
			Zone:     s.Zone,
			BootId:   s.BootID,
			Token:    s.FencingToken,
			Draining: s.Draining,
		}
		if rand.IntN(addressEvery) == 0 {
			seen.PeerAddress, seen.CallerAddress = s.PeerAddress, s.CallerAddress
		}
		out = append(out, &peerpb.Sighting{Instance: seen, AgeMs: uint32(s.Age.Milliseconds()) + 1})
	}
	return out
}

// addressEvery is the number of sightings of which one carries addresses, which
// are half of its size. They change only with a replacement, and then arrive
// within some seconds.
const addressEvery = 8

// Instances implements peer.Directory. Suspected instances are contacted too,
// since only contact can clear them. Seeds stand in while nobody is known.
func (m *membership) Instances() []peer.Instance {
	var out []peer.Instance
	for _, member := range m.watcher.Members() {
		if member.Name == m.self.Name || member.State == identity.MemberGone || member.PeerAddress == "" {
			continue
		}
		out = append(out, peer.Instance{Name: member.Name, Zone: member.Zone, Address: member.PeerAddress})
	}
	if len(out) > 0 {
		return out
	}
	for _, address := range m.seeds {
		if address != m.self.PeerAddress {
			out = append(out, peer.Instance{Name: address, Address: address})
		}
	}
	return out
}

// live returns the live entry instances, this one included.
func (m *membership) live() []balancer.Member {
	out := []balancer.Member{{Name: m.self.Name, Zone: m.self.Zone}}
	for _, member := range m.watcher.Members() {
		if member.Name != m.self.Name && member.State == identity.MemberLive {
			out = append(out, balancer.Member{Name: member.Name, Zone: member.Zone})
		}
	}
	return out
}

// zoneKeepers returns the names of the live instances in the own zone, from which
// the keeper of the zone's shares is chosen. This one is left out while it drains,
// unless it is the only one.
func (m *membership) zoneKeepers() []string {
	draining := m.draining()
	var names []string
	for _, member := range m.live() {
		if member.Zone == m.self.Zone && !(draining && member.Name == m.self.Name) {
			names = append(names, member.Name)
		}
	}
	if len(names) == 0 {
		return []string{m.self.Name}
	}
	return names
}

// zoneLive returns the number of live instances in the own zone.
func (m *membership) zoneLive() int {
	count := 0
	for _, member := range m.live() {
		if member.Zone == m.self.Zone {
			count++
		}
	}
	return count
}

// liveness says what is known of the process that holds a claim.
func (m *membership) liveness(c claims.Claimant) claims.Liveness {
	switch m.watcher.ProcessState(c.Instance, c.BootID) {
	case identity.MemberGone:
		return claims.ClaimantGone
	case identity.MemberLive, identity.MemberDraining:
		return claims.ClaimantAlive
	default:
		return claims.LivenessUnknown
	}
}

// listKnown reports whether a list of the entry instances is known. Without one,
// the instance cannot tell a majority.
func (m *membership) listKnown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list.read.Load() || len(m.adopted) > 0
}

// adopt takes the list of a peer while the platform's was never read.
func (m *membership) adopt(list []tablestore.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.adopted = list
}

// listed returns all instances that may serve requests, this one included.
func (m *membership) listed() []tablestore.Instance {
	zones := map[string]string{m.self.Name: m.self.Zone}
	if !m.list.read.Load() {
		m.mu.Lock()
		for _, in := range m.adopted {
			zones[in.Name] = in.Zone
		}
		m.mu.Unlock()
	}
	for _, member := range m.watcher.Members() {
		if member.Name != m.self.Name && member.State != identity.MemberGone {
			zones[member.Name] = member.Zone
		}
	}
	var out []tablestore.Instance
	for name, zone := range zones {
		out = append(out, tablestore.Instance{Name: name, Zone: zone, State: tablestore.InstanceLive})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
