package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/limits"
)

// Share requests and grants keep all their fields when they are converted to messages
// between instances and back.
func TestShareMessagesRoundTrip(t *testing.T) {
	requests := limits.ShareRequestBatch{MemberID: "a/1", AllocatorID: "b/2", Leaving: true, Requests: []limits.NamedShareRequest{
		{LimitName: "x", Demand: 7, AppliedSeq: 3}, {LimitName: "y"},
	}}
	must.Eq(t, requests, shareRequestFromProto(shareRequestToProto(requests)))
	grants := limits.ShareGrantBatch{AllocatorID: "b/2", Grants: []limits.NamedShareGrant{{LimitName: "x", ShareGrant: limits.ShareGrant{
		Seq: 9, Floor: limits.Share{Rate: 1, Burst: 2}, Lease: limits.Share{Rate: 3, Burst: 4},
		FloorTerm: 5 * time.Millisecond, LeaseTerm: 6 * time.Millisecond,
	}}}}
	must.Eq(t, grants, shareGrantsFromProto(shareGrantsToProto(grants)))
}

// Limit names that a message omits are restored only if the receiver has the same
// ordered list of limits as the sender. Otherwise, while two instances have different
// configurations, the grant of one limit could be taken for that of another.
func TestLimitNamesAreOmittedOnlyForEqualLists(t *testing.T) {
	batch := limits.ShareRequestBatch{MemberID: "a/1", Requests: []limits.NamedShareRequest{{LimitName: "x", Demand: 7}, {LimitName: "y", AppliedSeq: 2}}}
	for _, otherNames := range [][]string{{"x"}, {"x", "z"}, {"y", "x"}, {"x", "y", "z"}, nil} {
		request := shareRequestToProto(batch)
		omitRequestNames(request)
		must.False(t, restoreRequestNames(request, otherNames), must.Sprintf("%v", otherNames))
	}
	request := shareRequestToProto(batch)
	omitRequestNames(request)
	must.Eq(t, "", request.Asks[1].Limit)
	must.True(t, restoreRequestNames(request, []string{"x", "y"}))
	must.Eq(t, batch, shareRequestFromProto(request))

	grants := limits.ShareGrantBatch{AllocatorID: "b/2", Grants: []limits.NamedShareGrant{{LimitName: "x"}, {LimitName: "y"}}}
	reply := shareGrantsToProto(grants)
	omitGrantNames(reply)
	must.Eq(t, "", reply.Grants[1].Limit)
	restoreGrantNames(reply, batch)
	must.Eq(t, grants, shareGrantsFromProto(reply))
}
