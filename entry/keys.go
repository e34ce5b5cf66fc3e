package entry

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/identity"
	"github.com/jacinthrack/jacinthrack/kernel"
	"github.com/jacinthrack/jacinthrack/keys"
	"github.com/jacinthrack/jacinthrack/peer/peerpb"
	"github.com/jacinthrack/jacinthrack/problem"
)

// keysName is the name in the kernel registry.
const keysName = "keys.follower"

// listInterval is the time between two updates of the instances that count for
// the staleness rule.
const listInterval = time.Second

// keyService is the kernel service around a keys.Follower. It implements
// forward.Authorizer.
type keyService struct {
	kernel.Base
	*keys.Follower
	self    identity.InstanceConfig
	store   *keys.Store
	members *membership
	log     *slog.Logger

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Provision implements kernel.Service.
func (k *keyService) Provision(r kernel.Resolver) error {
	f := &finder{resolver: r}
	store := find[Platform](f, platformName)
	k.members = find[*membership](f, membershipName)
	if f.err != nil {
		return f.err
	}
	k.store = keys.NewStore(store)
	k.Follower = keys.NewFollower(keys.FollowerOptions{
		Table:  store,
		InstanceName:   k.self.Name,
		Zone:   k.self.Zone,
		BootID:   k.self.BootID,
		LiveZoneInstances:   k.members.zoneLive,
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Log:    k.log,
	})
	return nil
}

// Name implements kernel.Service.
func (k *keyService) Name() string { return keysName }

// Requires implements kernel.Service.
func (k *keyService) Requires() []string { return []string{platformName, membershipName} }

// Start implements kernel.Service.
func (k *keyService) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	k.updateListed()
	k.done.Go(func() { k.Run(ctx) })
	k.done.Go(func() { k.followList(ctx) })
	return nil
}

// Stop implements kernel.Service.
func (k *keyService) Stop(context.Context) error {
	k.cancel()
	k.done.Wait()
	return nil
}

func (k *keyService) followList(ctx context.Context) {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			k.updateListed()
		case <-ctx.Done():
			return
		}
	}
}

// updateListed sets the instances that count: this one and all that may still
// serve requests. Nothing is set before a list is known: an instance that took
// itself for the only one would accept keys that the others know to be withdrawn.
func (k *keyService) updateListed() {
	if k.members.listKnown() {
		k.SetListedInstances(k.members.listed())
	}
}

// Authorize implements forward.Authorizer.
func (k *keyService) Authorize(presented string, route *config.Route) (string, *problem.Document) {
	customer, err := k.VerifyFresh(presented, route.Name, route.StalenessBound())
	if err == nil {
		return customer, nil
	}
	var stale *keys.StaleKeyDataError
	if errors.As(err, &stale) {
		return "", problem.New(problem.TypeKeyStale, http.StatusServiceUnavailable, problem.RanNo, "%v", stale).WithRetryAfter(time.Second)
	}
	// Callers learn only that the key is not valid, not which part of it is wrong.
	return "", problem.New(problem.TypeKeyInvalid, http.StatusForbidden, problem.RanNo, "the key is not valid for route %q", route.Name)
}

func withdrawalsToProto(list []keys.Withdrawal) []*peerpb.Withdrawal {
	out := make([]*peerpb.Withdrawal, 0, len(list))
	for _, w := range list {
		out = append(out, &peerpb.Withdrawal{KeyId: w.KeyID, ChangeId: w.ChangeID})
	}
	return out
}

func withdrawalsFromProto(list []*peerpb.Withdrawal) []keys.Withdrawal {
	out := make([]keys.Withdrawal, 0, len(list))
	for _, w := range list {
		out = append(out, keys.Withdrawal{KeyID: w.GetKeyId(), ChangeID: w.GetChangeId()})
	}
	return out
}

func stateToProto(state keys.State) *peerpb.StateReply {
	reply := &peerpb.StateReply{
		KeyGeneration:      state.Generation,
		PendingWithdrawals: withdrawalsToProto(state.PendingWithdrawals),
	}
	for _, r := range state.Records {
		reply.Keys = append(reply.Keys, &peerpb.KeyRecord{
			KeyId:      r.KeyID,
			Customer:   r.Customer,
			Routes:     r.Routes,
			Salt:       r.Salt,
			HmacSha256: r.HMAC,
			Withdrawn:  r.Withdrawn,
		})
	}
	return reply
}

func stateFromProto(reply *peerpb.StateReply) keys.State {
	state := keys.State{
		Generation: reply.GetKeyGeneration(),
		PendingWithdrawals:    withdrawalsFromProto(reply.GetPendingWithdrawals()),
	}
	for _, r := range reply.GetKeys() {
		state.Records = append(state.Records, keys.Record{
			KeyID:     r.GetKeyId(),
			Customer:  r.GetCustomer(),
			Routes:    r.GetRoutes(),
			Salt:      r.GetSalt(),
			HMAC:      r.GetHmacSha256(),
			Withdrawn: r.GetWithdrawn(),
		})
	}
	return state
}
