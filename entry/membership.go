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

// membershipServiceName is the service's name in the kernel's service registry.
const membershipServiceName = "identity.membership"

// membershipService registers this process as an entry instance and tracks the state
// of the other instances. It wraps package identity as a kernel service and
// implements peer.Directory.
type membershipService struct {
	kernel.Base
	self               identity.InstanceConfig
	seeds              []string
	log                *slog.Logger
	onSuperseded       func(error) // called when a newer process has registered under this name
	registrationHolder *identity.RegistrationHolder
	watcher            *identity.Watcher
	instanceList       *trackedInstanceList

	cancel       context.CancelFunc
	done         sync.WaitGroup
	mu           sync.Mutex
	drainStarted bool
	// peerList is the instance list of a peer. It is used until the platform's list
	// has been read for the first time.
	peerList []tablestore.Instance
}

// Provision implements kernel.Service.
func (m *membershipService) Provision(r kernel.Resolver) error {
	f := &serviceFinder{resolver: r}
	platform := findService[Platform](f, platformServiceName)
	if f.err != nil {
		return f.err
	}
	m.instanceList = &trackedInstanceList{InstanceLister: platform}
	m.watcher = identity.NewWatcher(m.self.Zone, platform, m.instanceList, m.log)
	m.self.FleetSize = m.watcher.FleetSize
	m.registrationHolder = identity.NewRegistrationHolder(m.self, platform)
	return nil
}

// trackedInstanceList is the platform's instance list. It records whether a read has
// ever succeeded.
type trackedInstanceList struct {
	tablestore.InstanceLister
	everRead atomic.Bool
}

// List implements tablestore.InstanceLister.
func (t *trackedInstanceList) List(ctx context.Context) (tablestore.Listing, error) {
	listing, err := t.InstanceLister.List(ctx)
	if err == nil {
		t.everRead.Store(true)
	}
	return listing, err
}

// Name implements kernel.Service.
func (m *membershipService) Name() string { return membershipServiceName }

// Requires implements kernel.Service.
func (m *membershipService) Requires() []string { return []string{platformServiceName} }

// Start implements kernel.Service.
func (m *membershipService) Start(ctx context.Context) error {
	m.watcher.Bootstrap(ctx)
	runCtx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.done.Go(func() { m.watcher.Run(runCtx) })
	m.done.Go(func() {
		var superseded *identity.SupersededError
		err := m.registrationHolder.Run(runCtx, m.log)
		if errors.As(err, &superseded) {
			m.log.Error("registration superseded by a newer process with this instance's name", "error", err)
			m.onSuperseded(err)
		}
	})
	return nil
}

// Drain implements kernel.Service. It marks this instance as draining in its digests,
// in its look-up answers and in its registration, so that callers and peers immediately
// learn that it takes no new requests.
func (m *membershipService) Drain(ctx context.Context) error {
	m.mu.Lock()
	m.drainStarted = true
	m.mu.Unlock()
	if err := m.registrationHolder.Drain(ctx); err != nil {
		m.log.Warn("recording the drain in the registration failed; the next renewal retries it", "error", err)
	}
	return nil
}

// Stop implements kernel.Service.
func (m *membershipService) Stop(ctx context.Context) error {
	m.cancel()
	m.done.Wait()
	if err := m.registrationHolder.Deregister(ctx); err != nil {
		m.log.Warn("deregistering the instance failed", "error", err)
	}
	return nil
}

func (m *membershipService) draining() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.drainStarted
}

// sender returns the description of this instance that every digest and announcement
// carries.
func (m *membershipService) sender() *peerpb.Sender {
	registration := m.registrationHolder.Registration()
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

// mergeSighting records that an instance was last seen age ago. The instance is the
// sender of a digest that has just arrived (age 0), or one that a peer has seen.
func (m *membershipService) mergeSighting(s *peerpb.Sender, age time.Duration) {
	if s.GetName() == m.self.Name {
		return
	}
	m.watcher.ApplySighting(identity.Sighting{
		Age:           age,
		Name:          s.GetName(),
		Zone:          s.GetZone(),
		BootID:        s.GetBootId(),
		FencingToken:  s.GetToken(),
		PeerAddress:   s.GetPeerAddress(),
		CallerAddress: s.GetCallerAddress(),
		Draining:      s.GetDraining(),
	})
}

// maxSightingAge is the maximum age of the sightings that digests to instances of the
// own zone pass on. Each instance receives digests from its part of the other zones
// within about this time.
const maxSightingAge = 3 * time.Second

// directSightings returns the instances from which this one has recently received a
// digest itself, for digests to its zone. It returns none in a small fleet, where all
// instances exchange digests with each other.
func (m *membershipService) directSightings() []*peerpb.Sighting {
	if m.watcher.FleetSize().Instances <= peer.FullFanoutMaxPeers+1 {
		return nil
	}
	var out []*peerpb.Sighting
	for _, s := range m.watcher.DirectSightings(maxSightingAge) {
		seen := &peerpb.Sender{
			Name:     s.Name,
			Zone:     s.Zone,
			BootId:   s.BootID,
			Token:    s.FencingToken,
			Draining: s.Draining,
		}
		if rand.IntN(sightingsPerAddress) == 0 {
			seen.PeerAddress, seen.CallerAddress = s.PeerAddress, s.CallerAddress
		}
		out = append(out, &peerpb.Sighting{Instance: seen, AgeMs: uint32(s.Age.Milliseconds()) + 1})
	}
	return out
}

// sightingsPerAddress is the mean number of sightings of which one carries addresses.
// Addresses are half of a sighting's size, change only when an instance is replaced,
// and still reach the other instances within seconds.
const sightingsPerAddress = 8

// Instances implements peer.Directory. It includes suspected instances, since only a
// digest from them can show that they are live. It returns the seeds while no other
// instance is known.
func (m *membershipService) Instances() []peer.Instance {
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

// liveMembers returns the live entry instances, this one included.
func (m *membershipService) liveMembers() []balancer.Member {
	out := []balancer.Member{{Name: m.self.Name, Zone: m.self.Zone}}
	for _, member := range m.watcher.Members() {
		if member.Name != m.self.Name && member.State == identity.MemberLive {
			out = append(out, balancer.Member{Name: member.Name, Zone: member.Zone})
		}
	}
	return out
}

// allocatorCandidates returns the names of the live instances in the own zone, one of
// which becomes the allocator of the zone's limit shares. It omits this instance
// while it drains, unless there is no other.
func (m *membershipService) allocatorCandidates() []string {
	draining := m.draining()
	var names []string
	for _, member := range m.liveMembers() {
		if member.Zone == m.self.Zone && !(draining && member.Name == m.self.Name) {
			names = append(names, member.Name)
		}
	}
	if len(names) == 0 {
		return []string{m.self.Name}
	}
	return names
}

// liveZoneMemberCount returns the number of live instances in the own zone, this one
// included.
func (m *membershipService) liveZoneMemberCount() int {
	count := 0
	for _, member := range m.liveMembers() {
		if member.Zone == m.self.Zone {
			count++
		}
	}
	return count
}

// claimantLiveness returns whether the process that made a claim is alive, gone or in
// an unknown state.
func (m *membershipService) claimantLiveness(c claims.Claimant) claims.Liveness {
	switch m.watcher.ProcessState(c.Instance, c.BootID) {
	case identity.MemberGone:
		return claims.ClaimantGone
	case identity.MemberLive, identity.MemberDraining:
		return claims.ClaimantAlive
	default:
		return claims.LivenessUnknown
	}
}

// hasInstanceList reports whether a list of the entry instances has been read from
// the platform or from a peer. Without a list this instance cannot determine how many
// instances are a majority.
func (m *membershipService) hasInstanceList() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.instanceList.everRead.Load() || len(m.peerList) > 0
}

// setPeerList sets the instance list of a peer, which is used until the platform's
// list has been read.
func (m *membershipService) setPeerList(list []tablestore.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peerList = list
}

// listedInstances returns all instances that may serve requests, ordered by name:
// this one, the members that are not known to be gone, and, until the platform's list
// has been read, those on the list of a peer.
func (m *membershipService) listedInstances() []tablestore.Instance {
	zoneByName := map[string]string{m.self.Name: m.self.Zone}
	if !m.instanceList.everRead.Load() {
		m.mu.Lock()
		for _, in := range m.peerList {
			zoneByName[in.Name] = in.Zone
		}
		m.mu.Unlock()
	}
	for _, member := range m.watcher.Members() {
		if member.Name != m.self.Name && member.State != identity.MemberGone {
			zoneByName[member.Name] = member.Zone
		}
	}
	var out []tablestore.Instance
	for name, zone := range zoneByName {
		out = append(out, tablestore.Instance{Name: name, Zone: zone, State: tablestore.InstanceLive})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
