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
	// StateClaimed: the request is about to be sent, runs or may have run.
	StateClaimed State = "claimed"
	// StateDone: the request ran and its response is stored.
	StateDone State = "done"
	// StateUnknown: the request was sent and no response will be stored.
	StateUnknown State = "unknown"
	// StateReleased: the request was not sent; the key may be claimed again.
	StateReleased State = "released"
)

// Claimant identifies the process that wrote a claim.
type Claimant struct {
	Instance string `json:"instance"`
	BootID   uint64 `json:"boot_id"`
}

// Record is the value of a claim row.
type Record struct {
	State       State       `json:"state"`
	Fingerprint Fingerprint `json:"fingerprint"`
	Claimant    Claimant    `json:"claimant"`
	// ClaimedAt is the time of the claim by the claimant's wall clock, in Unix
	// seconds. It is used only for the retention time.
	ClaimedAt int64 `json:"claimed_at"`
	// Response is the response, if the state is StateDone and the response is
	// stored in the row.
	Response *Response `json:"outcome,omitempty"`
	// ResponseObject refers to the response, if the state is StateDone and the response
	// is in the object store.
	ResponseObject *ObjectRef `json:"object,omitempty"`
}

// Response is the complete HTTP response of the backend server.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// Size returns the number of bytes of header and body.
func (o Response) Size() int {
	size := len(o.Body)
	for name, values := range o.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return size
}

// ObjectRef refers to a response in the object store.
type ObjectRef struct {
	Name   string `json:"name"`
	SHA256 string `json:"sha256"`
}

// matches reports whether data has the hash of the stored object.
func (r ObjectRef) matches(data []byte) bool { return r.SHA256 == hexSHA256(data) }

func hexSHA256(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Encode returns the row value of the record.
func (r Record) Encode() []byte { return mustMarshal(r) }

// DecodeRecord parses the value of a claim row. It returns *FormatError if the
// value is not a valid record.
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
			return Record{}, &FormatError{What: "claim row: state \"done\" needs either a response or a response object"}
		}
		return r, nil
	}
	return Record{}, &FormatError{What: "state of claim row"}
}

// RetentionExpired reports whether the retention time of a row and its margin have
// passed. now is the time by the wall clock of the instance that removes rows.
func RetentionExpired(r Record, now time.Time) bool {
	age := now.Sub(time.Unix(r.ClaimedAt, 0))
	return age >= Retention+RetentionMargin
}

// mustMarshal encodes a value of one of this package's types, for which JSON
// encoding cannot fail.
func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(&FormatError{What: "value to encode as JSON", Err: err})
	}
	return data
}
