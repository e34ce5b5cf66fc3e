package entry

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/jacinthrack/jacinthrack/balancer"
	"github.com/jacinthrack/jacinthrack/claims"
	"github.com/jacinthrack/jacinthrack/identity"
	"github.com/jacinthrack/jacinthrack/kernel"
	"github.com/jacinthrack/jacinthrack/peer"
	"github.com/jacinthrack/jacinthrack/peer/peerpb"
)

// membershipName is the name in the kernel registry.
const membershipName = "identity.membership"

// membership registers this process and keeps the view of the others. It is the
// kernel service around package identity.
type membership struct {
	kernel.Base
	self    identity.Config
	seeds   []string
	store   Platform
	log     *slog.Logger
	onLost  func(error) // called when a newer process has this name
	holder  *identity.Holder
	watcher *identity.Watcher

	cancel context.CancelFunc
	done   sync.WaitGroup
	mu     sync.Mutex
	drain  bool
}

func newMembership(self identity.Config, seeds []string, store Platform, log *slog.Logger, onLost func(error)) *membership {
	m := &membership{self: self, seeds: seeds, store: store, log: log, onLost: onLost}
	m.watcher = identity.NewWatcher(self.Zone, store, store, log)
	m.self.Fleet = m.watcher.Fleet
	m.holder = identity.NewHolder(m.self, store)
	return m
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
	return &peerpb.Sender{
		Name:          m.self.Name,
		Zone:          m.self.Zone,
		BootId:        m.holder.Registration().BootID,
		PeerAddress:   m.self.PeerAddress,
		CallerAddress: m.self.CallerAddress,
		Draining:      m.draining(),
	}
}

// heard merges the sender of a digest that has just arrived.
func (m *membership) heard(s *peerpb.Sender) {
	m.watcher.Heard(identity.Sighting{
		Name:          s.GetName(),
		Zone:          s.GetZone(),
		BootID:        s.GetBootId(),
		PeerAddress:   s.GetPeerAddress(),
		CallerAddress: s.GetCallerAddress(),
		Draining:      s.GetDraining(),
	})
}

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

// total returns the number of instances that may serve requests: all but those
// that are gone.
func (m *membership) total() int {
	count := 1
	for _, member := range m.watcher.Members() {
		if member.Name != m.self.Name && member.State != identity.MemberGone {
			count++
		}
	}
	return count
}

// liveness says what is known of the process that holds a claim.
func (m *membership) liveness(c claims.Claimant) claims.Liveness {
	for _, member := range m.watcher.Members() {
		if member.Name != c.Instance {
			continue
		}
		if member.State == identity.MemberGone || member.BootID != 0 && member.BootID != c.BootID {
			return claims.ClaimantGone
		}
		if member.State == identity.MemberLive || member.State == identity.MemberDraining {
			return claims.ClaimantAlive
		}
	}
	return claims.LivenessUnknown
}

// valid reports whether this process still owns its name. A process that was
// paused learns here that a replacement may have taken over.
func (m *membership) superseded(now time.Time) bool {
	var newer *identity.SupersededError
	return errors.As(m.holder.Check(now), &newer)
}
