package entry

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sort"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/configstore"
	"github.com/jacinthrack/jacinthrack/identity"
	"github.com/jacinthrack/jacinthrack/keys"
	"github.com/jacinthrack/jacinthrack/operatorapi"
	"github.com/jacinthrack/jacinthrack/peer/peerpb"
	"github.com/jacinthrack/jacinthrack/problem"
)

// operator does what operators ask of this instance. It implements
// operatorapi.Backend.
type operator struct{ entry *Instance }

// LoadConfig implements operatorapi.Backend.
func (o *operator) LoadConfig(ctx context.Context, generation uint64) (operatorapi.ConfigResponse, error) {
	store := o.entry.config.store
	if generation == 0 {
		current, err := store.Current(ctx)
		if err != nil {
			return operatorapi.ConfigResponse{}, err
		}
		generation = current.Generation
	}
	doc, published, err := store.Load(ctx, generation)
	return operatorapi.ConfigResponse{Published: published, Document: doc}, err
}

// Publish implements operatorapi.Backend.
func (o *operator) Publish(ctx context.Context, doc *config.Document, base uint64, author string) (operatorapi.PublishResponse, error) {
	published, err := o.entry.config.store.Publish(ctx, doc, base, author)
	if err != nil {
		return operatorapi.PublishResponse{}, err
	}
	o.entry.log.Info("configuration published", "generation", published.Generation, "change", published.ChangeID, "author", author)
	reach := o.spread(ctx, published)
	return operatorapi.PublishResponse{Published: published, Reach: reach}, nil
}

// spread puts a published generation in force here and announces it.
func (o *operator) spread(ctx context.Context, published configstore.Published) operatorapi.Reach {
	err := o.entry.config.Offer(ctx, configstore.Offer{
		Generation: published.Generation,
		Manifest:   published.Manifest,
		Source:     "publish",
	})
	var stale *configstore.StaleError
	if err != nil && !errors.As(err, &stale) {
		o.entry.log.Warn("published configuration is not in force here yet", "generation", published.Generation, "error", err)
	}
	confirmed := o.entry.peers.Announce(ctx, &peerpb.Announcement{
		Sender: o.entry.members.sender(),
		Config: &peerpb.ConfigVersion{Generation: published.Generation, ManifestSha256: published.Manifest[:]},
	})
	inForce, _ := o.entry.config.Version()
	return o.reach(confirmed, inForce >= published.Generation)
}

// reach compares confirmations with the instances that may serve requests.
func (o *operator) reach(confirmed []*peerpb.Confirmation, here bool) operatorapi.Reach {
	var reach operatorapi.Reach
	if here {
		reach.InForce = append(reach.InForce, o.entry.members.self.Name)
	}
	for _, c := range confirmed {
		reach.InForce = append(reach.InForce, c.GetName())
	}
	sort.Strings(reach.InForce)
	for _, in := range o.entry.members.listed() {
		if !slices.Contains(reach.InForce, in.Name) {
			reach.NotReached = append(reach.NotReached, in.Name)
		}
	}
	sort.Strings(reach.NotReached)
	return reach
}

// History implements operatorapi.Backend.
func (o *operator) History(ctx context.Context, limit int) (operatorapi.HistoryResponse, error) {
	generations, err := o.entry.config.store.History(ctx, limit)
	return operatorapi.HistoryResponse{Generations: generations}, err
}

// labelAttempts bounds the repetitions of a label change that met other changes.
// Label changes of different objects do not contradict each other.
const labelAttempts = 5

// SetLabels implements operatorapi.Backend.
func (o *operator) SetLabels(ctx context.Context, req operatorapi.LabelRequest, author string) (operatorapi.PublishResponse, error) {
	var conflict *configstore.PublishConflictError
	for attempt := 1; ; attempt++ {
		current, err := o.LoadConfig(ctx, 0)
		if err != nil {
			return operatorapi.PublishResponse{}, err
		}
		if err := applyLabels(current.Document, req); err != nil {
			return operatorapi.PublishResponse{}, err
		}
		resp, err := o.Publish(ctx, current.Document, current.Published.Generation, author)
		if attempt == labelAttempts || !errors.As(err, &conflict) {
			return resp, err
		}
	}
}

// Grant implements operatorapi.Backend.
func (o *operator) Grant(ctx context.Context, req operatorapi.GrantRequest) (operatorapi.GrantResponse, error) {
	if err := o.checkGrant(req); err != nil {
		return operatorapi.GrantResponse{}, err
	}
	routes := req.Routes
	if len(routes) == 0 {
		routes = []string{keys.AnyRoute}
	}
	key, err := o.entry.keys.store.Grant(ctx, req.Customer, routes)
	if err != nil {
		return operatorapi.GrantResponse{}, err
	}
	if err := o.entry.keys.Poll(ctx); err != nil {
		o.entry.log.Warn("granted key is not known here yet", "key_id", key.ID, "error", err)
	}
	// The key works everywhere when the operator gets it, as far as peers are reached.
	o.entry.peers.Announce(ctx, &peerpb.Announcement{
		Sender:        o.entry.members.sender(),
		KeyGeneration: o.entry.keys.KeySet().Generation(),
	})
	o.entry.log.Info("key granted", "key_id", key.ID, "customer", req.Customer, "routes", routes)
	return operatorapi.GrantResponse{KeyID: key.ID, Key: key.Reveal()}, nil
}

// checkGrant refuses customers and routes that do not exist.
func (o *operator) checkGrant(req operatorapi.GrantRequest) error {
	index := o.entry.config.index()
	if index == nil {
		return problem.New(problem.TypeNotReady, http.StatusServiceUnavailable, problem.RanNo, "no configuration is in force")
	}
	if _, ok := index.Customer(req.Customer); !ok {
		return problem.New(problem.TypeBadRequest, http.StatusBadRequest, problem.RanNo, "customer %q does not exist", req.Customer)
	}
	for _, route := range req.Routes {
		if _, ok := index.Route(route); !ok && route != keys.AnyRoute {
			return problem.New(problem.TypeBadRequest, http.StatusBadRequest, problem.RanNo, "route %q does not exist", route)
		}
	}
	return nil
}

// Keys implements operatorapi.Backend.
func (o *operator) Keys(ctx context.Context) (operatorapi.KeysResponse, error) {
	records, err := o.entry.keys.store.List(ctx)
	if err != nil {
		return operatorapi.KeysResponse{}, err
	}
	var resp operatorapi.KeysResponse
	for _, r := range records {
		resp.Keys = append(resp.Keys, operatorapi.KeyInfo{KeyID: r.KeyID, Customer: r.Customer, Routes: r.Routes, Withdrawn: r.Withdrawn})
	}
	return resp, nil
}

// Explain implements operatorapi.Backend.
func (o *operator) Explain(_ context.Context, name string) (operatorapi.ExplainResponse, error) {
	index := o.entry.config.index()
	if index == nil {
		return operatorapi.ExplainResponse{}, problem.New(problem.TypeNotReady, http.StatusServiceUnavailable, problem.RanNo, "no configuration is in force")
	}
	route, ok := index.Route(name)
	if !ok {
		return operatorapi.ExplainResponse{}, problem.New(problem.TypeRouteUnknown, http.StatusNotFound, problem.RanNo, "route %q does not exist", name)
	}
	decision, err := o.entry.balancer.Explain(route, time.Now())
	if err != nil {
		return operatorapi.ExplainResponse{}, err
	}
	resp := operatorapi.ExplainResponse{Route: name, Service: route.Service, Server: decision.Server}
	if decision.Server != "" {
		resp.Tier, resp.Reason = decision.Tier.String(), decision.Reason.String()
	}
	for _, r := range decision.Rejections {
		resp.Rejected = append(resp.Rejected, operatorapi.RejectedEntry{Server: r.Server, Reason: r.String()})
	}
	return resp, nil
}

// Status implements operatorapi.Backend.
func (o *operator) Status(context.Context) (operatorapi.StatusResponse, error) {
	e := o.entry
	now := time.Now()
	generation, manifest := e.config.Version()
	known := e.keys.Digest()
	resp := operatorapi.StatusResponse{
		Name:          e.settings.Name,
		Zone:          e.settings.Zone,
		Ready:         e.Ready(),
		Draining:      e.members.draining(),
		Generation:    generation,
		Manifest:      manifest.String(),
		KeyGeneration: known.Generation,
		KeysFresh:     e.keys.Fresh(config.DefaultKeyStaleness),
	}
	if known.PlatformKnown {
		resp.PlatformAge = &known.PlatformAge
	}
	for _, m := range e.members.watcher.Members() {
		resp.Instances = append(resp.Instances, instanceInfo(m))
	}
	for _, s := range e.balancer.Status(now) {
		resp.Servers = append(resp.Servers, operatorapi.ServerInfo{Name: s.Server, Service: s.Service, Zone: s.Zone, State: s.State, Reason: s.Reason, Weight: s.Weight, InUse: s.InFlight})
	}
	for name, share := range e.limiter.Shares(now) {
		resp.Limits = append(resp.Limits, operatorapi.LimitInfo{Name: name, RatePerSecond: share.Rate.Requests(), Burst: share.Burst.Requests()})
	}
	sort.Slice(resp.Limits, func(i, j int) bool { return resp.Limits[i].Name < resp.Limits[j].Name })
	return resp, nil
}

func instanceInfo(m identity.Member) operatorapi.InstanceInfo {
	return operatorapi.InstanceInfo{
		Name:          m.Name,
		Zone:          m.Zone,
		State:         string(m.State),
		CallerAddress: m.CallerAddress,
		SilentMS:      m.SinceLastSeen.Milliseconds(),
	}
}
