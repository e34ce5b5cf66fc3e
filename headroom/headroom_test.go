package headroom

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// requireRefused returns err as a *RefusedError. It fails the test if err is none, or does not
// report that the request was not run.
func requireRefused(t must.T, err error) *RefusedError {
	var refused *RefusedError
	must.True(t, errors.As(err, &refused))
	must.True(t, refused.NotRun())
	return refused
}

// Guards against reservations whose sum exceeds the free capacity, and against holders that
// use more than the publisher counts, when digests are lost or late, demand changes, and
// the free capacity falls.
func TestReservationsStayWithinFreeCapacity(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var outsiders []string
		holders := map[string]*ReservationHolder{}
		for i := range rapid.IntRange(1, 5).Draw(rt, "outsiders") {
			name := fmt.Sprint("entry-", i)
			outsiders = append(outsiders, name)
			holders[name] = NewReservationHolder(nil)
		}
		p := NewPublisher("publisher")
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 2500).Draw(rt, "ms")) * time.Millisecond
			to := rapid.SampledFrom(outsiders).Draw(rt, "to")
			p.SetDemand("svc", to, rapid.IntRange(0, 9).Draw(rt, "want"), at(now))
			free := rapid.IntRange(0, 20).Draw(rt, "free capacity")
			before := p.GrantedRequests("svc", at(now))
			granted := p.Grant("svc", to, outsiders, free, at(now))
			// Reservations granted before the free capacity fell cannot be revoked.
			if sum := p.GrantedRequests("svc", at(now)); sum > max(before, free) {
				rt.Fatalf("%d requests granted in total (%d before), free capacity %d", sum, before, free)
			}
			now += time.Duration(rapid.IntRange(0, 999).Draw(rt, "delay ms")) * time.Millisecond
			if rapid.Bool().Draw(rt, "arrives") {
				holders[to].StoreReservation(ReceivedReservation{Publisher: "publisher", Region: "r", Service: "svc", Requests: granted}, at(now))
			}
			sum := 0
			for _, h := range holders {
				sum += h.AllowedRequests("r", "svc", at(now))
			}
			if sum > p.GrantedRequests("svc", at(now)) {
				rt.Fatalf("holders may have %d requests in flight, publisher counts %d", sum, p.GrantedRequests("svc", at(now)))
			}
		}
	})
}

// Guards against the overload of the last region when two others lose all their servers and
// their instances have far more demand than it has free capacity. Requests beyond the
// reservations must get a *RefusedError, and at least a third of the free capacity must be
// used.
func TestTwoFailedRegionsDoNotOverloadTheThird(t *testing.T) {
	const freeEach, stepsPerSecond = 8, 200
	outsiders := []string{"hawassa-1", "hawassa-2", "mekelle-1", "mekelle-2"}
	publishers := []string{"addis-1", "addis-2", "addis-3"}
	holders := map[string]*ReservationHolder{}
	for _, name := range outsiders {
		holders[name] = NewReservationHolder(nil)
	}
	publisherByName := map[string]*Publisher{}
	for _, name := range publishers {
		publisherByName[name] = NewPublisher(name)
	}
	spill := SpilloverRequest{Region: "addis", Service: "svc"}
	running := map[time.Duration][]string{} // names of holders by the end time of the request
	inUse, peak, refused := 0, 0, 0
	for now := time.Duration(0); now < 30*time.Second; now += time.Second / stepsPerSecond {
		for _, name := range running[now] {
			holders[name].Release(spill)
			inUse--
		}
		for _, name := range outsiders {
			if now%(2*time.Second) == 0 {
				for _, from := range publishers {
					publisherByName[from].SetDemand("svc", name, holders[name].Demand("svc", at(now)), at(now))
					granted := publisherByName[from].Grant("svc", name, outsiders, freeEach, at(now))
					holders[name].StoreReservation(ReceivedReservation{Publisher: from, Region: "addis", Service: "svc", Requests: granted}, at(now))
				}
			}
			if err := holders[name].Admit(spill, at(now)); err != nil {
				requireRefused(t, err)
				refused++
				holders[name].RecordUnplaced("svc", time.Second, at(now))
				continue
			}
			inUse++
			peak = max(peak, inUse)
			end := now + time.Second
			running[end] = append(running[end], name)
		}
	}
	must.Less(t, len(publishers)*freeEach+1, peak)
	must.GreaterEq(t, len(publishers)*freeEach/3, peak)
	must.Positive(t, refused)
}

// Guards against the use of reservations after the publisher's digests have stopped, and
// against a wrong cause of a refusal.
func TestReservationExpiry(t *testing.T) {
	h := NewReservationHolder(nil)
	spill := SpilloverRequest{Region: "r", Service: "svc"}
	must.Eq(t, CauseNoReservation, requireRefused(t, h.Admit(spill, at(0))).Cause)
	h.StoreReservation(ReceivedReservation{Publisher: "p", Region: "r", Service: "svc", Requests: 6, Age: time.Second}, at(time.Second))
	last := 6
	for now := time.Second; now <= 6*time.Second; now += 100 * time.Millisecond {
		allowed := h.AllowedRequests("r", "svc", at(now))
		must.LessEq(t, last, allowed)
		last = allowed
	}
	must.Eq(t, 6, h.AllowedRequests("r", "svc", at(2*time.Second)))
	must.Eq(t, 0, h.AllowedRequests("r", "svc", at(ReservationLifetime)))
	must.Eq(t, 0, h.AllowedRequests("r", "svc", at(ReservationLifetime+time.Second)))
	must.Eq(t, CauseExpired, requireRefused(t, h.Admit(spill, at(ReservationLifetime))).Cause)
	must.NoError(t, h.Admit(spill, at(2*time.Second)))
	// An older reservation does not replace a newer one.
	h.StoreReservation(ReceivedReservation{Publisher: "p", Region: "r", Service: "svc", Requests: 1}, at(3*time.Second))
	h.StoreReservation(ReceivedReservation{Publisher: "p", Region: "r", Service: "svc", Requests: 6, Age: 2 * time.Second}, at(3*time.Second))
	refused := requireRefused(t, h.Admit(spill, at(3*time.Second)))
	must.Eq(t, CauseInUse, refused.Cause)
	must.Eq(t, 1, refused.InFlight)
	h.Release(spill)
	must.NoError(t, h.Admit(spill, at(3*time.Second)))
}

// Guards against reservations for instances without demand while others have some, and
// against demand that does not expire. It also guards against a wrong demand of requests that
// found no server: 40 of them with 50 ms each are 2 in-flight requests.
func TestReservationsFollowDemand(t *testing.T) {
	p := NewPublisher("p")
	outsiders := []string{"a", "b", "c"}
	p.SetDemand("svc", "b", 5, at(0))
	must.Eq(t, 0, p.Grant("svc", "a", outsiders, 12, at(0)))
	must.Eq(t, 5, p.Grant("svc", "b", outsiders, 12, at(0)))
	later := ReservationLifetime + publisherLifetimeMargin
	for _, name := range outsiders {
		must.Eq(t, 1, p.Grant("svc", name, outsiders, 12, at(later)))
	}
	h := NewReservationHolder(nil)
	for range 40 {
		h.RecordUnplaced("svc", 50*time.Millisecond, at(0))
	}
	must.Eq(t, 2, h.Demand("svc", at(time.Second)))
	must.Eq(t, 0, h.Demand("svc", at(3*time.Second)))
}

var links = []config.Link{{From: "addis", To: "mekelle", BitsPerSecond: 4_000_000_000}}

// Guards against more bytes on a link, uploads included, than the instance's rate allows plus
// one burst and one chunk, when the sender waits after each chunk as Charge returns.
func TestLinkBudget(t *testing.T) {
	const sharers = 5
	rate := 4e9 / 8 * usableLinkFraction / sharers
	rapid.Check(t, func(rt *rapid.T) {
		l := NewLinkBudgets("mekelle", links, func(string) int { return sharers })
		now, sent := time.Duration(0), 0.0
		direction := rapid.SampledFrom([]Direction{Outbound, Inbound}).Draw(rt, "direction")
		const maxChunkBytes = 1 << 20
		for range rapid.IntRange(1, 300).Draw(rt, "chunks") {
			chunk := rapid.Int64Range(1, maxChunkBytes).Draw(rt, "bytes")
			now += l.Charge("addis", direction, chunk, at(now))
			sent += float64(chunk)
			if limit := rate*(now+linkBurstTime).Seconds() + maxChunkBytes; sent > limit {
				rt.Fatalf("%v bytes sent in %s, limit is %v", sent, now, limit)
			}
		}
	})
}

// Guards against requests to a region whose link budget is used up or that has no link, and
// against transfers in one direction that use up the budget of the other.
func TestLinkRefusals(t *testing.T) {
	l := NewLinkBudgets("addis", links, func(string) int { return 1 })
	h := NewReservationHolder(l)
	h.StoreReservation(ReceivedReservation{Publisher: "p", Region: "mekelle", Service: "svc", Requests: 9}, at(0))
	spill := SpilloverRequest{Region: "mekelle", Service: "svc", UploadBytes: 10 << 30}
	must.NoError(t, h.Admit(spill, at(0)))
	wait := l.Charge("mekelle", Outbound, 200<<20, at(0))
	must.Positive(t, wait)
	refused := requireRefused(t, h.Admit(spill, at(0)))
	must.Eq(t, CauseLinkBudget, refused.Cause)
	must.Greater(t, wait, refused.RetryAfter)
	must.NoError(t, h.Admit(spill, at(refused.RetryAfter)))
	wait, err := l.StartDelay("mekelle", Inbound, 10<<20, at(0))
	must.NoError(t, err)
	must.Eq(t, 0, wait)
	must.Eq(t, CauseNoLink, requireRefused(t, h.Admit(SpilloverRequest{Region: "hawassa", Service: "svc"}, at(0))).Cause)
	// A negative balance survives a change of the number of sharers.
	l.Charge("mekelle", Outbound, 200<<20, at(time.Second))
	l.SetLinks("addis", links, func(string) int { return 2 })
	wait, err = l.StartDelay("mekelle", Outbound, 0, at(time.Second))
	must.NoError(t, err)
	must.Positive(t, wait)
}

// Guards against data races, and against more admitted requests than the reservation
// allows.
func TestConcurrentAdmit(t *testing.T) {
	h := NewReservationHolder(NewLinkBudgets("addis", links, func(string) int { return 1 }))
	h.StoreReservation(ReceivedReservation{Publisher: "p", Region: "mekelle", Service: "svc", Requests: 9}, at(0))
	var wg sync.WaitGroup
	admitted := make(chan bool, 100)
	for range 100 {
		wg.Go(func() {
			if h.Admit(SpilloverRequest{Region: "mekelle", Service: "svc"}, at(0)) == nil {
				admitted <- true
			}
		})
	}
	wg.Wait()
	must.Eq(t, 9, len(admitted))
}
