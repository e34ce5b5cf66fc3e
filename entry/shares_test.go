package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/limits"
)

// Guards against a field of an ask or a grant that is lost or swapped on the way
// between instances.
func TestSharesSurviveTheMessage(t *testing.T) {
	ask := limits.ShareRequestBatch{MemberID: "a/1", AllocatorID: "b/2", Leaving: true, Requests: []limits.NamedShareRequest{
		{LimitName: "x", Demand: 7, AppliedSeq: 3}, {LimitName: "y"},
	}}
	must.Eq(t, ask, askFromProto(askToProto(ask)))
	grant := limits.ShareGrantBatch{AllocatorID: "b/2", Grants: []limits.NamedShareGrant{{LimitName: "x", ShareGrant: limits.ShareGrant{
		Seq: 9, Floor: limits.Share{Rate: 1, Burst: 2}, Lease: limits.Share{Rate: 3, Burst: 4},
		FloorTerm: 5 * time.Millisecond, LeaseTerm: 6 * time.Millisecond,
	}}}}
	must.Eq(t, grant, grantsFromProto(grantsToProto(grant)))
}

// Guards against a grant of one limit that is taken for that of another when the
// names are left out, also while two instances have different configurations.
func TestNamesAreLeftOutOnlyWhenBothHaveThem(t *testing.T) {
	ask := limits.ShareRequestBatch{MemberID: "a/1", Requests: []limits.NamedShareRequest{{LimitName: "x", Demand: 7}, {LimitName: "y", AppliedSeq: 2}}}
	for _, other := range [][]string{{"x"}, {"x", "z"}, {"y", "x"}, {"x", "y", "z"}, nil} {
		short := askToProto(ask)
		removeAskNames(short)
		must.False(t, addNames(short, other), must.Sprintf("%v", other))
	}
	short := askToProto(ask)
	removeAskNames(short)
	must.Eq(t, "", short.Asks[1].Limit)
	must.True(t, addNames(short, []string{"x", "y"}))
	must.Eq(t, ask, askFromProto(short))

	grants := limits.ShareGrantBatch{AllocatorID: "b/2", Grants: []limits.NamedShareGrant{{LimitName: "x"}, {LimitName: "y"}}}
	reply := grantsToProto(grants)
	removeGrantNames(reply)
	must.Eq(t, "", reply.Grants[1].Limit)
	addGrantNames(reply, ask)
	must.Eq(t, grants, grantsFromProto(reply))
}
