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

// decisions steers with the decision packages, as a daemon does.
type decisions struct {
	r         *replay
	e         *entryInstance
	rng       *rand.Rand
	tracker   *serverstate.Tracker
	book      *placement.Placer
	publisher *headroom.Publisher
	holder    *headroom.ReservationHolder
	budgets   *retry.Budgets
	ledger    *quarantine.Tracker
	deaths    map[*backend]int // deaths already reported to the ledger
}

func newDecisions(r *replay, e *entryInstance) *decisions {
	links := headroom.NewLinkBudgets(e.Region, r.trace.Links, func(string) int { return len(r.trace.Instances) })
	d := &decisions{
		r: r, e: e, rng: r.random(e.Name),
		tracker:   serverstate.NewTracker(),
		book:      placement.NewPlacer(e.Instance),
		publisher: headroom.NewPublisher(e.Name),
		holder:    headroom.NewReservationHolder(links),
		budgets:   retry.NewBudgets(0, 0),
		ledger:    quarantine.NewTracker(),
		deaths:    map[*backend]int{},
	}
	for _, b := range r.backends {
		d.tracker.AddServing(serverstate.Server{Name: b.name, Service: service, Zone: b.Zone, Probed: true}, r.time())
	}
	return d
}

func (d *decisions) request(q *request) { d.budgets.RecordRequest(q.Customer, service, d.r.time()) }

func (d *decisions) inputs() placement.Inputs {
	now := d.r.time()
	spill := make(map[string]error, len(d.r.regions))
	for _, region := range d.r.regions {
		if region != d.e.Region && !d.r.policy.NoSpillover {
			spill[region] = d.holder.Check(headroom.SpilloverRequest{Region: region, Service: service}, now)
		}
	}
	reserved := d.publisher.GrantedRequests(service, now)
	return placement.Inputs{States: d.tracker, Policy: d.r.policy.Config, ReservedRequests: reserved, SpilloverErrors: spill}
}

func (d *decisions) place(q *request) (*backend, error) {
	now := d.r.time()
	choice := d.book.Place(placement.Request{Service: service, Exclude: q.tried}, d.inputs(), d.rng, now)
	if err := choice.Err(service); err != nil {
		d.miss(q, err)
		return nil, err
	}
	if err := d.ledger.Begin(q.fingerprint, choice.Server, now); err != nil {
		d.book.RequestDone(choice.Server)
		return nil, err
	}
	if choice.Tier == placement.TierRemote {
		if err := d.holder.Admit(headroom.SpilloverRequest{Region: choice.Region, Service: service}, now); err != nil {
			d.book.RequestDone(choice.Server)
			d.ledger.End(q.fingerprint, choice.Server, false, now)
			return nil, err
		}
	}
	chosen := slices.IndexFunc(d.r.backends, func(b *backend) bool { return b.name == choice.Server })
	return d.r.backends[chosen], nil
}

// miss counts a request that waits or is refused, once.
func (d *decisions) miss(q *request, err error) {
	var full *placement.NoServerError
	if d.r.now == q.arrived && errors.As(err, &full) && !full.CapacityReserved {
		d.holder.RecordUnplaced(service, d.r.trace.Servers[0].ServiceTime.Std(), d.r.time())
	}
}

func (d *decisions) ended(q *request, k serverstate.EventKind, closing bool) (time.Duration, bool) {
	now, b := d.r.time(), q.server
	d.observe(serverstate.Event{Server: b.name, Kind: k, ConnectionClose: closing, Latency: d.r.now - q.sent})
	if k == serverstate.KindConnectionReset && b.down() && d.deaths[b] != b.deaths {
		d.deaths[b] = b.deaths
		d.ledger.ServerCrashed(b.name, now)
		d.observe(serverstate.Event{Server: b.name, Kind: serverstate.KindConnectionRefused})
	}
	d.ledger.End(q.fingerprint, b.name, k == serverstate.KindSuccess, now)
	d.book.RequestDone(b.name)
	if b.Region != d.e.Region {
		d.holder.Release(headroom.SpilloverRequest{Region: b.Region, Service: service})
	}
	if k == serverstate.KindSuccess {
		return 0, false
	}
	return d.retry(q, k, now)
}

var failures = map[serverstate.EventKind]retry.Failure{
	serverstate.KindConnectionRefused: retry.FailureConnectionRefused,
	serverstate.KindShedResponse:      retry.FailureShed,
	serverstate.KindConnectionReset:   retry.FailureConnectionReset,
}

func (d *decisions) retry(q *request, k serverstate.EventKind, now time.Time) (time.Duration, bool) {
	failed := retry.Attempt{
		Customer: q.Customer, Service: service, Number: len(q.tried), Idempotent: q.Idempotent,
		NotSent: k == serverstate.KindConnectionRefused, BodyReplayable: true, Failure: failures[k],
		Suspect: d.ledger.Crashes(q.fingerprint, now) > 0, Deadline: q.deadline,
	}
	if d.r.policy.NoRetryBudget {
		return retry.Backoff(len(q.tried), d.rng), failed.CheckRetryable() == nil
	}
	wait, err := d.budgets.NextRetry(failed, retry.Hop{RoundTrip: 2 * nearDelay}, now, d.rng)
	return wait, err == nil
}

func (d *decisions) observe(e serverstate.Event) {
	e.At = d.r.time()
	// The replay observes only the servers that it added.
	_, _ = d.tracker.Observe(e)
}

// tick applies the passing of a second: the list of instances, probes, digests.
func (d *decisions) tick() {
	for _, b := range d.r.backends {
		d.describe(b)
	}
	if d.r.affected(BehaviorReportLoss, d.e) == nil {
		for _, b := range d.r.backends {
			d.probe(b)
		}
		d.exchange()
	}
	d.tracker.Tick(d.r.time())
}

// probe uses a health endpoint that says "fine" whenever it answers.
func (d *decisions) probe(b *backend) {
	if b.down() {
		d.observe(serverstate.Event{Server: b.name, Kind: serverstate.KindConnectionRefused})
		return
	}
	d.observe(serverstate.Event{Server: b.name, Kind: serverstate.KindProbe, Healthy: true})
}

// describe divides a server among the listed entry instances of its region.
func (d *decisions) describe(b *backend) {
	var sharers []string
	for _, e := range d.r.listed() {
		if e.Region == b.Region {
			sharers = append(sharers, e.Name)
		}
	}
	server := config.BackendServer{Name: b.name, Service: service, Zone: b.Zone, Slots: b.Slots, Connections: b.Connections}
	d.book.SetServer(server, b.Region, sharers)
}

// digest is what the entry instances tell each other.
type digest struct {
	from    *entryInstance
	loads   []placement.ServerUsage
	states  []serverstate.State // of the backends, in their order
	granted int
	wanted  int
	deaths  []quarantine.SuspectReport
	age     time.Duration // at arrival
}

// exchange sends the digest each second within the region, and every other second
// to each instance of other regions.
func (d *decisions) exchange() {
	now := d.r.time()
	out := digest{from: d.e, deaths: d.ledger.Export(100, now), wanted: d.holder.Demand(service, now)}
	out.loads = d.book.UsageByServer(func(string) int { return d.publisher.GrantedRequests(service, now) }, d.r.policy.Config)
	for _, b := range d.r.backends {
		out.states = append(out.states, d.tracker.StateForPeers(b.name))
	}
	if late := d.r.affected(BehaviorReportDelay, d.e); late != nil {
		out.age = seconds(late.Value)
	}
	spare := d.book.FreeCapacity(service, d.inputs(), now)
	var outside []string
	for _, e := range d.r.listed() {
		if e.Region != d.e.Region {
			outside = append(outside, e.Name)
		}
	}
	for i, e := range d.r.entries {
		far := e.Region != d.e.Region
		if e == d.e || far && (i+int(d.r.now/tickInterval))%2 == 0 {
			continue
		}
		sent := out
		if far {
			sent.granted = d.publisher.Grant(service, e.Name, outside, spare, now)
		}
		d.r.after(sent.age, func() { e.steer.(*decisions).receive(sent) })
	}
}

func (d *decisions) receive(in digest) {
	now := d.r.time()
	d.ledger.Import(in.deaths, in.age, now)
	for i, b := range d.r.backends {
		d.observe(serverstate.Event{Server: b.name, Kind: serverstate.KindPeerReport, PeerState: in.states[i]})
	}
	if in.from.Region != d.e.Region {
		d.publisher.SetDemand(service, in.from.Name, in.wanted, now)
		d.holder.StoreReservation(headroom.ReceivedReservation{
			Publisher: in.from.Name, Region: in.from.Region, Service: service, Requests: in.granted, Age: in.age,
		}, now)
		return
	}
	for _, l := range in.loads {
		d.book.StorePeerUsage(in.from.Name, l.Server, l.InFlight, in.age, now)
	}
}
