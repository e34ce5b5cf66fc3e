package entry

import (
	"context"
	"hash/fnv"
	"io"
	"time"

	"github.com/jacinthrack/jacinthrack/limits"
	"github.com/jacinthrack/jacinthrack/peer/peerpb"
)

// GrantShares implements peer.SharesKeeper. It returns *limits.ClosedError while this
// instance holds shares of its own.
func (l *limiter) GrantShares(r *peerpb.SharesRequest) (*peerpb.SharesReply, error) {
	zone, ok := l.Current().(*limits.ZoneManager)
	if !ok {
		return nil, &limits.ClosedError{}
	}
	short := r.GetNamesHash() != 0
	if short && !addNames(r, zone.Names()) {
		return &peerpb.SharesReply{NamesNeeded: true}, nil
	}
	batch, err := zone.Answer(askFromProto(r))
	if err != nil {
		return nil, err
	}
	reply := grantsToProto(batch)
	if len(batch.Grants) == len(r.GetAsks()) && short {
		removeGrantNames(reply)
	}
	return reply, nil
}

// askKeeper sends a batch to an instance of the zone. It fails at once when this
// instance stops, because the peer service has stopped before.
func (l *limiter) askKeeper(ctx context.Context, instance string, b limits.AskBatch) (limits.GrantBatch, error) {
	if err := l.running.Err(); err != nil {
		return limits.GrantBatch{}, err
	}
	request := askToProto(b)
	removeAskNames(request)
	reply, err := l.peers.AskShares(ctx, instance, request)
	if err == nil && reply.GetNamesNeeded() {
		// The configurations differ for a few seconds after each publish.
		reply, err = l.peers.AskShares(ctx, instance, askToProto(b))
	}
	if err != nil {
		return limits.GrantBatch{}, err
	}
	addGrantNames(reply, b)
	return grantsFromProto(reply), nil
}

// hashNames returns a hash of an ordered list of names, which is never 0.
func hashNames(names []string) uint64 {
	h := fnv.New64a()
	for _, name := range names {
		_, _ = io.WriteString(h, name) // never fails
		_, _ = h.Write([]byte{0})
	}
	return max(1, h.Sum64())
}

func removeAskNames(r *peerpb.SharesRequest) {
	names := make([]string, len(r.Asks))
	for i, a := range r.Asks {
		names[i] = a.Limit
		a.Limit = ""
	}
	r.NamesHash = hashNames(names)
}

// addNames names the asks of a request without names. It returns false when the
// names are not those that the sender means.
func addNames(r *peerpb.SharesRequest, names []string) bool {
	if len(r.Asks) != len(names) || r.NamesHash != hashNames(names) {
		return false
	}
	for i, name := range names {
		r.Asks[i].Limit = name
	}
	return true
}

// removeGrantNames removes the names from a reply that has a grant for each ask.
func removeGrantNames(r *peerpb.SharesReply) {
	for _, g := range r.Grants {
		g.Limit = ""
	}
}

// addGrantNames names the grants of a reply without names.
func addGrantNames(r *peerpb.SharesReply, b limits.AskBatch) {
	if len(r.Grants) != len(b.Asks) {
		return
	}
	for i, g := range r.Grants {
		if g.Limit == "" {
			g.Limit = b.Asks[i].Name
		}
	}
}

func askToProto(b limits.AskBatch) *peerpb.SharesRequest {
	r := &peerpb.SharesRequest{Member: b.Member, Keeper: b.Keeper, Leaving: b.Leaving}
	for _, a := range b.Asks {
		r.Asks = append(r.Asks, &peerpb.ShareAsk{Limit: a.Name, Demand: uint64(a.Demand), Applied: a.Applied})
	}
	return r
}

func askFromProto(r *peerpb.SharesRequest) limits.AskBatch {
	b := limits.AskBatch{Member: r.GetMember(), Keeper: r.GetKeeper(), Leaving: r.GetLeaving()}
	for _, a := range r.GetAsks() {
		b.Asks = append(b.Asks, limits.NamedAsk{Name: a.GetLimit(), Demand: limits.Amount(a.GetDemand()), Applied: a.GetApplied()})
	}
	return b
}

func grantsToProto(b limits.GrantBatch) *peerpb.SharesReply {
	r := &peerpb.SharesReply{Keeper: b.Keeper}
	for _, g := range b.Grants {
		r.Grants = append(r.Grants, &peerpb.ShareGrant{
			Limit: g.Name, Number: g.Seq,
			FloorRate: uint64(g.Floor.Rate), FloorBurst: uint64(g.Floor.Burst),
			LeaseRate: uint64(g.Lease.Rate), LeaseBurst: uint64(g.Lease.Burst),
			// Rounding down never lets a grant outlast the zone's share.
			FloorTermMs: uint32(g.FloorTerm.Milliseconds()), LeaseTermMs: uint32(g.LeaseTerm.Milliseconds()),
		})
	}
	return r
}

func grantsFromProto(r *peerpb.SharesReply) limits.GrantBatch {
	b := limits.GrantBatch{Keeper: r.GetKeeper()}
	for _, g := range r.GetGrants() {
		b.Grants = append(b.Grants, limits.NamedGrant{Name: g.GetLimit(), Grant: limits.Grant{
			Seq:       g.GetNumber(),
			Floor:     limits.Share{Rate: limits.Amount(g.GetFloorRate()), Burst: limits.Amount(g.GetFloorBurst())},
			Lease:     limits.Share{Rate: limits.Amount(g.GetLeaseRate()), Burst: limits.Amount(g.GetLeaseBurst())},
			FloorTerm: time.Duration(g.GetFloorTermMs()) * time.Millisecond,
			LeaseTerm: time.Duration(g.GetLeaseTermMs()) * time.Millisecond,
		}})
	}
	return b
}
