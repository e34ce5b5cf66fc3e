package claims

import (
	"net/http"
	"testing"
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore"
	"github.com/shoenig/test/must"
)

// Guards against an answer that lets a request run again or hides that its key
// was reused.
func TestDecide(t *testing.T) {
	mine, other := FingerprintOf("POST", "/a", nil), FingerprintOf("POST", "/b", nil)
	const limit = time.Minute
	cases := []struct {
		name     string
		state    State
		own      Fingerprint
		claimant Liveness
		seen     time.Duration
		want     Decision
	}{
		{"new claim", StateClaimed, mine, LivenessUnknown, 0, DecisionInProgress},
		{"live claimant", StateClaimed, mine, ClaimantAlive, limit - 1, DecisionInProgress},
		{"silent claimant", StateClaimed, mine, LivenessUnknown, limit, DecisionOutcomeUnknown},
		{"gone claimant", StateClaimed, mine, ClaimantGone, 0, DecisionOutcomeUnknown},
		{"live claimant, old claim", StateClaimed, mine, ClaimantAlive, 24 * limit, DecisionOutcomeUnknown},
		{"outcome lost", StateUnknown, mine, ClaimantAlive, 0, DecisionOutcomeUnknown},
		{"done", StateDone, mine, ClaimantGone, 0, DecisionStoredResponse},
		{"released", StateReleased, mine, ClaimantAlive, 0, DecisionMayClaim},
		{"released by another request", StateReleased, other, ClaimantAlive, 0, DecisionMayClaim},
		{"claimed by another request", StateClaimed, other, ClaimantGone, 0, DecisionKeyReused},
		{"done by another request", StateDone, other, ClaimantAlive, 0, DecisionKeyReused},
		{"unknown, another request", StateUnknown, other, ClaimantAlive, 0, DecisionKeyReused},
		{"state of a newer release", "paused", mine, ClaimantGone, 0, DecisionOutcomeUnknown},
	}
	for _, tc := range cases {
		o := RowObservation{ClaimantLiveness: tc.claimant, UnchangedFor: tc.seen, InProgressTimeout: limit}
		got := Decide(mine, Record{State: tc.state, Fingerprint: tc.own}, o)
		must.Eq(t, tc.want, got, must.Sprint(tc.name))
	}
}

// Guards against sending or releasing in a phase where the other may have
// happened.
func TestPhases(t *testing.T) {
	now := time.Now()
	for p := phaseClaiming; p <= phaseRecording; p++ {
		must.Eq(t, p == phaseClaimed, mayStart(p, now, now.Add(1)))
		must.False(t, mayStart(p, now, now))
		must.Eq(t, p == phaseClaimed || p == phaseReleasing, mayRelease(p))
	}
}

// Guards against taking another writer's row for our own after a lost reply, and
// against giving up a write that may be sent again.
func TestFateOf(t *testing.T) {
	ids := []string{"a-1", "a-2"}
	must.Eq(t, fateApplied, fateOf(tablestore.Row{Version: 5, ChangeID: "a-2"}, 4, ids))
	must.Eq(t, fatePending, fateOf(tablestore.Row{Version: 4, ChangeID: "b-1"}, 4, ids))
	must.Eq(t, fatePending, fateOf(tablestore.Row{}, 0, ids))
	must.Eq(t, fateConflict, fateOf(tablestore.Row{Version: 5, ChangeID: "b-1"}, 4, ids))
	must.Eq(t, fateConflict, fateOf(tablestore.Row{Version: 5, ChangeID: "a-1"}, 4, nil))
}

// Guards against two requests with one fingerprint or two keys with one row.
func TestNames(t *testing.T) {
	seen := make(map[Fingerprint]bool)
	for _, parts := range [][3]string{{"POST", "/a", "b"}, {"POST", "/ab", ""}, {"POST/", "a", "b"}, {"PUT", "/a", "b"}} {
		seen[FingerprintOf(parts[0], parts[1], []byte(parts[2]))] = true
	}
	must.MapLen(t, 4, seen)
	a := Request{Customer: "a/b", Route: "c", IdempotencyKey: "k"}
	b := Request{Customer: "a", Route: "b/c", IdempotencyKey: "k"}
	must.NotEq(t, a.RowKey(), b.RowKey())
	must.StrHasPrefix(t, "claims/a%2Fb/c/", a.RowKey())
	for _, r := range []Request{{}, {Customer: "a"}, {Customer: "a", Route: "b"}} {
		mustBe[*InvalidRequestError](t, r.Validate())
	}
}

// Guards against rows that a newer or broken writer left and that would decode
// into a claim without an outcome.
func TestRecordFormat(t *testing.T) {
	r := Record{
		State:       StateDone,
		Fingerprint: FingerprintOf("POST", "/a", nil),
		Claimant:    Claimant{Instance: "a", BootID: 1 << 63},
		ClaimedAt:   1,
		Response:     &Response{Status: 200, Header: http.Header{"A": {"b"}}, Body: []byte{0, 255}},
	}
	got, err := DecodeRecord(r.Encode())
	must.NoError(t, err)
	must.Eq(t, r, got)
	for _, bad := range []string{"", "{}", `{"state":"done"}`, `{"state":"odd"}`, `{"state":"claimed","fingerprint":"ab"}`} {
		_, err := DecodeRecord([]byte(bad))
		mustBe[*FormatError](t, err)
	}
}

// Guards against removing a claim that still protects its key on a wall clock
// that differs by the margin.
func TestMayRemove(t *testing.T) {
	r := Record{ClaimedAt: 1000}
	end := time.Unix(1000, 0).Add(Retention + RetentionMargin)
	must.False(t, RetentionExpired(r, end.Add(-time.Second)))
	must.True(t, RetentionExpired(r, end))
	must.False(t, RetentionExpired(r, time.Unix(0, 0)))
}

// Guards against retries that overload a platform that comes back.
func TestRetryDelay(t *testing.T) {
	must.Eq(t, firstRetryDelay/2, retryDelay(0, 0))
	must.Less(t, firstRetryDelay, retryDelay(0, 0.99))
	for n := range 100 {
		must.LessEq(t, lastRetryDelay, retryDelay(n, 0.99))
		must.GreaterEq(t, retryDelay(n, 0), retryDelay(n+1, 0))
	}
}
