package placement

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/selector"
	"github.com/jacinthrack/jacinthrack/serverstate"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var (
	epoch = time.Unix(1_000_000, 0)
	// allSlots is a policy that allows to use every slot.
	allSlots = config.Policy{MaxUtilization: 1}
)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

func mustSelector(t must.T, text string) selector.Selector {
	s, err := selector.Parse(text)
	must.NoError(t, err)
	return s
}

// allServing reports every server as serving with full weight.
type allServing struct{}

func (allServing) Weight(string, time.Time) (float64, serverstate.Reason) {
	return 1, serverstate.Reason{Code: serverstate.CodeServing}
}
func (allServing) Latency(string) time.Duration { return 0 }

// Checks that each rule rejects a candidate with its own reason. In each case a second
// server can take the request.
func TestRejectionReasons(t *testing.T) {
	noSpillover := errors.New("no headroom")
	cases := []struct {
		name   string
		change func(c *Candidate)
		want   Reason
	}{
		{"labels", func(c *Candidate) { c.Labels = selector.Labels{"tier": "canary"} }, RejectedSelector},
		{"state", func(c *Candidate) { c.Weight = 0 }, RejectedState},
		{"already failed this request", func(c *Candidate) { c.Server = "tried" }, RejectedAlreadyTried},
		{"slots used by own requests", func(c *Candidate) { c.InFlight = 4 }, RejectedSlotsInUse},
		{"slots used by reported requests", func(c *Candidate) { c.PeerUsage = []PeerUsage{{InFlight: 4}} }, RejectedSlotsInUse},
		{"slots used according to an aged report", func(c *Candidate) { c.InFlight = 3; c.PeerUsage = []PeerUsage{{InFlight: 1, Age: 2 * time.Second}} }, RejectedSlotsInUse},
		{"static share in use without reports", func(c *Candidate) { c.InFlight = 2; c.UnreportedShare = 2 }, RejectedStaticShareInUse},
		{"static share in use with old reports", func(c *Candidate) { c.InFlight = 2; c.PeerUsage = []PeerUsage{{StaticShare: 2, Age: time.Minute}} }, RejectedStaticShareInUse},
		{"slow start limit reached", func(c *Candidate) { c.InFlight = 1; c.Weight = 0.1 }, RejectedSlowStart},
		{"connections", func(c *Candidate) { c.OpenConnections = 10; c.ConnectionShare = 10 }, RejectedNoConnection},
		{"spillover to region not allowed", func(c *Candidate) { c.Region, c.Zone = "far", "far-a" }, RejectedSpillover},
		{"region without spillover entry", func(c *Candidate) { c.Region, c.Zone = "lost", "lost-a" }, RejectedSpillover},
		{"farther zone", func(c *Candidate) { c.Zone = "b" }, RejectedFarther},
		{"more loaded", func(c *Candidate) { c.InFlight = 3 }, RejectedMoreLoaded},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			candidate := func(name string) Candidate {
				return Candidate{Server: name, Zone: "a", Region: "r", Slots: 4, MaxConnections: 10, Weight: 1}
			}
			v := View{Zone: "a", Region: "r", Policy: allSlots, SpilloverErrors: map[string]error{"far": noSpillover}}
			v.Candidates = []Candidate{candidate("x"), candidate("other")}
			c.change(&v.Candidates[0])
			req := Request{Selector: mustSelector(t, "tier!=canary"), Exclude: []string{"tried"}}
			d := Choose(req, v, newRand())
			must.Eq(t, "other", d.Server)
			must.SliceLen(t, 1, d.Rejections)
			must.Eq(t, c.want, d.Rejections[0].Reason)
			must.Eq(t, v.Candidates[0].Server, d.Rejections[0].Server)
			must.NotEq(t, "unknown", d.Rejections[0].Reason.String())
			// Without the second server the result is a typed error that says that the
			// request was not run.
			v.Candidates = v.Candidates[:1]
			if c.want == RejectedFarther || c.want == RejectedMoreLoaded {
				return
			}
			var none *NoServerError
			must.True(t, errors.As(Choose(req, v, newRand()).Err("svc"), &none))
			must.True(t, none.NotRun())
			// From RejectedSlotsInUse on, the remaining reasons are for lack of capacity.
			must.Eq(t, c.want >= RejectedSlotsInUse, none.Overloaded)
		})
	}
}

// drawView returns a random View with up to 30 servers in two zones of the own region and
// one zone of another region.
func drawView(rt *rapid.T) View {
	v := View{Zone: "a", Region: "r", Policy: allSlots, SpilloverErrors: map[string]error{}}
	if rapid.Bool().Draw(rt, "spill") {
		v.SpilloverErrors["far"] = nil
	}
	v.ReservedRequests = rapid.IntRange(0, 4).Draw(rt, "reserved")
	for i := range rapid.IntRange(0, 30).Draw(rt, "servers") {
		c := Candidate{Server: fmt.Sprint("s", i), Zone: "a", Region: "r", MaxConnections: 9}
		switch rapid.IntRange(0, 2).Draw(rt, "place") {
		case 1:
			c.Zone = "b"
		case 2:
			c.Zone, c.Region = "far-a", "far"
		}
		c.Slots = rapid.IntRange(1, 6).Draw(rt, "slots")
		c.Weight = rapid.SampledFrom([]float64{0, 0.1, 0.5, 1, 1}).Draw(rt, "weight")
		c.InFlight = rapid.IntRange(0, 6).Draw(rt, "in use")
		for range rapid.IntRange(0, 2).Draw(rt, "others") {
			c.PeerUsage = append(c.PeerUsage, PeerUsage{
				InFlight:    rapid.IntRange(0, 4).Draw(rt, "reported"),
				StaticShare: rapid.IntRange(0, 3).Draw(rt, "share"),
				Age:         time.Duration(rapid.IntRange(0, 9000).Draw(rt, "age ms")) * time.Millisecond,
			})
		}
		v.Candidates = append(v.Candidates, c)
	}
	return v
}

// Checks that a chosen server has a free slot by the known counts, that no server is
// rejected as farther that is not farther than the chosen one, and that every other candidate
// has a rejection.
func TestChooseRespectsSlotsAndTiers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		v := drawView(rt)
		d := Choose(Request{}, v, newRand())
		byName := map[string]Candidate{}
		for _, c := range v.Candidates {
			byName[c.Server] = c
		}
		listed := len(d.Rejections)
		for _, r := range d.Rejections {
			must.NotEq(rt, d.Server, r.Server)
			c := byName[r.Server]
			if r.Reason == RejectedFarther && tierOf(&c, v) <= d.Tier {
				rt.Fatalf("server %s was rejected as farther, but is not farther than the chosen server %s", r.Server, d.Server)
			}
		}
		if d.Server == "" {
			must.Eq(rt, len(v.Candidates), listed)
			return
		}
		must.Eq(rt, len(v.Candidates)-1, listed)
		c := byName[d.Server]
		known := float64(c.InFlight)
		for _, u := range c.PeerUsage {
			known += reportWeight(u.Age) * float64(u.InFlight)
		}
		if known+1 > float64(c.Slots)+1e-6 || c.Weight == 0 {
			rt.Fatalf("server %s chosen with %v of %d slots in use and weight %v", d.Server, known, c.Slots, c.Weight)
		}
	})
}

// Guards against overload when reports stop: whatever the instances last reported, they
// together send each server some requests and at most as many as it has slots.
func TestStaticSharesWithoutReports(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(rt, "instances")
		slots := rapid.IntRange(1, 9).Draw(rt, "slots")
		var names []string
		for i := range n {
			names = append(names, fmt.Sprint("entry-", i))
		}
		rng := newRand()
		total := map[string]int{}
		for _, name := range names {
			p := NewPlacer(Instance{Name: name, Zone: "a", Region: "r"})
			for s := range 5 {
				server := config.BackendServer{Name: fmt.Sprint("s", s), Service: "svc", Zone: "a", Slots: slots, Connections: 100}
				p.SetServer(server, "r", names)
				for _, other := range names {
					p.StorePeerUsage(other, server.Name, rapid.IntRange(0, 2).Draw(rt, "report"), 0, epoch)
				}
			}
			later := epoch.Add(time.Minute)
			for {
				d := p.Place(Request{Service: "svc"}, Inputs{States: allServing{}, Policy: allSlots}, rng, later)
				if d.Server == "" {
					break
				}
				total[d.Server]++
			}
		}
		for server, inUse := range total {
			if inUse > slots {
				rt.Fatalf("server %s has %d in-flight requests in %d slots", server, inUse, slots)
			}
		}
		must.MapLen(rt, min(5, 5*slots), total) // each server got requests
	})
}

// Checks that only a request admitted by a traffic shift goes to the shift's servers, and
// that it falls back to the route's servers if those of the shift are full.
func TestTrafficShift(t *testing.T) {
	shift := &config.Shift{To: mustSelector(t, "tier=new")}
	req := Request{Selector: mustSelector(t, "tier=old")}
	v := View{Zone: "a", Region: "r", Policy: allSlots, Candidates: []Candidate{
		{Server: "old", Zone: "a", Region: "r", Labels: selector.Labels{"tier": "old"}, Slots: 4, MaxConnections: 9, Weight: 1},
		{Server: "new", Zone: "a", Region: "r", Labels: selector.Labels{"tier": "new"}, Slots: 4, MaxConnections: 9, Weight: 1},
	}}
	d := Choose(req, v, newRand())
	must.Eq(t, "old", d.Server)
	must.False(t, d.Shifted)
	req.Shift = shift
	d = Choose(req, v, newRand())
	must.Eq(t, "new", d.Server)
	must.True(t, d.Shifted)
	v.Candidates[1].InFlight = 4
	d = Choose(req, v, newRand())
	must.Eq(t, "old", d.Server)
	must.False(t, d.Shifted)
}

// Guards against local requests that take capacity reserved for other regions.
func TestReservedCapacityStaysFree(t *testing.T) {
	p := NewPlacer(Instance{Name: "e", Zone: "a", Region: "r"})
	p.SetServer(config.BackendServer{Name: "s", Service: "svc", Zone: "a", Slots: 4, Connections: 9}, "r", []string{"e"})
	in := Inputs{States: allServing{}, Policy: allSlots, ReservedRequests: 3}
	must.Eq(t, "s", p.Place(Request{Service: "svc"}, in, newRand(), epoch).Server)
	d := p.Place(Request{Service: "svc"}, in, newRand(), epoch)
	must.SliceLen(t, 1, d.Rejections)
	must.Eq(t, RejectedReserved, d.Rejections[0].Reason)
	var none *NoServerError
	must.True(t, errors.As(d.Err("svc"), &none))
	must.True(t, none.CapacityReserved)
	must.Eq(t, []ServerUsage{{Server: "s", InFlight: 4}}, p.ServerUsages(func(string) int { return 3 }, allSlots))
}

// Guards against two instances of a region that both count the same free slot as theirs
// and grant it to other regions.
func TestFreeCapacityIsCountedOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		names := []string{"x", "y", "z"}
		slots := rapid.IntRange(1, 9).Draw(rt, "slots")
		used := map[string]int{}
		left := slots
		for _, name := range names {
			used[name] = rapid.IntRange(0, left).Draw(rt, name)
			left -= used[name]
		}
		sum := 0
		for _, name := range names {
			p := NewPlacer(Instance{Name: name, Zone: "a", Region: "r"})
			p.SetServer(config.BackendServer{Name: "s", Service: "svc", Zone: "a", Slots: slots, Connections: 99}, "r", names)
			p.servers["s"].inFlight = used[name]
			for _, other := range names {
				p.StorePeerUsage(other, "s", used[other], 0, epoch)
			}
			sum += p.FreeCapacity("svc", Inputs{States: allServing{}, Policy: allSlots}, epoch)
		}
		if sum > left {
			rt.Fatalf("instances count %d free slots, but only %d are free; in-flight requests by instance: %v", sum, left, used)
		}
	})
}

// Checks that a server with a low weight gets some requests, but fewer than the others, and
// that equal servers get similar numbers of requests.
func TestRequestsFollowWeight(t *testing.T) {
	rng := newRand()
	count := func(weight float64) (chosen int) {
		v := View{Zone: "a", Region: "r", Policy: allSlots}
		for i := range 4 {
			v.Candidates = append(v.Candidates, Candidate{
				Server: fmt.Sprint("s", i), Zone: "a", Region: "r", Slots: 4, MaxConnections: 9, Weight: 1,
			})
		}
		v.Candidates[0].Weight = weight
		for range 1000 {
			if Choose(Request{}, v, rng).Server == "s0" {
				chosen++
			}
		}
		return chosen
	}
	must.Between(t, 20, count(0.2), 120)
	must.Between(t, 150, count(1), 350)
}

// Guards against two concurrent requests that take the same last slot.
func TestConcurrentPlace(t *testing.T) {
	p := NewPlacer(Instance{Name: "e", Zone: "a", Region: "r"})
	for i := range 3 {
		p.SetServer(config.BackendServer{Name: fmt.Sprint("s", i), Service: "svc", Zone: "a", Slots: 4, Connections: 99}, "r", []string{"e"})
	}
	rng := newRand()
	var wg sync.WaitGroup
	placed := make(chan string, 100)
	for range 100 {
		wg.Go(func() {
			in := Inputs{States: allServing{}, Policy: allSlots}
			if d := p.Place(Request{Service: "svc"}, in, rng, epoch); d.Server != "" {
				placed <- d.Server
			}
		})
	}
	wg.Wait()
	must.Eq(t, 12, len(placed))
	for range 12 {
		p.RequestDone(<-placed)
	}
	must.Eq(t, []ServerUsage{{Server: "s0"}, {Server: "s1"}, {Server: "s2"}}, p.ServerUsages(func(string) int { return 0 }, allSlots))
}

// BenchmarkPlace100 places one request among 100 servers with 16 reporting instances.
func BenchmarkPlace100(b *testing.B) {
	placer := NewPlacer(Instance{Name: "e0", Zone: "a", Region: "r"})
	var names []string
	for i := range 17 {
		names = append(names, fmt.Sprint("e", i))
	}
	for i := range 100 {
		name := fmt.Sprint("s", i)
		placer.SetServer(config.BackendServer{Name: name, Service: "svc", Zone: "a", Slots: 40, Connections: 330}, "r", names)
		for _, other := range names {
			placer.StorePeerUsage(other, name, 1, 0, epoch)
		}
	}
	rng := newRand()
	in := Inputs{States: allServing{}, Policy: allSlots}
	b.ReportAllocs()
	for b.Loop() {
		placer.RequestDone(placer.Place(Request{Service: "svc"}, in, rng, epoch).Server)
	}
}
