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
	ask := limits.AskBatch{Member: "a/1", Keeper: "b/2", Leaving: true, Asks: []limits.NamedAsk{
		{Name: "x", Demand: 7, Applied: 3}, {Name: "y"},
	}}
	must.Eq(t, ask, askFromProto(askToProto(ask)))
	grant := limits.GrantBatch{Keeper: "b/2", Grants: []limits.NamedGrant{{Name: "x", Grant: limits.Grant{
		Seq: 9, Floor: limits.Share{Rate: 1, Burst: 2}, Lease: limits.Share{Rate: 3, Burst: 4},
		FloorTerm: 5 * time.Millisecond, LeaseTerm: 6 * time.Millisecond,
	}}}}
	must.Eq(t, grant, grantsFromProto(grantsToProto(grant)))
}
