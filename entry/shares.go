package entry

import (
	"context"
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
	batch, err := zone.Answer(askFromProto(r))
	if err != nil {
		return nil, err
	}
	return grantsToProto(batch), nil
}

// askKeeper sends a batch to an instance of the zone. It fails at once when this
// instance stops, because the peer service has stopped before.
func (l *limiter) askKeeper(ctx context.Context, instance string, b limits.AskBatch) (limits.GrantBatch, error) {
	if err := l.running.Err(); err != nil {
		return limits.GrantBatch{}, err
	}
	reply, err := l.peers.AskShares(ctx, instance, askToProto(b))
	if err != nil {
		return limits.GrantBatch{}, err
	}
	return grantsFromProto(reply), nil
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
