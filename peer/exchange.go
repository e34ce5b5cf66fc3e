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

// reconnectBackoff limits the delay between connection attempts to a peer, so that after its
// restart it is reached again within the staleness bound of keys.
var reconnectBackoff = backoff.Config{
	BaseDelay:  100 * time.Millisecond,
	Multiplier: 1.6,
	Jitter:     0.2,
	MaxDelay:   2 * time.Second,
}

// runRounds runs an exchange round every ExchangeInterval, with up to 10% added at random, until
// ctx ends.
func (s *Service) runRounds(ctx context.Context) {
	for {
		s.exchangeRound(ctx)
		wait := ExchangeInterval + time.Duration(rand.Int64N(int64(ExchangeInterval/10)))
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

// exchangeRound exchanges digests with the peers selected for the next round.
func (s *Service) exchangeRound(ctx context.Context) {
	instances := s.directory.Instances()
	s.closeUnusedConns(instances)
	round := s.nextRound()
	zone, remote := splitByZone(instances, s.zone)
	var calls sync.WaitGroup
	for _, in := range selectForRound(zone, round, ZoneFanout) {
		calls.Go(func() { s.exchangeWith(ctx, in) })
	}
	for _, in := range selectForRound(remote, round, remoteFanout(len(instances))) {
		calls.Go(func() { s.exchangeWith(ctx, in) })
	}
	calls.Wait()
}

// remoteFanout returns the number of instances of other zones to contact in a round, given
// the number of all other instances.
func remoteFanout(instances int) int {
	if instances <= FullFanoutMaxPeers {
		return instances
	}
	return 1
}

func (s *Service) nextRound() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roundCount++
	return s.roundCount
}

func (s *Service) exchangeWith(ctx context.Context, in Instance) {
	call, cancel := context.WithTimeout(ctx, ExchangeTimeout)
	defer cancel()
	client, err := s.client(in.Address)
	if err != nil {
		s.recordExchangeResult(in, err)
		return
	}
	sent := time.Now()
	reply, err := client.Exchange(call, s.handler.Digest(Recipient{Name: in.Name, Zone: in.Zone}))
	s.recordExchangeResult(in, err)
	if err != nil {
		return
	}
	s.handler.MergeReply(ctx, reply, time.Since(sent))
}

// recordExchangeResult logs when exchanges with a peer start to fail, for example because of
// its certificate, and when they succeed again.
func (s *Service) recordExchangeResult(in Instance, err error) {
	s.mu.Lock()
	wasFailing := s.failingPeers[in.Name]
	if err != nil {
		s.failingPeers[in.Name] = true
	} else {
		delete(s.failingPeers, in.Name)
	}
	s.mu.Unlock()
	switch {
	case err != nil && !wasFailing:
		s.log.Warn("exchanging digests with a peer failed; further failures are not logged until it succeeds", "peer", in.Name, "address", in.Address, "error", err)
	case err == nil && wasFailing:
		s.log.Info("exchanging digests with a peer succeeded again", "peer", in.Name)
	}
}

// splitByZone separates the instances of a zone from the others and puts both lists into an
// order that depends only on names and zones. The other instances are taken from their zones
// in turn, so that consecutive ones are in different zones as far as possible.
func splitByZone(instances []Instance, zone string) (inZone, remote []Instance) {
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

// selectForRound returns count instances, starting after those of the previous round. It
// returns all of them if there are no more than count.
func selectForRound(instances []Instance, round, count int) []Instance {
	if len(instances) <= count {
		return instances
	}
	chosen := make([]Instance, count)
	for i := range chosen {
		chosen[i] = instances[(round*count+i)%len(instances)]
	}
	return chosen
}

// Announce sends an announcement to every other instance: directly to those of this zone,
// and to one instance of each other zone, which forwards it to the rest of its zone. It
// returns the confirmations, ordered by instance name.
func (s *Service) Announce(ctx context.Context, a *peerpb.Announcement) []*peerpb.Confirmation {
	zone, remote := splitByZone(s.directory.Instances(), s.zone)
	results := make(chan []*peerpb.Confirmation)
	var calls sync.WaitGroup
	for _, in := range zone {
		calls.Go(func() { results <- s.announceTo(ctx, in, a, 0) })
	}
	for _, members := range groupByZone(remote) {
		calls.Go(func() { results <- s.announceToZone(ctx, members, a) })
	}
	go func() {
		calls.Wait()
		close(results)
	}()
	var confirmed []*peerpb.Confirmation
	for confirmations := range results {
		confirmed = append(confirmed, confirmations...)
	}
	sort.Slice(confirmed, func(i, j int) bool { return confirmed[i].GetName() < confirmed[j].GetName() })
	return confirmed
}

// announceInZone sends an announcement to the other instances of this zone.
func (s *Service) announceInZone(ctx context.Context, a *peerpb.Announcement) []*peerpb.Confirmation {
	zone, _ := splitByZone(s.directory.Instances(), s.zone)
	results := make(chan []*peerpb.Confirmation, len(zone))
	for _, in := range zone {
		go func() { results <- s.announceTo(ctx, in, a, 0) }()
	}
	var confirmed []*peerpb.Confirmation
	for range zone {
		confirmed = append(confirmed, <-results...)
	}
	return confirmed
}

// announceToZone sends an announcement to the instances of another zone, one after the other,
// until one returns a confirmation. It tries up to maxZoneAttempts instances.
func (s *Service) announceToZone(ctx context.Context, members []Instance, a *peerpb.Announcement) []*peerpb.Confirmation {
	for i, in := range members {
		if i == maxZoneAttempts {
			break
		}
		if confirmed := s.announceTo(ctx, in, a, 1); len(confirmed) > 0 {
			return confirmed
		}
	}
	return nil
}

func (s *Service) announceTo(ctx context.Context, in Instance, a *peerpb.Announcement, hops uint32) []*peerpb.Confirmation {
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
		s.log.Warn("sending an announcement to a peer failed", "peer", in.Name, "error", err)
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

// FetchSection fetches the configuration section with the given SHA-256 hash. It asks the
// peers one after the other, those of this zone first, and returns the last error if none
// has the section.
func (s *Service) FetchSection(ctx context.Context, sha256 []byte) ([]byte, error) {
	zone, remote := splitByZone(s.directory.Instances(), s.zone)
	var lastErr error = &NoPeerError{}
	for _, in := range append(zone, remote...) {
		client, err := s.client(in.Address)
		if err != nil {
			lastErr = err
			continue
		}
		call, cancel := context.WithTimeout(ctx, AnnounceTimeout)
		reply, err := client.FetchSection(call, &peerpb.FetchSectionRequest{Sha256: sha256})
		cancel()
		if err == nil {
			return reply.GetData(), nil
		}
		lastErr = err
	}
	return nil, lastErr
}

// Borrow borrows up to tokens of a fleet-wide limit from the instance at address. remaining is
// what the lender has left. The call has no timeout of its own, only that of ctx.
func (s *Service) Borrow(ctx context.Context, address, limit string, tokens uint32) (lent, remaining uint32, err error) {
	client, err := s.client(address)
	if err != nil {
		return 0, 0, err
	}
	reply, err := client.Borrow(ctx, &peerpb.BorrowRequest{Limit: limit, Tokens: tokens})
	return reply.GetTokens(), reply.GetLeft(), err
}

// FetchState fetches the full state of the instance at address, see Handler.State.
func (s *Service) FetchState(ctx context.Context, address string) (*peerpb.StateReply, error) {
	client, err := s.client(address)
	if err != nil {
		return nil, err
	}
	call, cancel := context.WithTimeout(ctx, AnnounceTimeout)
	defer cancel()
	return client.State(call, &peerpb.StateRequest{})
}

// AskShares sends a share request to the named instance, the zone's allocator, and returns
// its share grants. It returns *NoPeerError if the directory does not list the instance. The
// call has no timeout of its own, only that of ctx.
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

// NoPeerError reports that the directory lists no other instance, or not the requested one.
type NoPeerError struct{}

func (e *NoPeerError) Error() string { return "the instance directory lists no peer to ask" }
