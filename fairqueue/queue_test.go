package fairqueue

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/jacinthrack/jacinthrack/internal/proptest"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	proptest.Main(m)
}

var epoch = time.Unix(1_000_000, 0)

func submit(t *testing.T, q *Queue, customer string, weight float64) ID {
	t.Helper()
	result, err := q.Submit(Request{Customer: customer, Weight: weight}, epoch)
	must.NoError(t, err)
	return result.ID
}

// Customers must be served in proportion to their weights, whatever they send, and
// must not wait behind another customer's backlog.
func TestServiceFollowsWeights(t *testing.T) {
	cases := []struct {
		name            string
		heavy, light    float64 // weights
		backlog, served int
		wantLight       int
	}{
		{"equal weights", 1, 1, 40, 20, 10},
		{"light has three times the weight", 1, 3, 40, 20, 15},
		{"light has a quarter of the weight", 4, 1, 40, 20, 4},
	}
	for _, c := range cases {
		q := NewQueue(Bounds{MaxInFlight: 1, MaxWaitingPerCustomer: 100, MaxWaiting: 200, MaxWait: time.Hour})
		running := submit(t, q, "other", 1)
		customerOf := make(map[ID]string)
		for range c.backlog {
			customerOf[submit(t, q, "heavy", c.heavy)] = "heavy"
		}
		for range c.backlog {
			customerOf[submit(t, q, "light", c.light)] = "light"
		}
		light := 0
		for range c.served {
			started := q.Complete(running, epoch)
			must.Len(t, 1, started)
			running = started[0]
			if customerOf[running] == "light" {
				light++
			}
		}
		must.Between(t, c.wantLight-1, light, c.wantLight+1, must.Sprint(c.name))
	}
}

// Requests must be rejected when the expected wait is too long, when a queue bound
// is reached, and when their customer already has the longest backlog.
func TestRejections(t *testing.T) {
	bounds := Bounds{MaxInFlight: 2, MaxWaitingPerCustomer: 3, MaxWaiting: 4, MaxWait: time.Second}
	cases := []struct {
		name           string
		alreadyWaiting []string // customers of the requests already waiting
		serviceTime    time.Duration
		deadline       time.Duration
		customer       string
		want           Reason
	}{
		{"customer's queue is full", []string{"a", "a", "a"}, 0, 0, "a", ReasonCustomerQueueFull},
		{"total reached, all backlogs equal", []string{"a", "b", "c", "d"}, 0, 0, "e", ReasonQueueFull},
		{"total reached, own backlog is the longest", []string{"a", "a", "b", "c"}, 0, 0, "a", ReasonQueueFull},
		{"expected wait exceeds MaxWait", []string{"b"}, 1100 * time.Millisecond, 0, "a", ReasonExpectedWaitTooLong},
		{"expected wait exceeds the deadline", nil, 400 * time.Millisecond, 200 * time.Millisecond, "a", ReasonExpectedWaitExceedsDeadline},
		{"expected wait fits the deadline", nil, 400 * time.Millisecond, 201 * time.Millisecond, "a", ""},
	}
	for _, c := range cases {
		q := NewQueue(bounds)
		q.serviceTime.average = c.serviceTime
		submit(t, q, "x", 1)
		submit(t, q, "y", 1)
		for _, customer := range c.alreadyWaiting {
			submit(t, q, customer, 1)
		}
		r := Request{Customer: c.customer}
		if c.deadline > 0 {
			r.Deadline = epoch.Add(c.deadline)
		}
		_, err := q.Submit(r, epoch)
		rejected, _ := err.(*RefusedError)
		if c.want == "" {
			must.NoError(t, err, must.Sprint(c.name))
			continue
		}
		must.NotNil(t, rejected, must.Sprint(c.name))
		must.Eq(t, c.want, rejected.Reason, must.Sprint(c.name))
	}
}

// A full queue must accept a request of a customer with few waiters and displace
// the newest waiter of the longest backlog.
func TestFullQueueDisplacesLongestBacklog(t *testing.T) {
	q := NewQueue(Bounds{MaxInFlight: 1, MaxWaitingPerCustomer: 9, MaxWaiting: 3, MaxWait: time.Second})
	submit(t, q, "x", 1)
	submit(t, q, "b", 1)
	submit(t, q, "a", 1)
	newest := submit(t, q, "a", 1)
	result, err := q.Submit(Request{Customer: "c"}, epoch)
	must.NoError(t, err)
	must.Eq(t, newest, result.DisplacedID)
	must.Eq(t, 3, q.Waiting())
}

// In any order of arrivals, completions and cancellations the counts of requests in
// flight and waiting must be right, no request may wait while fewer than the maximum
// are in flight, and the queue must stay within its bounds.
func TestQueueStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := Bounds{
			MaxInFlight:           rapid.IntRange(1, 4).Draw(t, "in flight"),
			MaxWaitingPerCustomer: rapid.IntRange(1, 5).Draw(t, "per customer"),
			MaxWaiting:            rapid.IntRange(1, 8).Draw(t, "waiting"),
			MaxWait:               time.Minute,
		}
		q := NewQueue(bounds)
		now := epoch
		var inFlight, waiting []ID
		start := func(ids []ID) {
			for _, id := range ids {
				waiting = removeID(t, waiting, id)
				inFlight = append(inFlight, id)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				now = now.Add(time.Millisecond)
				r := Request{
					Customer: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "customer")),
					Weight:   rapid.Float64Range(-1, 10).Draw(t, "weight"),
					Cost:     rapid.Float64Range(-1, 10).Draw(t, "cost"),
				}
				result, err := q.Submit(r, now)
				switch {
				case err != nil:
				case result.Admitted:
					inFlight = append(inFlight, result.ID)
				default:
					waiting = append(waiting, result.ID)
				}
				if result.DisplacedID != 0 {
					waiting = removeID(t, waiting, result.DisplacedID)
				}
			},
			"done": func(t *rapid.T) {
				if len(inFlight) > 0 {
					id := rapid.SampledFrom(inFlight).Draw(t, "completed")
					inFlight = removeID(t, inFlight, id)
					start(q.Complete(id, now))
					start(q.Complete(id, now)) // a repeated Complete has no effect
				}
			},
			"cancel": func(t *rapid.T) {
				if len(waiting) > 0 {
					id := rapid.SampledFrom(waiting).Draw(t, "canceled")
					waiting = removeID(t, waiting, id)
					if !q.Cancel(id) || q.Cancel(id) {
						t.Fatalf("request %d was not canceled exactly once", id)
					}
				}
			},
			"": func(t *rapid.T) {
				if q.InFlight() != len(inFlight) || q.Waiting() != len(waiting) {
					t.Fatalf("%d in flight and %d waiting, want %d and %d", q.InFlight(), q.Waiting(), len(inFlight), len(waiting))
				}
				if len(inFlight) > bounds.MaxInFlight || len(waiting) > bounds.MaxWaiting {
					t.Fatalf("%d in flight and %d waiting, above the bounds", len(inFlight), len(waiting))
				}
				if len(waiting) > 0 && len(inFlight) < bounds.MaxInFlight {
					t.Fatalf("%d waiting although only %d in flight", len(waiting), len(inFlight))
				}
			},
		})
	})
}

func removeID(t *rapid.T, ids []ID, id ID) []ID {
	if !slices.Contains(ids, id) {
		t.Fatalf("request %d is not in %v", id, ids)
	}
	return slices.DeleteFunc(slices.Clone(ids), func(o ID) bool { return o == id })
}
