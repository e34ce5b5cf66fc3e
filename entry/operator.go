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

// operatorBackend implements operatorapi.Backend: it executes the operations that
// operators request from this instance.
type operatorBackend struct{ instance *Instance }

// LoadConfig implements operatorapi.Backend.
func (o *operatorBackend) LoadConfig(ctx context.Context, generation uint64) (operatorapi.ConfigResponse, error) {
	store := o.instance.config.store
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
func (o *operatorBackend) Publish(ctx context.Context, doc *config.Document, base uint64, author string) (operatorapi.PublishResponse, error) {
	published, err := o.instance.config.store.Publish(ctx, doc, base, author)
	if err != nil {
		return operatorapi.PublishResponse{}, err
	}
	o.instance.log.Info("configuration published", "generation", published.Generation, "change", published.ChangeID, "author", author)
	reach := o.applyAndAnnounce(ctx, published)
	return operatorapi.PublishResponse{Published: published, Propagation: reach}, nil
}

// applyAndAnnounce puts a published generation in force at this instance, announces it
// to the others and returns which of them have it in force.
func (o *operatorBackend) applyAndAnnounce(ctx context.Context, published configstore.GenerationRecord) operatorapi.PropagationStatus {
	err := o.instance.config.ApplyIfNewer(ctx, configstore.Candidate{
		Generation:   published.Generation,
		ManifestHash: published.ManifestHash,
		Source:       "publish",
	})
	var stale *configstore.StaleGenerationError
	if err != nil && !errors.As(err, &stale) {
		o.instance.log.Warn("applying the published configuration at this instance failed", "generation", published.Generation, "error", err)
	}
	confirmations := o.instance.peers.Announce(ctx, &peerpb.Announcement{
		Sender: o.instance.membership.sender(),
		Config: &peerpb.ConfigVersion{Generation: published.Generation, ManifestSha256: published.ManifestHash[:]},
	})
	generation, _ := o.instance.config.Version()
	return o.publishReach(confirmations, generation >= published.Generation)
}

// publishReach divides the listed instances into those that have confirmed a generation
// and those that have not. inForceHere says whether it is in force at this instance.
func (o *operatorBackend) publishReach(confirmations []*peerpb.Confirmation, inForceHere bool) operatorapi.PropagationStatus {
	var reach operatorapi.PropagationStatus
	if inForceHere {
		reach.InForce = append(reach.InForce, o.instance.membership.self.Name)
	}
	for _, c := range confirmations {
		reach.InForce = append(reach.InForce, c.GetName())
	}
	sort.Strings(reach.InForce)
	for _, in := range o.instance.membership.listedInstances() {
		if !slices.Contains(reach.InForce, in.Name) {
			reach.NotReached = append(reach.NotReached, in.Name)
		}
	}
	sort.Strings(reach.NotReached)
	return reach
}

// History implements operatorapi.Backend.
func (o *operatorBackend) History(ctx context.Context, limit int) (operatorapi.HistoryResponse, error) {
	generations, err := o.instance.config.store.History(ctx, limit)
	return operatorapi.HistoryResponse{Generations: generations}, err
}

// maxLabelAttempts bounds the attempts at a label change that conflicts with concurrent
// publishes. Each attempt changes the newest document, which is safe because label
// changes of different objects do not contradict each other.
const maxLabelAttempts = 5

// SetLabels implements operatorapi.Backend.
func (o *operatorBackend) SetLabels(ctx context.Context, req operatorapi.LabelRequest, author string) (operatorapi.PublishResponse, error) {
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
		if attempt == maxLabelAttempts || !errors.As(err, &conflict) {
			return resp, err
		}
	}
}

// Grant implements operatorapi.Backend.
func (o *operatorBackend) Grant(ctx context.Context, req operatorapi.GrantRequest) (operatorapi.GrantResponse, error) {
	if err := o.checkGrantRequest(req); err != nil {
		return operatorapi.GrantResponse{}, err
	}
	routes := req.Routes
	if len(routes) == 0 {
		routes = []string{keys.AnyRoute}
	}
	key, err := o.instance.keys.store.Grant(ctx, req.Customer, routes)
	if err != nil {
		return operatorapi.GrantResponse{}, err
	}
	if err := o.instance.keys.Poll(ctx); err != nil {
		o.instance.log.Warn("reading the granted key from the platform failed; this instance does not accept it yet", "key_id", key.ID, "error", err)
	}
	// After the announcement every instance that it reached accepts the key, so that
	// the operator receives a key that works.
	o.instance.peers.Announce(ctx, &peerpb.Announcement{
		Sender:        o.instance.membership.sender(),
		KeyGeneration: o.instance.keys.KeySet().Generation(),
	})
	o.instance.log.Info("key granted", "key_id", key.ID, "customer", req.Customer, "routes", routes)
	return operatorapi.GrantResponse{KeyID: key.ID, Key: key.Reveal()}, nil
}

// checkGrantRequest returns a *problem.Document if the customer or a route does not
// exist.
func (o *operatorBackend) checkGrantRequest(req operatorapi.GrantRequest) error {
	index := o.instance.config.currentIndex()
	if index == nil {
		return problem.New(problem.TypeNotReady, http.StatusServiceUnavailable, problem.DidNotRun, "no configuration is in force")
	}
	if _, ok := index.Customer(req.Customer); !ok {
		return problem.New(problem.TypeBadRequest, http.StatusBadRequest, problem.DidNotRun, "customer %q does not exist", req.Customer)
	}
	for _, route := range req.Routes {
		if _, ok := index.Route(route); !ok && route != keys.AnyRoute {
			return problem.New(problem.TypeBadRequest, http.StatusBadRequest, problem.DidNotRun, "route %q does not exist", route)
		}
	}
	return nil
}

// Keys implements operatorapi.Backend.
func (o *operatorBackend) Keys(ctx context.Context) (operatorapi.KeysResponse, error) {
	records, err := o.instance.keys.store.List(ctx)
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
func (o *operatorBackend) Explain(_ context.Context, name string) (operatorapi.ExplainResponse, error) {
	index := o.instance.config.currentIndex()
	if index == nil {
		return operatorapi.ExplainResponse{}, problem.New(problem.TypeNotReady, http.StatusServiceUnavailable, problem.DidNotRun, "no configuration is in force")
	}
	route, ok := index.Route(name)
	if !ok {
		return operatorapi.ExplainResponse{}, problem.New(problem.TypeRouteUnknown, http.StatusNotFound, problem.DidNotRun, "route %q does not exist", name)
	}
	decision, err := o.instance.balancer.Explain(route, time.Now())
	if err != nil {
		return operatorapi.ExplainResponse{}, err
	}
	resp := operatorapi.ExplainResponse{Route: name, Service: route.Service, Server: decision.Server}
	if decision.Server != "" {
		resp.Tier, resp.Reason = decision.Tier.String(), decision.Reason.String()
	}
	for _, r := range decision.Rejections {
		resp.Rejected = append(resp.Rejected, operatorapi.RejectedServer{Server: r.Server, Reason: r.String()})
	}
	return resp, nil
}

// Status implements operatorapi.Backend.
func (o *operatorBackend) Status(context.Context) (operatorapi.StatusResponse, error) {
	instance := o.instance
	now := time.Now()
	generation, manifest := instance.config.Version()
	keyDigest := instance.keys.Digest()
	resp := operatorapi.StatusResponse{
		Name:          instance.settings.Name,
		Zone:          instance.settings.Zone,
		Ready:         instance.Ready(),
		Draining:      instance.membership.draining(),
		Generation:    generation,
		ManifestHash:  manifest.String(),
		KeyGeneration: keyDigest.Generation,
		KeysFresh:     instance.keys.Fresh(config.DefaultKeyStaleness),
	}
	if keyDigest.PlatformKnown {
		resp.PlatformAge = &keyDigest.PlatformAge
	}
	for _, m := range instance.membership.watcher.Members() {
		resp.Instances = append(resp.Instances, instanceInfo(m))
	}
	for _, s := range instance.balancer.Status(now) {
		resp.Servers = append(resp.Servers, operatorapi.ServerInfo{Name: s.Server, Service: s.Service, Zone: s.Zone, State: s.State, Reason: s.Reason, Weight: s.Weight, InFlight: s.InFlight})
	}
	for name, share := range instance.limiter.Shares(now) {
		resp.Limits = append(resp.Limits, operatorapi.LimitInfo{Name: name, RatePerSecond: share.Rate.Requests(), Burst: share.Burst.Requests()})
	}
	sort.Slice(resp.Limits, func(i, j int) bool { return resp.Limits[i].Name < resp.Limits[j].Name })
	return resp, nil
}

func instanceInfo(m identity.Member) operatorapi.InstanceInfo {
	return operatorapi.InstanceInfo{
		Name:            m.Name,
		Zone:            m.Zone,
		State:           string(m.State),
		CallerAddress:   m.CallerAddress,
		SinceLastSeenMS: m.SinceLastSeen.Milliseconds(),
	}
}
