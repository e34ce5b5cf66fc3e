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

// keyServiceName is the service's name in the kernel's service registry.
const keyServiceName = "keys.follower"

// listedUpdateInterval is the time between two updates of the instances that the
// staleness rule for key data counts.
const listedUpdateInterval = time.Second

// keyService wraps a keys.Follower, which follows the API keys and their withdrawals,
// as a kernel service. It implements forward.Authorizer.
type keyService struct {
	kernel.Base
	*keys.Follower
	self       identity.InstanceConfig
	store      *keys.Store
	membership *membershipService
	log        *slog.Logger

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Provision implements kernel.Service.
func (k *keyService) Provision(r kernel.Resolver) error {
	f := &serviceFinder{resolver: r}
	platform := findService[Platform](f, platformServiceName)
	k.membership = findService[*membershipService](f, membershipServiceName)
	if f.err != nil {
		return f.err
	}
	k.store = keys.NewStore(platform)
	k.Follower = keys.NewFollower(keys.FollowerOptions{
		Table:             platform,
		InstanceName:      k.self.Name,
		Zone:              k.self.Zone,
		BootID:            k.self.BootID,
		LiveZoneInstances: k.membership.liveZoneMemberCount,
		Random:            rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Log:               k.log,
	})
	return nil
}

// Name implements kernel.Service.
func (k *keyService) Name() string { return keyServiceName }

// Requires implements kernel.Service.
func (k *keyService) Requires() []string { return []string{platformServiceName, membershipServiceName} }

// Start implements kernel.Service.
func (k *keyService) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	k.updateListedInstances()
	k.done.Go(func() { k.Run(ctx) })
	k.done.Go(func() { k.updateListedPeriodically(ctx) })
	return nil
}

// Stop implements kernel.Service.
func (k *keyService) Stop(context.Context) error {
	k.cancel()
	k.done.Wait()
	return nil
}

func (k *keyService) updateListedPeriodically(ctx context.Context) {
	ticker := time.NewTicker(listedUpdateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			k.updateListedInstances()
		case <-ctx.Done():
			return
		}
	}
}

// updateListedInstances sets the instances that the staleness rule counts: this one and
// all others that may still serve requests. It does nothing before an instance list
// has been read. Otherwise this instance would count itself as the only one and could
// accept keys whose withdrawal only the other instances have received.
func (k *keyService) updateListedInstances() {
	if k.membership.hasInstanceList() {
		k.SetListedInstances(k.membership.listedInstances())
	}
}

// Authorize implements forward.Authorizer.
func (k *keyService) Authorize(presented string, route *config.Route) (string, *problem.Document) {
	customer, err := k.VerifyFresh(presented, route.Name, route.EffectiveKeyStaleness())
	if err == nil {
		return customer, nil
	}
	var stale *keys.StaleKeyDataError
	if errors.As(err, &stale) {
		return "", problem.New(problem.TypeKeyDataStale, http.StatusServiceUnavailable, problem.DidNotRun, "%v", stale).WithRetryAfter(time.Second)
	}
	// The response does not reveal why the key is invalid.
	return "", problem.New(problem.TypeKeyInvalid, http.StatusForbidden, problem.DidNotRun, "the key is not valid for route %q", route.Name)
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

func keyStateToProto(state keys.State) *peerpb.StateReply {
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

func keyStateFromProto(reply *peerpb.StateReply) keys.State {
	state := keys.State{
		Generation:         reply.GetKeyGeneration(),
		PendingWithdrawals: withdrawalsFromProto(reply.GetPendingWithdrawals()),
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
