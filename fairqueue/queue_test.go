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

var start = time.Unix(1_000_000, 0)

func arrive(t *testing.T, q *Queue, customer string, weight float64) ID {
	t.Helper()
	ticket, err := q.Submit(Request{Customer: customer, Weight: weight}, start)
	must.NoError(t, err)
	return ticket.ID
}

// Guards against service that follows what customers send instead of their
// weights, and against a customer that waits behind another one's backlog.
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
		running := arrive(t, q, "other", 1)
		owner := make(map[ID]string)
		for range c.backlog {
			owner[arrive(t, q, "heavy", c.heavy)] = "heavy"
		}
		for range c.backlog {
			owner[arrive(t, q, "light", c.light)] = "light"
		}
		light := 0
		for range c.served {
			granted := q.Complete(running, start)
			must.Len(t, 1, granted)
			running = granted[0]
			if owner[running] == "light" {
				light++
			}
		}
		must.Between(t, c.wantLight-1, light, c.wantLight+1, must.Sprint(c.name))
	}
}

// Guards against waits that are known to be too long, queues without a bound, and
// one customer that fills the queue for all.
func TestRefusals(t *testing.T) {
	bounds := Bounds{MaxInFlight: 2, MaxWaitingPerCustomer: 3, MaxWaiting: 4, MaxWait: time.Second}
	cases := []struct {
		name     string
		waiting  []string // customers that wait before
		service  time.Duration
		deadline time.Duration
		customer string
		want     Reason
	}{
		{"customer's queue is full", []string{"a", "a", "a"}, 0, 0, "a", ReasonCustomerQueueFull},
		{"total is full of small queues", []string{"a", "b", "c", "d"}, 0, 0, "e", ReasonQueueFull},
		{"total is full and own queue is the longest", []string{"a", "a", "b", "c"}, 0, 0, "a", ReasonQueueFull},
		{"expected wait exceeds the bound", []string{"b"}, 1100 * time.Millisecond, 0, "a", ReasonExpectedWaitTooLong},
		{"expected wait exceeds the deadline", nil, 400 * time.Millisecond, 200 * time.Millisecond, "a", ReasonExpectedWaitExceedsDeadline},
		{"expected wait fits the deadline", nil, 400 * time.Millisecond, 201 * time.Millisecond, "a", ""},
	}
	for _, c := range cases {
		q := NewQueue(bounds)
		q.service.average = c.service
		arrive(t, q, "x", 1)
		arrive(t, q, "y", 1)
		for _, customer := range c.waiting {
			arrive(t, q, customer, 1)
		}
		r := Request{Customer: c.customer}
		if c.deadline > 0 {
			r.Deadline = start.Add(c.deadline)
		}
		_, err := q.Submit(r, start)
		refused, _ := err.(*RefusedError)
		if c.want == "" {
			must.NoError(t, err, must.Sprint(c.name))
			continue
		}
		must.NotNil(t, refused, must.Sprint(c.name))
		must.Eq(t, c.want, refused.Reason, must.Sprint(c.name))
	}
}

// Guards against a full queue that shuts out a customer with few waiters.
func TestFullQueueDisplacesLongestCustomer(t *testing.T) {
	q := NewQueue(Bounds{MaxInFlight: 1, MaxWaitingPerCustomer: 9, MaxWaiting: 3, MaxWait: time.Second})
	arrive(t, q, "x", 1)
	arrive(t, q, "b", 1)
	arrive(t, q, "a", 1)
	newest := arrive(t, q, "a", 1)
	ticket, err := q.Submit(Request{Customer: "c"}, start)
	must.NoError(t, err)
	must.Eq(t, newest, ticket.DisplacedID)
	must.Eq(t, 3, q.Waiting())
}

// Guards against leaked or doubled permits, idle permits while requests wait, and
// queues above their bounds, in any order of arrivals, ends and cancellations.
func TestQueueKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := Bounds{
			MaxInFlight:  rapid.IntRange(1, 4).Draw(t, "in progress"),
			MaxWaitingPerCustomer: rapid.IntRange(1, 5).Draw(t, "per customer"),
			MaxWaiting:     rapid.IntRange(1, 8).Draw(t, "waiting"),
			MaxWait:     time.Minute,
		}
		q := NewQueue(bounds)
		now := start
		var running, waiting []ID
		grant := func(ids []ID) {
			for _, id := range ids {
				waiting = without(t, waiting, id)
				running = append(running, id)
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
				ticket, err := q.Submit(r, now)
				switch {
				case err != nil:
				case ticket.Admitted:
					running = append(running, ticket.ID)
				default:
					waiting = append(waiting, ticket.ID)
				}
				if ticket.DisplacedID != 0 {
					waiting = without(t, waiting, ticket.DisplacedID)
				}
			},
			"done": func(t *rapid.T) {
				if len(running) > 0 {
					id := rapid.SampledFrom(running).Draw(t, "ended")
					running = without(t, running, id)
					grant(q.Complete(id, now))
					grant(q.Complete(id, now)) // a second end has no effect
				}
			},
			"cancel": func(t *rapid.T) {
				if len(waiting) > 0 {
					id := rapid.SampledFrom(waiting).Draw(t, "canceled")
					waiting = without(t, waiting, id)
					if !q.Cancel(id) || q.Cancel(id) {
						t.Fatalf("request %d was not canceled exactly once", id)
					}
				}
			},
			"": func(t *rapid.T) {
				if q.InFlight() != len(running) || q.Waiting() != len(waiting) {
					t.Fatalf("%d run and %d wait, want %d and %d", q.InFlight(), q.Waiting(), len(running), len(waiting))
				}
				if len(running) > bounds.MaxInFlight || len(waiting) > bounds.MaxWaiting {
					t.Fatalf("%d run and %d wait, above the bounds", len(running), len(waiting))
				}
				if len(waiting) > 0 && len(running) < bounds.MaxInFlight {
					t.Fatalf("%d wait although only %d run", len(waiting), len(running))
				}
			},
		})
	})
}

func without(t *rapid.T, ids []ID, id ID) []ID {
	if !slices.Contains(ids, id) {
		t.Fatalf("request %d is not in %v", id, ids)
	}
	return slices.DeleteFunc(slices.Clone(ids), func(o ID) bool { return o == id })
}
