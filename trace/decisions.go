package trace

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/headroom"
	"github.com/jacinthrack/jacinthrack/placement"
	"github.com/jacinthrack/jacinthrack/quarantine"
	"github.com/jacinthrack/jacinthrack/retry"
	"github.com/jacinthrack/jacinthrack/serverstate"
)

// service is the name of the only service in a replay.
const service = "service"

// decisionBalancer is the balancer of an entry instance that uses the decision packages, as
// the gateway does.
type decisionBalancer struct {
	replay               *replay
	instance             *entryInstance
	rng                  *rand.Rand
	tracker              *serverstate.Tracker
	placer               *placement.Placer
	publisher            *headroom.Publisher
	reservations         *headroom.ReservationHolder
	budgets              *retry.Budgets
	suspects             *quarantine.Tracker
	reportedTerminations map[*backend]int // backend.terminations at the last crash reported to suspects
}

func newDecisionBalancer(r *replay, e *entryInstance) *decisionBalancer {
	links := headroom.NewLinkBudgets(e.Region, r.trace.Links, func(string) int { return len(r.trace.Instances) })
	d := &decisionBalancer{
		replay: r, instance: e, rng: r.newRand(e.Name),
		tracker:              serverstate.NewTracker(),
		placer:               placement.NewPlacer(e.Instance),
		publisher:            headroom.NewPublisher(e.Name),
		reservations:         headroom.NewReservationHolder(links),
		budgets:              retry.NewBudgets(0, 0),
		suspects:             quarantine.NewTracker(),
		reportedTerminations: map[*backend]int{},
	}
	for _, b := range r.backends {
		d.tracker.AddServing(serverstate.Server{Name: b.name, Service: service, Zone: b.Zone, Probed: true}, r.virtualTime())
	}
	return d
}

func (d *decisionBalancer) recordRequest(q *request) {
	d.budgets.RecordRequest(q.Customer, service, d.replay.virtualTime())
}

// inputs returns the state that placement decisions depend on.
func (d *decisionBalancer) inputs() placement.Inputs {
	now := d.replay.virtualTime()
	spilloverErrors := make(map[string]error, len(d.replay.regions))
	for _, region := range d.replay.regions {
		if region != d.instance.Region && !d.replay.policy.NoSpillover {
			spilloverErrors[region] = d.reservations.Check(headroom.SpilloverRequest{Region: region, Service: service}, now)
		}
	}
	reserved := d.publisher.GrantedRequests(service, now)
	return placement.Inputs{States: d.tracker, Policy: d.replay.policy.Config, ReservedRequests: reserved, SpilloverErrors: spilloverErrors}
}

func (d *decisionBalancer) place(q *request) (*backend, error) {
	now := d.replay.virtualTime()
	choice := d.placer.Place(placement.Request{Service: service, Exclude: q.triedServers}, d.inputs(), d.rng, now)
	if err := choice.Err(service); err != nil {
		d.recordUnplaced(q, err)
		return nil, err
	}
	if err := d.suspects.Begin(q.fingerprint, choice.Server, now); err != nil {
		d.placer.RequestDone(choice.Server)
		return nil, err
	}
	if choice.Tier == placement.TierRemote {
		if err := d.reservations.Admit(headroom.SpilloverRequest{Region: choice.Region, Service: service}, now); err != nil {
			d.placer.RequestDone(choice.Server)
			d.suspects.End(q.fingerprint, choice.Server, false, now)
			return nil, err
		}
	}
	index := slices.IndexFunc(d.replay.backends, func(b *backend) bool { return b.name == choice.Server })
	return d.replay.backends[index], nil
}

// recordUnplaced records a request that found no server, which raises the reservation
// demand. It records a request only at its arrival, so that a waiting request counts once.
func (d *decisionBalancer) recordUnplaced(q *request, err error) {
	var noServer *placement.NoServerError
	if d.replay.elapsed == q.arrivedAt && errors.As(err, &noServer) && !noServer.CapacityReserved {
		d.reservations.RecordUnplaced(service, d.replay.trace.Servers[0].ServiceTime.Std(), d.replay.virtualTime())
	}
}

func (d *decisionBalancer) attemptEnded(q *request, k serverstate.EventKind, closing bool) (time.Duration, bool) {
	now, b := d.replay.virtualTime(), q.lastServer
	d.observe(serverstate.Event{Server: b.name, Kind: k, ConnectionClose: closing, Latency: d.replay.elapsed - q.sentAt})
	if k == serverstate.KindConnectionReset && b.refusesConnections() && d.reportedTerminations[b] != b.terminations {
		d.reportedTerminations[b] = b.terminations
		d.suspects.ServerCrashed(b.name, now)
		d.observe(serverstate.Event{Server: b.name, Kind: serverstate.KindConnectionRefused})
	}
	d.suspects.End(q.fingerprint, b.name, k == serverstate.KindSuccess, now)
	d.placer.RequestDone(b.name)
	if b.Region != d.instance.Region {
		d.reservations.Release(headroom.SpilloverRequest{Region: b.Region, Service: service})
	}
	if k == serverstate.KindSuccess {
		return 0, false
	}
	return d.retry(q, k, now)
}

// retryFailures maps the outcome of an attempt to the failure that package retry knows.
var retryFailures = map[serverstate.EventKind]retry.Failure{
	serverstate.KindConnectionRefused: retry.FailureConnectionRefused,
	serverstate.KindShedResponse:      retry.FailureShed,
	serverstate.KindConnectionReset:   retry.FailureConnectionReset,
}

func (d *decisionBalancer) retry(q *request, k serverstate.EventKind, now time.Time) (time.Duration, bool) {
	attempt := retry.Attempt{
		Customer: q.Customer, Service: service, Number: len(q.triedServers), Idempotent: q.Idempotent,
		NotSent: k == serverstate.KindConnectionRefused, BodyReplayable: true, Failure: retryFailures[k],
		Suspect: d.suspects.Crashes(q.fingerprint, now) > 0, Deadline: q.deadline,
	}
	if d.replay.policy.NoRetryBudget {
		return retry.Backoff(len(q.triedServers), d.rng), attempt.CheckRetryable() == nil
	}
	wait, err := d.budgets.NextRetry(attempt, retry.Hop{RoundTrip: 2 * regionalDelay}, now, d.rng)
	return wait, err == nil
}

func (d *decisionBalancer) observe(e serverstate.Event) {
	e.At = d.replay.virtualTime()
	// The replay observes only the servers that it added.
	_, _ = d.tracker.Observe(e)
}

// tick is called once per tickInterval. It applies the platform's listing, probes the
// servers, sends digests and lets the tracker's states expire.
func (d *decisionBalancer) tick() {
	for _, b := range d.replay.backends {
		d.updateServer(b)
	}
	if d.replay.instanceBehavior(BehaviorReportLoss, d.instance) == nil {
		for _, b := range d.replay.backends {
			d.probe(b)
		}
		d.sendDigests()
	}
	d.tracker.Tick(d.replay.virtualTime())
}

// probe calls the health endpoint of a server, which reports the server as healthy unless
// the server refuses connections.
func (d *decisionBalancer) probe(b *backend) {
	if b.refusesConnections() {
		d.observe(serverstate.Event{Server: b.name, Kind: serverstate.KindConnectionRefused})
		return
	}
	d.observe(serverstate.Event{Server: b.name, Kind: serverstate.KindProbe, Healthy: true})
}

// updateServer gives the placer the listed entry instances of the server's region, which
// share the server's slots.
func (d *decisionBalancer) updateServer(b *backend) {
	var sharingInstances []string
	for _, e := range d.replay.listedInstances() {
		if e.Region == b.Region {
			sharingInstances = append(sharingInstances, e.Name)
		}
	}
	server := config.BackendServer{Name: b.name, Service: service, Zone: b.Zone, Slots: b.Slots, Connections: b.Connections}
	d.placer.SetServer(server, b.Region, sharingInstances)
}

// digest is a message with the state of one entry instance to another.
type digest struct {
	sender            *entryInstance
	usage             []placement.ServerUsage
	serverStates      []serverstate.State // of the backends, in their order
	grantedRequests   int                 // reservation for the receiver
	reservationDemand int                 // in in-flight requests
	crashReports      []quarantine.SuspectReport
	age               time.Duration // at arrival
}

// sendDigests sends a digest to each instance of the region, and to half of the instances
// of other regions, which alternate. It is called each second, so an instance of another
// region gets a digest every other second.
func (d *decisionBalancer) sendDigests() {
	now := d.replay.virtualTime()
	message := digest{sender: d.instance, crashReports: d.suspects.Export(100, now), reservationDemand: d.reservations.Demand(service, now)}
	message.usage = d.placer.ServerUsages(func(string) int { return d.publisher.GrantedRequests(service, now) }, d.replay.policy.Config)
	for _, b := range d.replay.backends {
		message.serverStates = append(message.serverStates, d.tracker.StateForPeers(b.name))
	}
	if delay := d.replay.instanceBehavior(BehaviorReportDelay, d.instance); delay != nil {
		message.age = durationOfSeconds(delay.Value)
	}
	freeCapacity := d.placer.FreeCapacity(service, d.inputs(), now)
	var remoteInstances []string
	for _, e := range d.replay.listedInstances() {
		if e.Region != d.instance.Region {
			remoteInstances = append(remoteInstances, e.Name)
		}
	}
	for i, e := range d.replay.instances {
		remote := e.Region != d.instance.Region
		if e == d.instance || remote && (i+int(d.replay.elapsed/tickInterval))%2 == 0 {
			continue
		}
		copied := message
		if remote {
			copied.grantedRequests = d.publisher.Grant(service, e.Name, remoteInstances, freeCapacity, now)
		}
		d.replay.schedule(copied.age, func() { e.balancer.(*decisionBalancer).receiveDigest(copied) })
	}
}

// receiveDigest applies a digest: reservations and reservation demand of an instance of
// another region, or the server usage of an instance of the same region.
func (d *decisionBalancer) receiveDigest(in digest) {
	now := d.replay.virtualTime()
	d.suspects.Import(in.crashReports, in.age, now)
	for i, b := range d.replay.backends {
		d.observe(serverstate.Event{Server: b.name, Kind: serverstate.KindPeerReport, PeerState: in.serverStates[i]})
	}
	if in.sender.Region != d.instance.Region {
		d.publisher.SetDemand(service, in.sender.Name, in.reservationDemand, now)
		d.reservations.StoreReservation(headroom.ReceivedReservation{
			Publisher: in.sender.Name, Region: in.sender.Region, Service: service, Requests: in.grantedRequests, Age: in.age,
		}, now)
		return
	}
	for _, usage := range in.usage {
		d.placer.StorePeerUsage(in.sender.Name, usage.Server, usage.InFlight, in.age, now)
	}
}
