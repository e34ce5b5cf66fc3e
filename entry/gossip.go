package entry

import (
	"context"
	"log/slog"
	"time"

	"github.com/jacinthrack/jacinthrack/balancer"
	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/configstore"
	"github.com/jacinthrack/jacinthrack/kernel"
	"github.com/jacinthrack/jacinthrack/keys"
	"github.com/jacinthrack/jacinthrack/peer"
	"github.com/jacinthrack/jacinthrack/peer/peerpb"
	"github.com/jacinthrack/jacinthrack/tablestore"
)

// gossipServiceName is the service's name in the kernel's service registry.
const gossipServiceName = "gossip"

// keyCatchUpTimeout bounds the merge of a peer's key data, with the fetch of the
// instance list and of newer key records.
const keyCatchUpTimeout = 3 * time.Second

// gossipService builds this instance's digests from the state of the other services
// and merges the digests and announcements of peers into them. It implements
// peer.Handler.
type gossipService struct {
	kernel.Base
	membership *membershipService
	config     *configService
	keys       *keyService
	balancer   *balancer.Balancer
	limiter    *limitService
	peers      *peer.Service
	log        *slog.Logger
}

// Name implements kernel.Service.
func (g *gossipService) Name() string { return gossipServiceName }

// Requires implements kernel.Service.
func (g *gossipService) Requires() []string {
	return []string{membershipServiceName, configServiceName, keyServiceName, limitServiceName, balancer.ServiceName}
}

// Provision implements kernel.Service.
func (g *gossipService) Provision(r kernel.Resolver) error {
	f := &serviceFinder{resolver: r}
	g.membership = findService[*membershipService](f, membershipServiceName)
	g.config = findService[*configService](f, configServiceName)
	g.keys = findService[*keyService](f, keyServiceName)
	g.limiter = findService[*limitService](f, limitServiceName)
	g.balancer = findService[*balancer.Balancer](f, balancer.ServiceName)
	// The peer service requires this one, to which it delegates, and is provisioned
	// later. It is therefore not in Requires.
	g.peers = findService[*peer.Service](f, peer.ServiceName)
	return f.err
}

// Digest implements peer.Handler.
func (g *gossipService) Digest(to peer.Recipient) *peerpb.Digest {
	now := time.Now()
	keyDigest := g.keys.Digest()
	d := &peerpb.Digest{
		Sender:             g.membership.sender(),
		Config:             g.configVersion(),
		KeyGeneration:      keyDigest.Generation,
		PendingWithdrawals: withdrawalsToProto(keyDigest.PendingWithdrawals),
		Quarantined:        g.balancer.SuspectReports(now),
	}
	sameRegion := g.balancer.InOwnRegion(to.Zone)
	if sameRegion {
		d.Servers = g.balancer.ServerLoads(now)
	} else {
		d.Wants = g.balancer.ReservationDemand(now)
	}
	if !to.IsReply {
		return d
	}
	if to.Zone == g.membership.self.Zone {
		d.Sightings = g.membership.directSightings()
	}
	d.Complete = keyDigest.Complete
	d.Zones = zoneSummariesToProto(keyDigest.ZoneSummaries)
	if keyDigest.PlatformKnown {
		ageMs := uint32(keyDigest.PlatformAge.Milliseconds()) + 1
		d.PlatformAgeMs = &ageMs
	}
	if !sameRegion {
		d.Reservations = g.balancer.Reservations(to.Name, now)
	}
	return d
}

func (g *gossipService) configVersion() *peerpb.ConfigVersion {
	generation, manifest := g.config.Version()
	return &peerpb.ConfigVersion{Generation: generation, ManifestSha256: manifest[:]}
}

// MergeReply implements peer.Handler.
func (g *gossipService) MergeReply(ctx context.Context, d *peerpb.Digest, roundTrip time.Duration) {
	received := time.Now()
	g.mergeDelayTolerant(ctx, d, roundTrip)
	for _, s := range d.GetSightings() {
		g.membership.mergeSighting(s.GetInstance(), time.Duration(s.GetAgeMs())*time.Millisecond+roundTrip)
	}
	g.balancer.MergeReservations(d.GetSender().GetName(), d.GetSender().GetZone(), d.GetReservations(), roundTrip, received)
	g.mergeKeyDigest(ctx, d, received.Add(-roundTrip))
}

// MergeRequest implements peer.Handler.
func (g *gossipService) MergeRequest(d *peerpb.Digest) {
	g.keys.ApplyWithdrawals(withdrawalsFromProto(d.GetPendingWithdrawals()))
	g.mergeDelayTolerant(context.Background(), d, 0)
}

// mergeDelayTolerant merges the parts of a digest that lead to no wrong decision even
// if the message was delayed for any time. delay is an upper bound of the delay of a
// reply, and 0 for a request, whose delay is unknown.
func (g *gossipService) mergeDelayTolerant(ctx context.Context, d *peerpb.Digest, delay time.Duration) {
	now := time.Now()
	g.membership.mergeSighting(d.GetSender(), 0)
	g.balancer.MergeSuspectReports(d.GetQuarantined(), delay, now)
	if g.balancer.InOwnRegion(d.GetSender().GetZone()) {
		g.balancer.MergeServerLoads(d.GetSender().GetName(), d.GetServers(), delay, now)
	}
	g.balancer.MergeReservationDemand(d.GetSender().GetName(), d.GetWants(), now)
	g.offerConfig(ctx, d.GetSender().GetName(), d.GetConfig())
}

// mergeKeyDigest merges the sender's key data and records it for the staleness rule.
// It first fetches the instance list if this instance has none, and newer key records
// if the sender has some. asOf is the time at which the exchange started.
func (g *gossipService) mergeKeyDigest(ctx context.Context, d *peerpb.Digest, asOf time.Time) {
	ctx, cancel := context.WithTimeout(ctx, keyCatchUpTimeout)
	defer cancel()
	if !g.membership.hasInstanceList() {
		g.adoptPeerList(ctx, d.GetSender())
	}
	digest := keys.Digest{
		Name:               d.GetSender().GetName(),
		Zone:               d.GetSender().GetZone(),
		BootID:             d.GetSender().GetBootId(),
		Generation:         d.GetKeyGeneration(),
		Complete:           d.GetComplete(),
		PlatformKnown:      d.PlatformAgeMs != nil,
		PlatformAge:        time.Duration(d.GetPlatformAgeMs()) * time.Millisecond,
		ZoneSummaries:      zoneSummariesFromProto(d.GetZones()),
		PendingWithdrawals: withdrawalsFromProto(d.GetPendingWithdrawals()),
	}
	err := g.keys.SyncWithPeer(ctx, digest, asOf, func(ctx context.Context) (keys.State, error) {
		reply, err := g.peers.FetchState(ctx, d.GetSender().GetPeerAddress())
		return keyStateFromProto(reply), err
	})
	if err != nil {
		g.log.Warn("fetching newer key records of a peer failed", "peer", digest.Name, "error", err)
	}
}

// adoptPeerList fetches the list of entry instances from a peer. An instance needs it
// when it starts while the platform is down.
func (g *gossipService) adoptPeerList(ctx context.Context, from *peerpb.Sender) {
	reply, err := g.peers.FetchState(ctx, from.GetPeerAddress())
	if err != nil {
		g.log.Warn("fetching the instance list of a peer failed", "peer", from.GetName(), "error", err)
		return
	}
	var list []tablestore.Instance
	for _, in := range reply.GetListed() {
		list = append(list, tablestore.Instance{Name: in.GetName(), Zone: in.GetZone(), State: tablestore.InstanceLive})
	}
	g.membership.setPeerList(list)
	g.keys.updateListedInstances()
}

// offerConfig puts the configuration of a peer in force if it is newer than the one in
// force here. The sections that are missing here are fetched from peers.
func (g *gossipService) offerConfig(ctx context.Context, source string, version *peerpb.ConfigVersion) {
	generation, _ := g.config.Version()
	if version.GetGeneration() <= generation {
		return
	}
	manifest, ok := hashFromBytes(version.GetManifestSha256())
	if !ok {
		return
	}
	err := g.config.ApplyIfNewer(ctx, configstore.Candidate{
		Generation:   version.GetGeneration(),
		ManifestHash: manifest,
		Source:       source,
		FetchSection: func(ctx context.Context, h config.Hash) ([]byte, error) {
			return g.peers.FetchSection(ctx, h[:])
		},
	})
	if err != nil {
		g.log.Warn("applying the newer configuration of a peer failed", "peer", source, "generation", version.GetGeneration(), "error", err)
	}
}

// HandleAnnouncement implements peer.Handler. It returns nil, which confirms nothing, if this
// instance could not apply the announced keys or configuration.
func (g *gossipService) HandleAnnouncement(ctx context.Context, a *peerpb.Announcement) *peerpb.Confirmation {
	g.keys.ApplyWithdrawals(withdrawalsFromProto(a.GetWithdrawals()))
	g.balancer.MergeSuspectReports(a.GetQuarantined(), 0, time.Now())
	if a.GetKeyGeneration() > g.keys.KeySet().Generation() {
		if err := g.keys.Poll(ctx); err != nil {
			g.log.Warn("reading newly granted keys after an announcement failed; announcement not confirmed", "peer", a.GetSender().GetName(), "error", err)
			return nil
		}
	}
	if announced := a.GetConfig().GetGeneration(); announced > 0 {
		g.offerConfig(ctx, a.GetSender().GetName(), a.GetConfig())
		generation, _ := g.config.Version()
		if generation < announced {
			return nil
		}
	}
	return g.newConfirmation()
}

// announceSuspectRequests immediately sends every instance the fingerprints of requests
// that were in flight at a backend server when it crashed. If they were sent only with
// the next digest, a caller that repeats such a request could crash a server through
// each instance.
func (g *gossipService) announceSuspectRequests() {
	ctx, cancel := context.WithTimeout(context.Background(), peer.AnnounceTimeout)
	defer cancel()
	g.peers.Announce(ctx, &peerpb.Announcement{
		Sender:      g.membership.sender(),
		Quarantined: g.balancer.SuspectReports(time.Now()),
	})
}

func (g *gossipService) newConfirmation() *peerpb.Confirmation {
	return &peerpb.Confirmation{Name: g.membership.self.Name, BootId: g.membership.self.BootID}
}

// Section implements peer.Handler.
func (g *gossipService) Section(sha256 []byte) ([]byte, bool) {
	hash, ok := hashFromBytes(sha256)
	if !ok {
		return nil, false
	}
	data, err := g.config.Section(hash)
	return data, err == nil
}

// Lend implements peer.Handler.
func (g *gossipService) Lend(limit string, tokens uint32) (lent, left uint32) {
	lentTokens, leftTokens := g.limiter.Lend(limit, float64(tokens), time.Now())
	return uint32(lentTokens), uint32(leftTokens)
}

// State implements peer.Handler.
func (g *gossipService) State() *peerpb.StateReply {
	reply := keyStateToProto(g.keys.Export())
	if !g.membership.hasInstanceList() {
		return reply
	}
	for _, in := range g.membership.listedInstances() {
		reply.Listed = append(reply.Listed, &peerpb.ListedInstance{Name: in.Name, Zone: in.Zone})
	}
	return reply
}

// hashFromBytes returns sha256 as a hash, and false if its length is wrong.
func hashFromBytes(sha256 []byte) (config.Hash, bool) {
	var hash config.Hash
	if len(sha256) != len(hash) {
		return hash, false
	}
	copy(hash[:], sha256)
	return hash, true
}

func zoneSummariesToProto(list []keys.ZoneSummary) []*peerpb.ZoneSummary {
	out := make([]*peerpb.ZoneSummary, 0, len(list))
	for _, z := range list {
		// The age is rounded up, so that the key data never appears fresher than it is.
		out = append(out, &peerpb.ZoneSummary{Zone: z.Zone, Heard: uint32(z.InstanceCount), AgeMs: uint32(z.MaxDigestAge.Milliseconds()) + 1})
	}
	return out
}

func zoneSummariesFromProto(list []*peerpb.ZoneSummary) []keys.ZoneSummary {
	out := make([]keys.ZoneSummary, 0, len(list))
	for _, z := range list {
		out = append(out, keys.ZoneSummary{Zone: z.GetZone(), InstanceCount: int(z.GetHeard()), MaxDigestAge: time.Duration(z.GetAgeMs()) * time.Millisecond})
	}
	return out
}
