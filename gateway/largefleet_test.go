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

// node lets a gateway lend to others without sockets.
type node struct {
	*Gateway
	view *fleet.View
}

func (*node) ConfigOutdated()   {}
func (*node) Ready() bool { return true }

// nodes are instances by peer address. They implement fleet.TokenBorrower.
type nodes map[string]*node

func (n nodes) Borrow(_ context.Context, address, customer string, tokens uint32) (lent, left uint32, err error) {
	time.Sleep(time.Millisecond)
	lent, left = n[address].view.Lend(customer, tokens)
	return lent, left, nil
}

// newFleet returns instances in 6 zones that share the quotas of customers.
func newFleet(instances int, customers []*routes.Customer) []*node {
	all, byAddress := make([]*node, 0, instances), make(nodes)
	members := make([]fleet.Instance, 0, instances)
	for i := range instances {
		zone := i % 6
		members = append(members, fleet.Instance{
			Zone: fmt.Sprint("z", zone), Region: fmt.Sprint("r", zone/2), CallerAddress: fmt.Sprint("c", i), PeerAddress: fmt.Sprint("p", i),
		})
	}
	for _, in := range members {
		g := New(Options{
			Locality: dispatch.Locality{Zone: in.Zone, Region: in.Region}, Dialect: plain{},
			Policy: Policy{QuotaSlack: 20}, Log: slog.New(slog.DiscardHandler), InitialBurstFraction: 1,
		})
		n := &node{Gateway: g}
		n.view = fleet.New(in, n, time.Second)
		n.view.SetRegistered(members)
		g.SetLenders(&fleet.QuotaLenders{View: n.view, Borrower: byAddress})
		g.SetConfig(routes.NewConfig(1, routes.RequestLimits{}, nil, customers, nil))
		g.SetMemberCount(n.view.MemberCount())
		all, byAddress[in.PeerAddress] = append(all, n), n
	}
	return all
}

// Customers that stay below their rates must not be refused because each instance's
// equal part is far less than a request, and their requests must not wait for long.
func TestSmallCustomersInALargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var customers []*routes.Customer
		for i := range 10 {
			customers = append(customers, &routes.Customer{Name: fmt.Sprint("customer", i), Rate: 8, Burst: 8})
		}
		all := newFleet(100, customers)
		rng := rand.New(rand.NewPCG(7, 7))
		whole := quota.NewBuckets(1)
		for _, c := range customers {
			whole.SetLimit(c.Name, quota.Limit{Rate: c.Rate, Burst: c.Burst}, 1, time.Now())
		}
		refused, over, slow, total := 0, 0, 0, 0
		for range 640 { // 10 s at 0.8 of the rates
			customer := customers[rng.IntN(len(customers))]
			sent := time.Now()
			total++
			if ok, _ := whole.TakeToken(customer.Name, sent); !ok {
				over++
			}
			if all[rng.IntN(len(all))].charge(t.Context(), &exchange{customer: customer}) != nil {
				refused++
			}
			if time.Since(sent) > 5*time.Millisecond { // five calls
				slow++
			}
			time.Sleep(time.Second / 64)
		}
		must.LessEq(t, total/100, refused-over) // a single bucket refuses requests above the burst, too
		must.LessEq(t, total/20, slow)
	})
}

// However its callers spread over the instances, a customer far above its rate gets no
// more than its rate, its burst and the slack.
func TestLargeFleetHoldsTheWholeQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		customer := &routes.Customer{Name: "customer0", Rate: 8, Burst: 8}
		all := newFleet(100, []*routes.Customer{customer})
		rng := rand.New(rand.NewPCG(8, 8))
		admitted := 0
		for range 1000 { // 5 s
			if all[rng.IntN(len(all))].charge(t.Context(), &exchange{customer: customer}) == nil {
				admitted++
			}
			time.Sleep(5 * time.Millisecond)
		}
		must.LessEq(t, 8*9+8+20, admitted) // a call waits up to a few ms, so that it takes up to 9 s
		must.Greater(t, 8*4, admitted)
	})
}
