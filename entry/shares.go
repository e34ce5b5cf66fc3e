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
	if short && !addNames(r, zone.LimitNames()) {
		return &peerpb.SharesReply{NamesNeeded: true}, nil
	}
	batch, err := zone.GrantShares(askFromProto(r))
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
func (l *limiter) askKeeper(ctx context.Context, instance string, b limits.ShareRequestBatch) (limits.ShareGrantBatch, error) {
	if err := l.running.Err(); err != nil {
		return limits.ShareGrantBatch{}, err
	}
	request := askToProto(b)
	removeAskNames(request)
	reply, err := l.peers.AskShares(ctx, instance, request)
	if err == nil && reply.GetNamesNeeded() {
		// The configurations differ for a few seconds after each publish.
		reply, err = l.peers.AskShares(ctx, instance, askToProto(b))
	}
	if err != nil {
		return limits.ShareGrantBatch{}, err
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
func addGrantNames(r *peerpb.SharesReply, b limits.ShareRequestBatch) {
	if len(r.Grants) != len(b.Requests) {
		return
	}
	for i, g := range r.Grants {
		if g.Limit == "" {
			g.Limit = b.Requests[i].LimitName
		}
	}
}

func askToProto(b limits.ShareRequestBatch) *peerpb.SharesRequest {
	r := &peerpb.SharesRequest{Member: b.MemberID, Keeper: b.AllocatorID, Leaving: b.Leaving}
	for _, a := range b.Requests {
		r.Asks = append(r.Asks, &peerpb.ShareAsk{Limit: a.LimitName, Demand: uint64(a.Demand), Applied: a.AppliedSeq})
	}
	return r
}

func askFromProto(r *peerpb.SharesRequest) limits.ShareRequestBatch {
	b := limits.ShareRequestBatch{MemberID: r.GetMember(), AllocatorID: r.GetKeeper(), Leaving: r.GetLeaving()}
	for _, a := range r.GetAsks() {
		b.Requests = append(b.Requests, limits.NamedShareRequest{LimitName: a.GetLimit(), Demand: limits.MicroRequests(a.GetDemand()), AppliedSeq: a.GetApplied()})
	}
	return b
}

func grantsToProto(b limits.ShareGrantBatch) *peerpb.SharesReply {
	r := &peerpb.SharesReply{Keeper: b.AllocatorID}
	for _, g := range b.Grants {
		r.Grants = append(r.Grants, &peerpb.ShareGrant{
			Limit: g.LimitName, Number: g.Seq,
			FloorRate: uint64(g.Floor.Rate), FloorBurst: uint64(g.Floor.Burst),
			LeaseRate: uint64(g.Lease.Rate), LeaseBurst: uint64(g.Lease.Burst),
			// Rounding down never lets a grant outlast the zone's share.
			FloorTermMs: uint32(g.FloorTerm.Milliseconds()), LeaseTermMs: uint32(g.LeaseTerm.Milliseconds()),
		})
	}
	return r
}

func grantsFromProto(r *peerpb.SharesReply) limits.ShareGrantBatch {
	b := limits.ShareGrantBatch{AllocatorID: r.GetKeeper()}
	for _, g := range r.GetGrants() {
		b.Grants = append(b.Grants, limits.NamedShareGrant{LimitName: g.GetLimit(), ShareGrant: limits.ShareGrant{
			Seq:       g.GetNumber(),
			Floor:     limits.Share{Rate: limits.MicroRequests(g.GetFloorRate()), Burst: limits.MicroRequests(g.GetFloorBurst())},
			Lease:     limits.Share{Rate: limits.MicroRequests(g.GetLeaseRate()), Burst: limits.MicroRequests(g.GetLeaseBurst())},
			FloorTerm: time.Duration(g.GetFloorTermMs()) * time.Millisecond,
			LeaseTerm: time.Duration(g.GetLeaseTermMs()) * time.Millisecond,
		}})
	}
	return b
}
