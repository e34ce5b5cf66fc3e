package entry

import (
	"context"
	"hash/fnv"
	"io"
	"time"

	"github.com/jacinthrack/jacinthrack/limits"
	"github.com/jacinthrack/jacinthrack/peer/peerpb"
)

// GrantShares implements peer.ShareAllocator: it answers the share request of an instance
// of the zone. It returns *limits.NotAllocatorError in the direct mode, in which instances
// take their shares from the ledgers themselves. The request and the reply can omit the
// limit names, see omitRequestNames.
func (l *limitService) GrantShares(r *peerpb.SharesRequest) (*peerpb.SharesReply, error) {
	zone, ok := l.Current().(*limits.ZoneManager)
	if !ok {
		return nil, &limits.NotAllocatorError{}
	}
	namesOmitted := r.GetNamesHash() != 0
	if namesOmitted && !restoreRequestNames(r, zone.LimitNames()) {
		return &peerpb.SharesReply{NamesNeeded: true}, nil
	}
	batch, err := zone.GrantShares(shareRequestFromProto(r))
	if err != nil {
		return nil, err
	}
	reply := shareGrantsToProto(batch)
	if len(batch.Grants) == len(r.GetAsks()) && namesOmitted {
		omitGrantNames(reply)
	}
	return reply, nil
}

// requestShares sends a batch of share requests to the zone's allocator. It fails
// immediately when this instance stops, because the peer service has then stopped
// already.
func (l *limitService) requestShares(ctx context.Context, instance string, b limits.ShareRequestBatch) (limits.ShareGrantBatch, error) {
	if err := l.runCtx.Err(); err != nil {
		return limits.ShareGrantBatch{}, err
	}
	request := shareRequestToProto(b)
	omitRequestNames(request)
	reply, err := l.peers.AskShares(ctx, instance, request)
	if err == nil && reply.GetNamesNeeded() {
		// The configurations of the two instances can differ for a few seconds after
		// each publish.
		reply, err = l.peers.AskShares(ctx, instance, shareRequestToProto(b))
	}
	if err != nil {
		return limits.ShareGrantBatch{}, err
	}
	restoreGrantNames(reply, b)
	return shareGrantsFromProto(reply), nil
}

// hashLimitNames returns a hash of an ordered list of names. It is never 0, which
// stands for a request that contains the names.
func hashLimitNames(names []string) uint64 {
	h := fnv.New64a()
	for _, name := range names {
		_, _ = io.WriteString(h, name) // never fails
		_, _ = h.Write([]byte{0})
	}
	return max(1, h.Sum64())
}

// omitRequestNames replaces the limit names of a request by a hash over all of them,
// to shorten the message. A receiver with the same configuration restores the names
// from its own list of limits.
func omitRequestNames(r *peerpb.SharesRequest) {
	names := make([]string, len(r.Asks))
	for i, a := range r.Asks {
		names[i] = a.Limit
		a.Limit = ""
	}
	r.NamesHash = hashLimitNames(names)
}

// restoreRequestNames sets the limit names of a request that omits them. It returns
// false and changes nothing when names is not the list of the sender.
func restoreRequestNames(r *peerpb.SharesRequest, names []string) bool {
	if len(r.Asks) != len(names) || r.NamesHash != hashLimitNames(names) {
		return false
	}
	for i, name := range names {
		r.Asks[i].Limit = name
	}
	return true
}

// omitGrantNames removes the limit names from a reply that has a grant for each share
// request, in the same order.
func omitGrantNames(r *peerpb.SharesReply) {
	for _, g := range r.Grants {
		g.Limit = ""
	}
}

// restoreGrantNames sets the limit names of a reply that omits them, in the order of
// the share requests of b. A reply with another number of grants contains the names.
func restoreGrantNames(r *peerpb.SharesReply, b limits.ShareRequestBatch) {
	if len(r.Grants) != len(b.Requests) {
		return
	}
	for i, g := range r.Grants {
		if g.Limit == "" {
			g.Limit = b.Requests[i].LimitName
		}
	}
}

func shareRequestToProto(b limits.ShareRequestBatch) *peerpb.SharesRequest {
	r := &peerpb.SharesRequest{Member: b.MemberID, Keeper: b.AllocatorID, Leaving: b.Leaving}
	for _, a := range b.Requests {
		r.Asks = append(r.Asks, &peerpb.ShareAsk{Limit: a.LimitName, Demand: uint64(a.Demand), Applied: a.AppliedSeq})
	}
	return r
}

func shareRequestFromProto(r *peerpb.SharesRequest) limits.ShareRequestBatch {
	b := limits.ShareRequestBatch{MemberID: r.GetMember(), AllocatorID: r.GetKeeper(), Leaving: r.GetLeaving()}
	for _, a := range r.GetAsks() {
		b.Requests = append(b.Requests, limits.NamedShareRequest{LimitName: a.GetLimit(), Demand: limits.MicroRequests(a.GetDemand()), AppliedSeq: a.GetApplied()})
	}
	return b
}

func shareGrantsToProto(b limits.ShareGrantBatch) *peerpb.SharesReply {
	r := &peerpb.SharesReply{Keeper: b.AllocatorID}
	for _, g := range b.Grants {
		r.Grants = append(r.Grants, &peerpb.ShareGrant{
			Limit: g.LimitName, Number: g.Seq,
			FloorRate: uint64(g.Floor.Rate), FloorBurst: uint64(g.Floor.Burst),
			LeaseRate: uint64(g.Lease.Rate), LeaseBurst: uint64(g.Lease.Burst),
			// Terms are rounded down, so that a grant never outlasts the zone's share.
			FloorTermMs: uint32(g.FloorTerm.Milliseconds()), LeaseTermMs: uint32(g.LeaseTerm.Milliseconds()),
		})
	}
	return r
}

func shareGrantsFromProto(r *peerpb.SharesReply) limits.ShareGrantBatch {
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
