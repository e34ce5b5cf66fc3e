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

// service is the name of the only service of a replay.
const service = "service"

// decisionBalancer steers with the decision packages, as a daemon does.
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
	reportedTerminations map[*backend]int // deaths already reported to the ledger
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

func (d *decisionBalancer) inputs() placement.Inputs {
	now := d.replay.virtualTime()
	spill := make(map[string]error, len(d.replay.regions))
	for _, region := range d.replay.regions {
		if region != d.instance.Region && !d.replay.policy.NoSpill {
			spill[region] = d.reservations.Check(headroom.SpilloverRequest{Region: region, Service: service}, now)
		}
	}
	reserved := d.publisher.GrantedRequests(service, now)
	return placement.Inputs{States: d.tracker, Policy: d.replay.policy.Config, ReservedRequests: reserved, SpilloverErrors: spill}
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
	chosen := slices.IndexFunc(d.replay.backends, func(b *backend) bool { return b.name == choice.Server })
	return d.replay.backends[chosen], nil
}

// recordUnplaced counts a request that waits or is refused, once.
func (d *decisionBalancer) recordUnplaced(q *request, err error) {
	var full *placement.NoServerError
	if d.replay.elapsed == q.arrivedAt && errors.As(err, &full) && !full.CapacityReserved {
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

var retryFailures = map[serverstate.EventKind]retry.Failure{
	serverstate.KindConnectionRefused: retry.FailureConnectionRefused,
	serverstate.KindShedResponse:      retry.FailureShed,
	serverstate.KindConnectionReset:   retry.FailureConnectionReset,
}

func (d *decisionBalancer) retry(q *request, k serverstate.EventKind, now time.Time) (time.Duration, bool) {
	failed := retry.Attempt{
		Customer: q.Customer, Service: service, Number: len(q.triedServers), Idempotent: q.Idempotent,
		NotSent: k == serverstate.KindConnectionRefused, BodyReplayable: true, Failure: retryFailures[k],
		Suspect: d.suspects.Crashes(q.fingerprint, now) > 0, Deadline: q.deadline,
	}
	if d.replay.policy.NoRetryBudget {
		return retry.Backoff(len(q.triedServers), d.rng), failed.CheckRetryable() == nil
	}
	wait, err := d.budgets.NextRetry(failed, retry.Hop{RoundTrip: 2 * regionalDelay}, now, d.rng)
	return wait, err == nil
}

func (d *decisionBalancer) observe(e serverstate.Event) {
	e.At = d.replay.virtualTime()
	// The replay observes only the servers that it added.
	_, _ = d.tracker.Observe(e)
}

// tick applies the passing of a second: the list of instances, probes, digests.
func (d *decisionBalancer) tick() {
	for _, b := range d.replay.backends {
		d.updateServer(b)
	}
	if d.replay.instanceBehavior(KindBlind, d.instance) == nil {
		for _, b := range d.replay.backends {
			d.probe(b)
		}
		d.sendDigests()
	}
	d.tracker.Tick(d.replay.virtualTime())
}

// probe uses a health endpoint that says "fine" whenever it answers.
func (d *decisionBalancer) probe(b *backend) {
	if b.refusesConnections() {
		d.observe(serverstate.Event{Server: b.name, Kind: serverstate.KindConnectionRefused})
		return
	}
	d.observe(serverstate.Event{Server: b.name, Kind: serverstate.KindProbe, Healthy: true})
}

// updateServer divides a server among the listed entry instances of its region.
func (d *decisionBalancer) updateServer(b *backend) {
	var sharers []string
	for _, e := range d.replay.listedInstances() {
		if e.Region == b.Region {
			sharers = append(sharers, e.Name)
		}
	}
	server := config.BackendServer{Name: b.name, Service: service, Zone: b.Zone, Slots: b.Slots, Connections: b.Connections}
	d.placer.SetServer(server, b.Region, sharers)
}

// digest is what the entry instances tell each other.
type digest struct {
	sender            *entryInstance
	usage             []placement.ServerUsage
	serverStates      []serverstate.State // of the backends, in their order
	grantedRequests   int
	reservationDemand int
	crashReports      []quarantine.SuspectReport
	age               time.Duration // at arrival
}

// sendDigests sends the digest each second within the region, and every other second
// to each instance of other regions.
func (d *decisionBalancer) sendDigests() {
	now := d.replay.virtualTime()
	out := digest{sender: d.instance, crashReports: d.suspects.Export(100, now), reservationDemand: d.reservations.Demand(service, now)}
	out.usage = d.placer.UsageByServer(func(string) int { return d.publisher.GrantedRequests(service, now) }, d.replay.policy.Config)
	for _, b := range d.replay.backends {
		out.serverStates = append(out.serverStates, d.tracker.StateForPeers(b.name))
	}
	if late := d.replay.instanceBehavior(KindLag, d.instance); late != nil {
		out.age = durationOfSeconds(late.Value)
	}
	spare := d.placer.FreeCapacity(service, d.inputs(), now)
	var outside []string
	for _, e := range d.replay.listedInstances() {
		if e.Region != d.instance.Region {
			outside = append(outside, e.Name)
		}
	}
	for i, e := range d.replay.instances {
		far := e.Region != d.instance.Region
		if e == d.instance || far && (i+int(d.replay.elapsed/tickInterval))%2 == 0 {
			continue
		}
		sent := out
		if far {
			sent.grantedRequests = d.publisher.Grant(service, e.Name, outside, spare, now)
		}
		d.replay.schedule(sent.age, func() { e.balancer.(*decisionBalancer).receiveDigest(sent) })
	}
}

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
	for _, l := range in.usage {
		d.placer.StorePeerUsage(in.sender.Name, l.Server, l.InFlight, in.age, now)
	}
}
