package peer

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"google.golang.org/grpc/backoff"

	"github.com/jacinthrack/jacinthrack/peer/peerpb"
)

// reconnectBackoff keeps the wait for a peer that returns within the staleness
// bound of keys.
var reconnectBackoff = backoff.Config{
	BaseDelay:  100 * time.Millisecond,
	Multiplier: 1.6,
	Jitter:     0.2,
	MaxDelay:   2 * time.Second,
}

// run exchanges digests until ctx ends.
func (s *Service) run(ctx context.Context) {
	for {
		s.round(ctx)
		wait := ExchangeInterval + time.Duration(rand.Int64N(int64(ExchangeInterval/10)))
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

// round exchanges digests with the peers whose turn it is.
func (s *Service) round(ctx context.Context) {
	instances := s.directory.Instances()
	s.prune(instances)
	turn := s.nextTurn()
	zone, remote := split(instances, s.zone)
	var calls sync.WaitGroup
	for _, in := range rotate(zone, turn, ZoneFanout) {
		calls.Go(func() { s.exchange(ctx, in) })
	}
	for _, in := range rotate(remote, turn, remoteFanout(len(instances))) {
		calls.Go(func() { s.exchange(ctx, in) })
	}
	calls.Wait()
}

// remoteFanout returns the number of instances in other zones to contact in a
// round.
func remoteFanout(instances int) int {
	if instances <= FullFanoutMaxPeers {
		return instances
	}
	return 1
}

func (s *Service) nextTurn() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn++
	return s.turn
}

func (s *Service) exchange(ctx context.Context, in Instance) {
	call, cancel := context.WithTimeout(ctx, ExchangeTimeout)
	defer cancel()
	client, err := s.client(in.Address)
	if err != nil {
		s.noteExchange(in, err)
		return
	}
	sent := time.Now()
	reply, err := client.Exchange(call, s.knowledge.Digest(Recipient{Name: in.Name, Zone: in.Zone}))
	s.noteExchange(in, err)
	if err != nil {
		return
	}
	s.knowledge.MergeReply(ctx, reply, time.Since(sent))
}

// noteExchange logs when exchanges with a peer begin to fail, for example because
// of its certificate, and when they work again.
func (s *Service) noteExchange(in Instance, err error) {
	s.mu.Lock()
	before := s.failing[in.Name]
	if err != nil {
		s.failing[in.Name] = true
	} else {
		delete(s.failing, in.Name)
	}
	s.mu.Unlock()
	switch {
	case err != nil && !before:
		s.log.Warn("exchanges with a peer fail", "peer", in.Name, "address", in.Address, "error", err)
	case err == nil && before:
		s.log.Info("exchanges with a peer work again", "peer", in.Name)
	}
}

// split separates the instances of a zone from the others, in a stable order.
// The others are ordered so that consecutive ones are in different zones.
func split(instances []Instance, zone string) (inZone, remote []Instance) {
	byZone := make(map[string][]Instance)
	for _, in := range instances {
		if in.Zone == zone {
			inZone = append(inZone, in)
			continue
		}
		byZone[in.Zone] = append(byZone[in.Zone], in)
	}
	sortByName(inZone)
	zones := make([]string, 0, len(byZone))
	for name, members := range byZone {
		sortByName(members)
		zones = append(zones, name)
	}
	sort.Strings(zones)
	for i := 0; len(remote) < len(instances)-len(inZone); i++ {
		for _, name := range zones {
			if i < len(byZone[name]) {
				remote = append(remote, byZone[name][i])
			}
		}
	}
	return inZone, remote
}

func sortByName(instances []Instance) {
	sort.Slice(instances, func(i, j int) bool { return instances[i].Name < instances[j].Name })
}

// rotate returns count instances, starting where the previous turn ended.
func rotate(instances []Instance, turn, count int) []Instance {
	if len(instances) <= count {
		return instances
	}
	chosen := make([]Instance, count)
	for i := range chosen {
		chosen[i] = instances[(turn*count+i)%len(instances)]
	}
	return chosen
}

// Announce sends an announcement to every instance: to the zone directly, and to
// one instance of each other zone, which passes it on. It returns the
// confirmations, ordered by instance.
func (s *Service) Announce(ctx context.Context, a *peerpb.Announcement) []*peerpb.Confirmation {
	zone, remote := split(s.directory.Instances(), s.zone)
	results := make(chan []*peerpb.Confirmation)
	var calls sync.WaitGroup
	for _, in := range zone {
		calls.Go(func() { results <- s.announce(ctx, in, a, 0) })
	}
	for _, members := range groupByZone(remote) {
		calls.Go(func() { results <- s.announceToZone(ctx, members, a) })
	}
	go func() {
		calls.Wait()
		close(results)
	}()
	var confirmed []*peerpb.Confirmation
	for part := range results {
		confirmed = append(confirmed, part...)
	}
	sort.Slice(confirmed, func(i, j int) bool { return confirmed[i].GetName() < confirmed[j].GetName() })
	return confirmed
}

// announceInZone sends an announcement to the other instances of this zone.
func (s *Service) announceInZone(ctx context.Context, a *peerpb.Announcement) []*peerpb.Confirmation {
	zone, _ := split(s.directory.Instances(), s.zone)
	results := make(chan []*peerpb.Confirmation, len(zone))
	for _, in := range zone {
		go func() { results <- s.announce(ctx, in, a, 0) }()
	}
	var confirmed []*peerpb.Confirmation
	for range zone {
		confirmed = append(confirmed, <-results...)
	}
	return confirmed
}

// announceToZone sends an announcement to the first instance of a zone that takes it.
func (s *Service) announceToZone(ctx context.Context, members []Instance, a *peerpb.Announcement) []*peerpb.Confirmation {
	for i, in := range members {
		if i == zoneAttempts {
			break
		}
		if confirmed := s.announce(ctx, in, a, 1); len(confirmed) > 0 {
			return confirmed
		}
	}
	return nil
}

func (s *Service) announce(ctx context.Context, in Instance, a *peerpb.Announcement, hops uint32) []*peerpb.Confirmation {
	ctx, cancel := context.WithTimeout(ctx, AnnounceTimeout)
	defer cancel()
	client, err := s.client(in.Address)
	if err != nil {
		return nil
	}
	message := &peerpb.Announcement{
		Sender:        a.GetSender(),
		Config:        a.GetConfig(),
		Withdrawals:   a.GetWithdrawals(),
		Quarantined:   a.GetQuarantined(),
		KeyGeneration: a.GetKeyGeneration(),
		Hops:          hops,
	}
	reply, err := client.Announce(ctx, message)
	if err != nil {
		s.log.Warn("announcement failed", "peer", in.Name, "error", err)
		return nil
	}
	return reply.GetConfirmed()
}

func groupByZone(instances []Instance) map[string][]Instance {
	groups := make(map[string][]Instance)
	for _, in := range instances {
		groups[in.Zone] = append(groups[in.Zone], in)
	}
	return groups
}

// FetchSection fetches a section of the configuration from any peer.
func (s *Service) FetchSection(ctx context.Context, sha256 []byte) ([]byte, error) {
	zone, remote := split(s.directory.Instances(), s.zone)
	var last error = &NoPeerError{}
	for _, in := range append(zone, remote...) {
		client, err := s.client(in.Address)
		if err != nil {
			last = err
			continue
		}
		call, cancel := context.WithTimeout(ctx, AnnounceTimeout)
		reply, err := client.FetchSection(call, &peerpb.FetchSectionRequest{Sha256: sha256})
		cancel()
		if err == nil {
			return reply.GetData(), nil
		}
		last = err
	}
	return nil, last
}

// Borrow takes tokens of a fleet-wide limit from the instance at address. ctx
// bounds the call.
func (s *Service) Borrow(ctx context.Context, address, limit string, tokens uint32) (lent, left uint32, err error) {
	client, err := s.client(address)
	if err != nil {
		return 0, 0, err
	}
	reply, err := client.Borrow(ctx, &peerpb.BorrowRequest{Limit: limit, Tokens: tokens})
	return reply.GetTokens(), reply.GetLeft(), err
}

// FetchState fetches the full state from the instance at address.
func (s *Service) FetchState(ctx context.Context, address string) (*peerpb.StateReply, error) {
	client, err := s.client(address)
	if err != nil {
		return nil, err
	}
	call, cancel := context.WithTimeout(ctx, AnnounceTimeout)
	defer cancel()
	return client.State(call, &peerpb.StateRequest{})
}

// AskShares asks the instance with the name for parts of the zone's shares. It
// returns *NoPeerError when the directory does not have the instance.
func (s *Service) AskShares(ctx context.Context, instance string, r *peerpb.SharesRequest) (*peerpb.SharesReply, error) {
	for _, in := range s.directory.Instances() {
		if in.Name != instance {
			continue
		}
		client, err := s.client(in.Address)
		if err != nil {
			return nil, err
		}
		return client.AskShares(ctx, r)
	}
	return nil, &NoPeerError{}
}

// NoPeerError reports that no other instance is known.
type NoPeerError struct{}

func (e *NoPeerError) Error() string { return "no peer is known" }
