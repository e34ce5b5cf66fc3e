package claims

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"
)

// State is the state of a claim row.
type State string

// Claim states.
const (
	// StateClaimed: the request may be running, or may have run.
	StateClaimed State = "claimed"
	// StateDone: the request ran and its outcome is stored.
	StateDone State = "done"
	// StateUnknown: the request was sent and its outcome will never be known.
	StateUnknown State = "unknown"
	// StateReleased: nothing was sent; the key may be claimed again.
	StateReleased State = "released"
)

// Claimant identifies the process that holds a claim.
type Claimant struct {
	Instance string `json:"instance"`
	BootID   uint64 `json:"boot_id"`
}

// Record is the value of a claim row.
type Record struct {
	State       State       `json:"state"`
	Fingerprint Fingerprint `json:"fingerprint"`
	Claimant    Claimant    `json:"claimant"`
	// ClaimedAt is the claimant's wall clock in Unix seconds. Only the
	// retention rule uses it.
	ClaimedAt int64 `json:"claimed_at"`
	// Response is set in StateDone when the outcome is stored in the row.
	Response *Response `json:"outcome,omitempty"`
	// ResponseObject is set in StateDone when the outcome is in the object store.
	ResponseObject *ObjectRef `json:"object,omitempty"`
}

// Response is the complete response of the backend server.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// Size returns the bytes of header and body.
func (o Response) Size() int {
	size := len(o.Body)
	for name, values := range o.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return size
}

// ObjectRef names an outcome in the object store.
type ObjectRef struct {
	Name   string `json:"name"`
	SHA256 string `json:"sha256"`
}

// matches reports whether data is the object that was stored.
func (r ObjectRef) matches(data []byte) bool { return r.SHA256 == hexSum(data) }

func hexSum(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Encode returns the row value of the record.
func (r Record) Encode() []byte { return mustMarshal(r) }

// DecodeRecord parses a row value. It returns *FormatError.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, &FormatError{What: "claim row", Err: err}
	}
	switch r.State {
	case StateClaimed, StateUnknown, StateReleased:
		return r, nil
	case StateDone:
		if (r.Response == nil) == (r.ResponseObject == nil) {
			return Record{}, &FormatError{What: "outcome of claim row"}
		}
		return r, nil
	}
	return Record{}, &FormatError{What: "state of claim row"}
}

// RetentionExpired reports whether a row is past its retention time. wall is the wall
// clock of the instance that removes rows.
func RetentionExpired(r Record, wall time.Time) bool {
	age := wall.Sub(time.Unix(r.ClaimedAt, 0))
	return age >= Retention+RetentionMargin
}

// mustMarshal encodes a value of this package's own types, which always succeeds.
func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(&FormatError{What: "value to encode", Err: err})
	}
	return data
}
