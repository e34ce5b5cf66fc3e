package balancer

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/forward"
	"github.com/jacinthrack/jacinthrack/limits"
	"github.com/jacinthrack/jacinthrack/peer/peerpb"
	"github.com/jacinthrack/jacinthrack/problem"
	"github.com/jacinthrack/jacinthrack/quarantine"
	"github.com/jacinthrack/jacinthrack/selector"
	"github.com/jacinthrack/jacinthrack/serverstate"
)

// shiftTokens is a source of tokens that admits a fixed number of shifted requests.
type shiftTokens struct{ remaining int }

func (t *shiftTokens) Allow(string, float64, time.Time) limits.Decision {
	t.remaining--
	return limits.Decision{Allowed: t.remaining >= 0}
}

var testZones = []config.Zone{
	{Name: "north-a", Region: "north"},
	{Name: "north-b", Region: "north"},
	{Name: "south-a", Region: "south"},
}

// testIndex returns a configuration with two servers in each zone, labelled tier=old
// and tier=new.
func testIndex(t *testing.T, shifts ...config.Shift) *config.Index {
	t.Helper()
	doc := &config.Document{
		Regions:  []config.Region{{Name: "north"}, {Name: "south"}},
		Zones:    testZones,
		Links:    []config.Link{{From: "north", To: "south", BitsPerSecond: 4e9}},
		Services: []config.Service{{Name: "stock"}},
		Routes:   []config.Route{{Name: "check", Service: "stock"}},
		Shifts:   shifts,
	}
	for _, zone := range testZones {
		for _, tier := range []string{"old", "new"} {
			doc.BackendServers = append(doc.BackendServers, config.BackendServer{
				Name: zone.Name + "-" + tier, Service: "stock", Zone: zone.Name, Address: "127.0.0.1:1",
				Slots: 10, Connections: 100, Labels: selector.Labels{"tier": tier},
			})
		}
	}
	return config.NewIndex(doc)
}

func newTestBalancer(t *testing.T, name, zone string, index *config.Index, tokens *shiftTokens) *Balancer {
	t.Helper()
	b := New(Options{
		InstanceName: name,
		Zone:         zone,
		Members: func() []Member {
			return []Member{{Name: "n1", Zone: "north-a"}, {Name: "s1", Zone: "south-a"}}
		},
		OnServerCrash: func() {},
		ShiftTokens:   tokens,
		Registry:      prometheus.NewRegistry(),
		Log:           slog.New(slog.DiscardHandler),
	})
	b.SetConfig(index, time.Now())
	return b
}

func pick(b *Balancer, fingerprint uint64) (*forward.PickedServer, *problem.Document) {
	route, _ := b.currentConfigState().index.Route("check")
	return b.Pick(context.Background(), forward.PickRequest{RequestID: fmt.Sprint(fingerprint), Route: &route, Fingerprint: fingerprint})
}

func mustSelector(t *testing.T, text string) selector.Selector {
	t.Helper()
	s, err := selector.Parse(text)
	must.NoError(t, err)
	return s
}

// A shift must not move more requests than it has tokens, and the other requests must
// stay at the old servers.
func TestShiftStaysWithinItsTokens(t *testing.T) {
	shift := config.Shift{
		Name: "to-new", Route: "check", Fraction: 1, CapPerSecond: 3,
		From: mustSelector(t, "tier=old"), To: mustSelector(t, "tier=new"),
	}
	b := newTestBalancer(t, "n1", "north-a", testIndex(t, shift), &shiftTokens{remaining: 3})
	shifted := 0
	for i := range 12 {
		p, rejection := pick(b, uint64(i)<<40)
		must.Nil(t, rejection)
		if p.Server.Labels["tier"] == "new" {
			shifted++
		}
	}
	must.Eq(t, 3, shifted)
}

// A shift must move its fraction of the requests, even if all have the same content.
func TestShiftFractionOfEqualRequests(t *testing.T) {
	shift := config.Shift{
		Name: "to-new", Route: "check", Fraction: 0.25, CapPerSecond: 1000,
		From: mustSelector(t, "tier=old"), To: mustSelector(t, "tier=new"),
	}
	b := newTestBalancer(t, "n1", "north-a", testIndex(t, shift), &shiftTokens{remaining: 1000})
	route, _ := b.currentConfigState().index.Route("check")
	shifted := 0
	const requests = 400
	for i := range requests {
		pickReq := forward.PickRequest{RequestID: fmt.Sprint(i), Route: &route, Fingerprint: 7}
		if b.placementRequest(b.currentConfigState(), pickReq, time.Now()).Shift != nil {
			shifted++
		}
	}
	// Five standard deviations around a quarter of the requests.
	must.Between(t, requests/4-44, shifted, requests/4+44)
}

// A waiting request must take one token of a shift, not one per placement attempt.
func TestWaitingRequestTakesOneShiftToken(t *testing.T) {
	shift := config.Shift{
		Name: "to-new", Route: "check", Fraction: 1, CapPerSecond: 1000,
		From: mustSelector(t, "tier=old"), To: mustSelector(t, "tier=new"),
	}
	index := testIndex(t, shift)
	tokens := &shiftTokens{remaining: 1000}
	b := newTestBalancer(t, "n1", "north-a", index, tokens)
	for rejection := (*problem.Document)(nil); rejection == nil; {
		_, rejection = pick(b, 1)
	}
	index.Document().Policy.QueueWait = config.Duration(10 * capacityCheckInterval)
	before := tokens.remaining
	_, rejection := pick(b, 1)
	must.NotNil(t, rejection)
	must.Eq(t, 1, before-tokens.remaining)
}

// Every attempt must be counted once and must no longer be counted after its end.
func TestInFlightCountsReturnToZero(t *testing.T) {
	b := newTestBalancer(t, "n1", "north-a", testIndex(t), &shiftTokens{})
	var picks []*forward.PickedServer
	for {
		p, rejection := pick(b, uint64(len(picks)))
		if rejection != nil {
			must.Eq(t, problem.DidNotRun, rejection.Ran)
			must.Eq(t, problem.TypeOverloaded, rejection.Type)
			break
		}
		picks = append(picks, p)
	}
	// The instance is the only one of its region: it may use 9 of 10 slots at 4 servers.
	must.LessEq(t, 36, len(picks))
	must.Positive(t, len(picks))
	for _, p := range picks {
		must.False(t, p.Done(forward.AttemptResult{MaybeSent: true, Status: http.StatusOK}))
	}
	for _, s := range b.Status(time.Now()) {
		must.Eq(t, 0, s.InFlight, must.Sprintf("server %s", s.Server))
	}
}

// Each result of an attempt must become the right event for the server state, or none.
func TestServerEvent(t *testing.T) {
	broken := io.ErrUnexpectedEOF
	cases := []struct {
		name   string
		result forward.AttemptResult
		want   serverstate.EventKind // 0 for no event
	}{
		{"refused", forward.AttemptResult{Err: broken}, serverstate.KindConnectionRefused},
		{"reset", forward.AttemptResult{MaybeSent: true, Err: broken}, serverstate.KindConnectionReset},
		{"truncated", forward.AttemptResult{MaybeSent: true, Status: 200, Err: broken}, serverstate.KindConnectionReset},
		{"shed", forward.AttemptResult{MaybeSent: true, Status: 503}, serverstate.KindShedResponse},
		{"too many requests", forward.AttemptResult{MaybeSent: true, Status: 429}, serverstate.KindShedResponse},
		{"server error", forward.AttemptResult{MaybeSent: true, Status: 500}, serverstate.KindServerError},
		{"not found", forward.AttemptResult{MaybeSent: true, Status: 404}, serverstate.KindSuccess},
		{"caller disconnected", forward.AttemptResult{MaybeSent: true}, 0},
		{"not started", forward.AttemptResult{}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			event, ok := serverEvent("s", c.result, time.Now())
			must.Eq(t, c.want != 0, ok)
			if ok {
				must.Eq(t, c.want, event.Kind)
			}
		})
	}
}

// Requests must spill over to another region within a reservation, and only then.
func TestSpilloverNeedsReservation(t *testing.T) {
	index := testIndex(t)
	north := newTestBalancer(t, "n1", "north-a", index, &shiftTokens{})
	south := newTestBalancer(t, "s1", "south-a", index, &shiftTokens{})
	now := time.Now()
	for _, zone := range testZones[:2] {
		for _, tier := range []string{"old", "new"} {
			north.observe(serverstate.Event{Server: zone.Name + "-" + tier, Kind: serverstate.KindPeerReport, At: now, PeerState: serverstate.Draining})
		}
	}
	_, rejection := pick(north, 1)
	must.NotNil(t, rejection)
	must.Eq(t, problem.DidNotRun, rejection.Ran)

	south.MergeReservationDemand("n1", []*peerpb.Want{{Service: "stock", Requests: 2}}, now)
	north.MergeReservations("s1", "south-a", south.Reservations("n1", now), 0, now)
	for i := range 3 {
		p, rejection := pick(north, uint64(i))
		if i == 2 {
			must.NotNil(t, rejection)
			break
		}
		must.Nil(t, rejection)
		must.Eq(t, "south-a", p.Server.Zone)
		must.NotNil(t, p.Charge)
	}
}

// A crash must be counted once for a request in flight, also if another instance
// reports it repeatedly.
func TestCrashIsCountedOnce(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, closed.Close())
	index := testIndex(t)
	for i := range index.Document().BackendServers {
		index.Document().BackendServers[i].Address = closed.Addr().String()
	}
	b := newTestBalancer(t, "n1", "north-a", index, &shiftTokens{})
	first, rejection := pick(b, 1)
	must.Nil(t, rejection)
	result := forward.AttemptResult{MaybeSent: true, Err: io.ErrUnexpectedEOF}
	must.False(t, first.Done(result))
	must.Eq(t, 1, b.quarantine.Crashes(quarantine.Fingerprint(1), time.Now()))
	reports := b.SuspectReports(time.Now())
	must.Len(t, 1, reports)
	for range 2 {
		b.MergeSuspectReports(reports, 0, time.Now())
	}
	must.Eq(t, 1, b.quarantine.Crashes(quarantine.Fingerprint(1), time.Now()))
}

// A configuration without a server must remove it, and counts of the remaining servers
// must survive the change.
func TestConfigurationChangeRemovesServers(t *testing.T) {
	b := newTestBalancer(t, "n1", "north-a", testIndex(t), &shiftTokens{})
	p, rejection := pick(b, 1)
	must.Nil(t, rejection)
	index := testIndex(t)
	doc := index.Document()
	doc.BackendServers = doc.BackendServers[:1]
	b.SetConfig(config.NewIndex(doc), time.Now())
	status := b.Status(time.Now())
	must.Len(t, 1, status)
	must.Eq(t, doc.BackendServers[0].Name, status[0].Server)
	p.Done(forward.AttemptResult{MaybeSent: true, Status: http.StatusOK})
	must.Eq(t, 0, b.Status(time.Now())[0].InFlight)
}
