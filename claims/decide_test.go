package claims

import (
	"net/http"
	"testing"
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore"
	"github.com/shoenig/test/must"
)

// Guards against a decision that lets a request run again, or that hides that its
// idempotency key was reused for a different request.
func TestDecisionForExistingRow(t *testing.T) {
	same, other := FingerprintOf("POST", "/a", nil), FingerprintOf("POST", "/b", nil)
	const inProgressTimeout = time.Minute
	cases := []struct {
		name      string
		state     State
		claimed   Fingerprint
		claimant  Liveness
		unchanged time.Duration
		want      Decision
	}{
		{"recent claim, claimant of unknown liveness", StateClaimed, same, LivenessUnknown, 0, DecisionInProgress},
		{"recent claim, live claimant", StateClaimed, same, ClaimantAlive, inProgressTimeout - 1, DecisionInProgress},
		{"old claim, claimant of unknown liveness", StateClaimed, same, LivenessUnknown, inProgressTimeout, DecisionOutcomeUnknown},
		{"recent claim, claimant gone", StateClaimed, same, ClaimantGone, 0, DecisionOutcomeUnknown},
		{"old claim, live claimant", StateClaimed, same, ClaimantAlive, 24 * inProgressTimeout, DecisionOutcomeUnknown},
		{"outcome unknown", StateUnknown, same, ClaimantAlive, 0, DecisionOutcomeUnknown},
		{"done", StateDone, same, ClaimantGone, 0, DecisionStoredResponse},
		{"released", StateReleased, same, ClaimantAlive, 0, DecisionMayClaim},
		{"released, other fingerprint", StateReleased, other, ClaimantAlive, 0, DecisionMayClaim},
		{"claimed, other fingerprint", StateClaimed, other, ClaimantGone, 0, DecisionKeyReused},
		{"done, other fingerprint", StateDone, other, ClaimantAlive, 0, DecisionKeyReused},
		{"outcome unknown, other fingerprint", StateUnknown, other, ClaimantAlive, 0, DecisionKeyReused},
		{"state that only a newer version knows", "paused", same, ClaimantGone, 0, DecisionOutcomeUnknown},
	}
	for _, tc := range cases {
		o := RowObservation{ClaimantLiveness: tc.claimant, UnchangedFor: tc.unchanged, InProgressTimeout: inProgressTimeout}
		got := Decide(same, Record{State: tc.state, Fingerprint: tc.claimed}, o)
		must.Eq(t, tc.want, got, must.Sprint(tc.name))
	}
}

// Guards against sending a request that may have been released, and against releasing a
// claim whose request may have been sent.
func TestStartAndReleaseByPhase(t *testing.T) {
	now := time.Now()
	for p := phaseClaiming; p <= phaseRecording; p++ {
		must.Eq(t, p == phaseClaimed, mayStart(p, now, now.Add(1)))
		must.False(t, mayStart(p, now, now))
		must.Eq(t, p == phaseClaimed || p == phaseReleasing, mayRelease(p))
	}
}

// Guards against a row of another writer that is taken for the result of the write whose
// reply was lost, and against failing a write that may be sent again.
func TestWriteStatusOf(t *testing.T) {
	ids := []string{"a-1", "a-2"}
	must.Eq(t, writeApplied, writeStatusOf(tablestore.Row{Version: 5, ChangeID: "a-2"}, 4, ids))
	must.Eq(t, writeNotApplied, writeStatusOf(tablestore.Row{Version: 4, ChangeID: "b-1"}, 4, ids))
	must.Eq(t, writeNotApplied, writeStatusOf(tablestore.Row{}, 0, ids))
	must.Eq(t, writeConflict, writeStatusOf(tablestore.Row{Version: 5, ChangeID: "b-1"}, 4, ids))
	must.Eq(t, writeConflict, writeStatusOf(tablestore.Row{Version: 5, ChangeID: "a-1"}, 4, nil))
}

// Guards against different requests with equal fingerprints or equal row keys.
func TestFingerprintsAndRowKeysDoNotCollide(t *testing.T) {
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
		mustErrorAs[*InvalidRequestError](t, r.Validate())
	}
}

// Guards against invalid rows, written by a newer or faulty version, that decode without
// an error into a record in StateDone that has no response.
func TestDecodeRecord(t *testing.T) {
	r := Record{
		State:       StateDone,
		Fingerprint: FingerprintOf("POST", "/a", nil),
		Claimant:    Claimant{Instance: "a", BootID: 1 << 63},
		ClaimedAt:   1,
		Response:    &Response{Status: 200, Header: http.Header{"A": {"b"}}, Body: []byte{0, 255}},
	}
	got, err := DecodeRecord(r.Encode())
	must.NoError(t, err)
	must.Eq(t, r, got)
	for _, bad := range []string{"", "{}", `{"state":"done"}`, `{"state":"odd"}`, `{"state":"claimed","fingerprint":"ab"}`} {
		_, err := DecodeRecord([]byte(bad))
		mustErrorAs[*FormatError](t, err)
	}
}

// Guards against removing a claim row within the retention time by a wall clock that
// differs from the claimant's by up to the margin.
func TestRetentionExpiredIncludesClockMargin(t *testing.T) {
	r := Record{ClaimedAt: 1000}
	end := time.Unix(1000, 0).Add(Retention + RetentionMargin)
	must.False(t, RetentionExpired(r, end.Add(-time.Second)))
	must.True(t, RetentionExpired(r, end))
	must.False(t, RetentionExpired(r, time.Unix(0, 0)))
}

// Guards against retries that are so frequent that they overload a platform which
// recovers from an outage.
func TestRetryDelayGrowsToMaximum(t *testing.T) {
	must.Eq(t, minRetryDelay/2, retryDelay(0, 0))
	must.Less(t, minRetryDelay, retryDelay(0, 0.99))
	for n := range 100 {
		must.LessEq(t, maxRetryDelay, retryDelay(n, 0.99))
		must.GreaterEq(t, retryDelay(n, 0), retryDelay(n+1, 0))
	}
}
