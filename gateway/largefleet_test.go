package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/dispatch"
	"github.com/jacinthrack/jacinthrack/fleet"
	"github.com/jacinthrack/jacinthrack/quota"
	"github.com/jacinthrack/jacinthrack/routes"
)

// testInstance is a gateway with a membership view that lends tokens without network calls.
type testInstance struct {
	*Gateway
	view *fleet.View
}

func (*testInstance) ConfigOutdated(int64) {}
func (*testInstance) Ready() bool          { return true }

// instancesByAddress holds instances by peer address. It implements fleet.TokenBorrower.
type instancesByAddress map[string]*testInstance

func (byAddress instancesByAddress) Borrow(_ context.Context, address, customer string, tokens uint32) (lent, remaining uint32, err error) {
	time.Sleep(time.Millisecond)
	lent, remaining = byAddress[address].view.Lend(customer, tokens)
	return lent, remaining, nil
}

// newFleet returns instances in 6 zones and 3 regions that share the quotas of customers.
func newFleet(count int, customers []*routes.Customer) []*testInstance {
	instances, byAddress := make([]*testInstance, 0, count), make(instancesByAddress)
	members := make([]fleet.Instance, 0, count)
	for i := range count {
		zone := i % 6
		members = append(members, fleet.Instance{
			Zone: fmt.Sprint("z", zone), Region: fmt.Sprint("r", zone/2), CallerAddress: fmt.Sprint("c", i), PeerAddress: fmt.Sprint("p", i),
		})
	}
	for _, in := range members {
		g := New(Options{
			Locality: dispatch.Locality{Zone: in.Zone, Region: in.Region}, Dialect: testDialect{},
			Policy: Policy{QuotaSlack: 20}, Log: slog.New(slog.DiscardHandler), InitialBurstFraction: 1,
		})
		inst := &testInstance{Gateway: g}
		inst.view = fleet.New(in, inst, time.Second)
		inst.view.SetRegistered(members)
		g.SetLenders(&fleet.QuotaLenders{View: inst.view, Borrower: byAddress}) // filled below, before the first call to a lender
		g.SetConfig(routes.NewConfig(1, routes.RequestLimits{}, nil, customers, nil))
		g.SetMemberCount(inst.view.MemberCount())
		instances, byAddress[in.PeerAddress] = append(instances, inst), inst
	}
	return instances
}

// With 100 instances, one instance's equal share of a small customer's burst would be far less
// than one request. Customers below their rates must be admitted all the same, without a long
// wait for borrowed tokens.
func TestCustomersBelowRateAreAdmittedInLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var customers []*routes.Customer
		for i := range 10 {
			customers = append(customers, &routes.Customer{Name: fmt.Sprint("customer", i), Rate: 8, Burst: 8})
		}
		instances := newFleet(100, customers)
		rng := rand.New(rand.NewPCG(7, 7))
		oneBucket := quota.NewBuckets(1)
		for _, c := range customers {
			oneBucket.SetLimit(c.Name, quota.Limit{Rate: c.Rate, Burst: c.Burst}, 1, time.Now())
		}
		rejected, rejectedByOneBucket, slow, total := 0, 0, 0, 0
		for range 640 { // 64 requests per second for 10 s, 0.8 of the sum of the rates
			customer := customers[rng.IntN(len(customers))]
			sent := time.Now()
			total++
			if ok, _ := oneBucket.TakeToken(customer.Name, sent); !ok {
				rejectedByOneBucket++
			}
			if instances[rng.IntN(len(instances))].takeQuotaToken(t.Context(), &requestState{customer: customer}) != nil {
				rejected++
			}
			if time.Since(sent) > 5*time.Millisecond { // the time of five calls to lenders
				slow++
			}
			time.Sleep(time.Second / 64)
		}
		must.LessEq(t, total/100, rejected-rejectedByOneBucket) // a single bucket rejects requests above the burst, too
		must.LessEq(t, total/20, slow)
	})
}

// However its callers spread over the instances, a customer far above its rate must not get more
// than its rate, its burst and the slack.
func TestLargeFleetEnforcesFleetWideQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		customer := &routes.Customer{Name: "customer0", Rate: 8, Burst: 8}
		instances := newFleet(100, []*routes.Customer{customer})
		rng := rand.New(rand.NewPCG(8, 8))
		admitted := 0
		for range 1000 { // 5 s in steps of 5 ms
			if instances[rng.IntN(len(instances))].takeQuotaToken(t.Context(), &requestState{customer: customer}) == nil {
				admitted++
			}
			time.Sleep(5 * time.Millisecond)
		}
		must.LessEq(t, 8*9+8+20, admitted) // rate in 9 s, burst and slack: borrowing takes up to a few ms per request, so that the run takes up to 9 s
		must.Greater(t, 8*4, admitted)
	})
}
