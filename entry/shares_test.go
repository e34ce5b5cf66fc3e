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
	requests := limits.AskBatch{Member: "a/1", Keeper: "b/2", Leaving: true, Asks: []limits.NamedAsk{
		{Name: "x", Demand: 7, Applied: 3}, {Name: "y"},
	}}
	must.Eq(t, requests, shareRequestFromProto(shareRequestToProto(requests)))
	grants := limits.GrantBatch{Keeper: "b/2", Grants: []limits.NamedGrant{{Name: "x", Grant: limits.Grant{
		Seq: 9, Floor: limits.Share{Rate: 1, Burst: 2}, Lease: limits.Share{Rate: 3, Burst: 4},
		FloorTerm: 5 * time.Millisecond, LeaseTerm: 6 * time.Millisecond,
	}}}}
	must.Eq(t, grants, shareGrantsFromProto(shareGrantsToProto(grants)))
}

// Limit names that a message omits are restored only if the receiver has the same
// ordered list of limits as the sender. Otherwise, while two instances have different
// configurations, the grant of one limit could be taken for that of another.
func TestLimitNamesAreOmittedOnlyForEqualLists(t *testing.T) {
	batch := limits.AskBatch{Member: "a/1", Asks: []limits.NamedAsk{{Name: "x", Demand: 7}, {Name: "y", Applied: 2}}}
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

	grants := limits.GrantBatch{Keeper: "b/2", Grants: []limits.NamedGrant{{Name: "x"}, {Name: "y"}}}
	reply := shareGrantsToProto(grants)
	omitGrantNames(reply)
	must.Eq(t, "", reply.Grants[1].Limit)
	restoreGrantNames(reply, batch)
	must.Eq(t, grants, shareGrantsFromProto(reply))
}
