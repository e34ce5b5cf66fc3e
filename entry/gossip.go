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

// gossipName is the name in the kernel registry.
const gossipName = "gossip"

// catchUpTimeout bounds the fetch of key records after a digest showed that a
// peer has newer ones.
const catchUpTimeout = 3 * time.Second

// gossip builds digests from what the services know and merges those of peers.
// It implements peer.Knowledge.
type gossip struct {
	kernel.Base
	members  *membership
	config   *configuration
	keys     *keyService
	balancer *balancer.Balancer
	limiter  *limiter
	peers    *peer.Service
	log      *slog.Logger
}

// Name implements kernel.Service.
func (g *gossip) Name() string { return gossipName }

// Requires implements kernel.Service.
func (g *gossip) Requires() []string {
	return []string{membershipName, configurationName, keysName, limitsName, balancer.ServiceName}
}

// Provision implements kernel.Service.
func (g *gossip) Provision(r kernel.Resolver) error {
	f := &finder{resolver: r}
	g.members = find[*membership](f, membershipName)
	g.config = find[*configuration](f, configurationName)
	g.keys = find[*keyService](f, keysName)
	g.limiter = find[*limiter](f, limitsName)
	g.balancer = find[*balancer.Balancer](f, balancer.ServiceName)
	// The peer service is provisioned later, since it carries these digests.
	g.peers = find[*peer.Service](f, peer.ServiceName)
	return f.err
}

// Digest implements peer.Knowledge.
func (g *gossip) Digest(to peer.Recipient) *peerpb.Digest {
	now := time.Now()
	known := g.keys.Digest()
	d := &peerpb.Digest{
		Sender:             g.members.sender(),
		Config:             g.configVersion(),
		KeyGeneration:      known.Generation,
		PendingWithdrawals: withdrawalsToProto(known.PendingWithdrawals),
		Quarantined:        g.balancer.SuspectReports(now),
	}
	sameRegion := g.balancer.InOwnRegion(to.Zone)
	if sameRegion {
		d.Servers = g.balancer.ServerLoads(now)
	} else {
		d.Wants = g.balancer.ReservationDemand(now)
	}
	if !to.Reply {
		return d
	}
	if to.Zone == g.members.self.Zone {
		d.Sightings = g.members.sightings()
	}
	d.Complete = known.Complete
	d.Zones = summariesToProto(known.ZoneSummaries)
	if known.PlatformKnown {
		age := uint32(known.PlatformAge.Milliseconds()) + 1
		d.PlatformAgeMs = &age
	}
	if !sameRegion {
		d.Reservations = g.balancer.Reservations(to.Name, now)
	}
	return d
}

func (g *gossip) configVersion() *peerpb.ConfigVersion {
	generation, manifest := g.config.Version()
	return &peerpb.ConfigVersion{Generation: generation, ManifestSha256: manifest[:]}
}

// MergeReply implements peer.Knowledge.
func (g *gossip) MergeReply(ctx context.Context, d *peerpb.Digest, roundTrip time.Duration) {
	received := time.Now()
	g.mergeCommon(ctx, d, roundTrip)
	for _, s := range d.GetSightings() {
		g.members.heard(s.GetInstance(), time.Duration(s.GetAgeMs())*time.Millisecond+roundTrip)
	}
	g.balancer.MergeReservations(d.GetSender().GetName(), d.GetSender().GetZone(), d.GetReservations(), roundTrip, received)
	g.mergeKeys(ctx, d, received.Add(-roundTrip))
}

// MergeRequest implements peer.Knowledge.
func (g *gossip) MergeRequest(d *peerpb.Digest) {
	g.keys.ApplyWithdrawals(withdrawalsFromProto(d.GetPendingWithdrawals()))
	g.mergeCommon(context.Background(), d, 0)
}

// mergeCommon merges what a late message cannot turn into a wrong decision.
func (g *gossip) mergeCommon(ctx context.Context, d *peerpb.Digest, delay time.Duration) {
	now := time.Now()
	g.members.heard(d.GetSender(), 0)
	g.balancer.MergeSuspectReports(d.GetQuarantined(), delay, now)
	if g.balancer.InOwnRegion(d.GetSender().GetZone()) {
		g.balancer.MergeServerLoads(d.GetSender().GetName(), d.GetServers(), delay, now)
	}
	g.balancer.MergeReservationDemand(d.GetSender().GetName(), d.GetWants(), now)
	g.offer(ctx, d.GetSender().GetName(), d.GetConfig())
}

// mergeKeys takes the sender's key data and counts it as heard.
func (g *gossip) mergeKeys(ctx context.Context, d *peerpb.Digest, asOf time.Time) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if !g.members.listKnown() {
		g.adoptList(ctx, d.GetSender())
	}
	digest := keys.Digest{
		Name:          d.GetSender().GetName(),
		Zone:          d.GetSender().GetZone(),
		BootID:          d.GetSender().GetBootId(),
		Generation:    d.GetKeyGeneration(),
		Complete:      d.GetComplete(),
		PlatformKnown: d.PlatformAgeMs != nil,
		PlatformAge:   time.Duration(d.GetPlatformAgeMs()) * time.Millisecond,
		ZoneSummaries:         summariesFromProto(d.GetZones()),
		PendingWithdrawals:       withdrawalsFromProto(d.GetPendingWithdrawals()),
	}
	err := g.keys.SyncWithPeer(ctx, digest, asOf, func(ctx context.Context) (keys.State, error) {
		reply, err := g.peers.FetchState(ctx, d.GetSender().GetPeerAddress())
		return stateFromProto(reply), err
	})
	if err != nil {
		g.log.Warn("key records were not fetched", "peer", digest.Name, "error", err)
	}
}

// adoptList takes the list of entry instances from a peer. A replacement does this
// when it starts while the platform is down.
func (g *gossip) adoptList(ctx context.Context, from *peerpb.Sender) {
	reply, err := g.peers.FetchState(ctx, from.GetPeerAddress())
	if err != nil {
		g.log.Warn("list of instances was not fetched", "peer", from.GetName(), "error", err)
		return
	}
	var list []tablestore.Instance
	for _, in := range reply.GetListed() {
		list = append(list, tablestore.Instance{Name: in.GetName(), Zone: in.GetZone(), State: tablestore.InstanceLive})
	}
	g.members.adopt(list)
	g.keys.updateListed()
}

// offer puts a newer configuration of a peer in force.
func (g *gossip) offer(ctx context.Context, source string, version *peerpb.ConfigVersion) {
	generation, _ := g.config.Version()
	if version.GetGeneration() <= generation {
		return
	}
	manifest, ok := hashOf(version.GetManifestSha256())
	if !ok {
		return
	}
	err := g.config.Offer(ctx, configstore.Offer{
		Generation: version.GetGeneration(),
		Manifest:   manifest,
		Source:     source,
		Fetch: func(ctx context.Context, h config.Hash) ([]byte, error) {
			return g.peers.FetchSection(ctx, h[:])
		},
	})
	if err != nil {
		g.log.Warn("configuration offer was not taken", "peer", source, "generation", version.GetGeneration(), "error", err)
	}
}

// Announced implements peer.Knowledge.
func (g *gossip) Announced(ctx context.Context, a *peerpb.Announcement) *peerpb.Confirmation {
	g.keys.ApplyWithdrawals(withdrawalsFromProto(a.GetWithdrawals()))
	g.balancer.MergeSuspectReports(a.GetQuarantined(), 0, time.Now())
	if a.GetKeyGeneration() > g.keys.KeySet().Generation() {
		if err := g.keys.Poll(ctx); err != nil {
			g.log.Warn("granted key is not known here yet", "peer", a.GetSender().GetName(), "error", err)
			return nil
		}
	}
	if wanted := a.GetConfig().GetGeneration(); wanted > 0 {
		g.offer(ctx, a.GetSender().GetName(), a.GetConfig())
		generation, _ := g.config.Version()
		if generation < wanted {
			return nil
		}
	}
	return g.confirmation()
}

// announceSuspects tells every instance at once about requests that were in
// progress when a server died. Waiting for the next digest would let a caller
// that sends such a request again crash a server at each instance.
func (g *gossip) announceSuspects() {
	ctx, cancel := context.WithTimeout(context.Background(), peer.AnnounceTimeout)
	defer cancel()
	g.peers.Announce(ctx, &peerpb.Announcement{
		Sender:      g.members.sender(),
		Quarantined: g.balancer.SuspectReports(time.Now()),
	})
}

func (g *gossip) confirmation() *peerpb.Confirmation {
	return &peerpb.Confirmation{Name: g.members.self.Name, BootId: g.members.self.BootID}
}

// Section implements peer.Knowledge.
func (g *gossip) Section(sha256 []byte) ([]byte, bool) {
	hash, ok := hashOf(sha256)
	if !ok {
		return nil, false
	}
	data, err := g.config.Section(hash)
	return data, err == nil
}

// Lend implements peer.Knowledge.
func (g *gossip) Lend(limit string, tokens uint32) (lent, left uint32) {
	taken, rest := g.limiter.Lend(limit, float64(tokens), time.Now())
	return uint32(taken), uint32(rest)
}

// State implements peer.Knowledge.
func (g *gossip) State() *peerpb.StateReply {
	reply := stateToProto(g.keys.Export())
	if !g.members.listKnown() {
		return reply
	}
	for _, in := range g.members.listed() {
		reply.Listed = append(reply.Listed, &peerpb.ListedInstance{Name: in.Name, Zone: in.Zone})
	}
	return reply
}

func hashOf(sha256 []byte) (config.Hash, bool) {
	var hash config.Hash
	if len(sha256) != len(hash) {
		return hash, false
	}
	copy(hash[:], sha256)
	return hash, true
}

func summariesToProto(list []keys.ZoneSummary) []*peerpb.ZoneSummary {
	out := make([]*peerpb.ZoneSummary, 0, len(list))
	for _, z := range list {
		// Rounding up never makes knowledge look fresher than it is.
		out = append(out, &peerpb.ZoneSummary{Zone: z.Zone, Heard: uint32(z.InstanceCount), AgeMs: uint32(z.MaxDigestAge.Milliseconds()) + 1})
	}
	return out
}

func summariesFromProto(list []*peerpb.ZoneSummary) []keys.ZoneSummary {
	out := make([]keys.ZoneSummary, 0, len(list))
	for _, z := range list {
		out = append(out, keys.ZoneSummary{Zone: z.GetZone(), InstanceCount: int(z.GetHeard()), MaxDigestAge: time.Duration(z.GetAgeMs()) * time.Millisecond})
	}
	return out
}
