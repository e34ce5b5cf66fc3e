// Package problem defines the error responses that callers and operators receive, in
// the form of RFC 9457 problem documents.
package problem

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

// HeaderRefused is the response header that marks a problem document as created by an
// entry instance. Entry instances remove it from the responses of backend servers, so
// that a caller does not take a problem document of a backend server for a rejection
// by an entry instance.
const HeaderRefused = "Jacinthrack-Refused"

// RunStatus says whether the request may have run on a backend server. Operations of the
// operator API use it for the change that was requested.
type RunStatus string

// Values of RunStatus.
const (
	// DidNotRun: no byte of the request can have reached a backend server.
	DidNotRun RunStatus = "no"
	// MayHaveRun: the request may have run.
	MayHaveRun RunStatus = "unknown"
)

// Type is the URI of a problem type. Types do not change between releases.
type Type string

const typePrefix = "urn:jacinthrack:problem:"

// Problem types.
const (
	TypeKeyMissing            Type = typePrefix + "key-missing"
	TypeKeyInvalid            Type = typePrefix + "key-invalid"
	TypeKeyDataStale          Type = typePrefix + "key-knowledge-stale"
	TypeRouteUnknown          Type = typePrefix + "route-unknown"
	TypeMethodNotAllowed      Type = typePrefix + "method-not-allowed"
	TypeRateExceeded          Type = typePrefix + "rate-exceeded"
	TypeOverloaded            Type = typePrefix + "overloaded"
	TypeNoBackendServer       Type = typePrefix + "no-backend-server"
	TypeNotReady              Type = typePrefix + "not-ready"
	TypeDraining              Type = typePrefix + "draining"
	TypeDeadlineExceeded      Type = typePrefix + "deadline-exceeded"
	TypeIdempotencyKeyMissing Type = typePrefix + "idempotency-key-missing"
	TypeIdempotencyKeyReused  Type = typePrefix + "idempotency-key-reused"
	TypeClaimInProgress       Type = typePrefix + "in-progress"
	TypeClaimOutcomeUnknown   Type = typePrefix + "outcome-unknown"
	TypeClaimStoreUnavailable Type = typePrefix + "claim-store-unavailable"
	TypeQuarantined           Type = typePrefix + "quarantined"
	TypeBodyTooLarge          Type = typePrefix + "body-too-large"
	TypeUploadStalled         Type = typePrefix + "upload-stalled"
	TypeAnswerIncomplete      Type = typePrefix + "answer-incomplete"
	TypeBackendFailed         Type = typePrefix + "backend-failed"
	TypeBadRequest            Type = typePrefix + "bad-request"
	TypeConflict              Type = typePrefix + "conflict"
	TypeInvalidConfig         Type = typePrefix + "invalid-configuration"
	TypePlatformUnavailable   Type = typePrefix + "platform-unavailable"
	TypeNotFound              Type = typePrefix + "not-found"
	TypeInternal              Type = typePrefix + "internal"
)

// Document is a problem document. It implements error.
type Document struct {
	Type      Type      `json:"type"`
	Title     string    `json:"title"`
	Status    int       `json:"status"`
	Detail    string    `json:"detail,omitempty"`
	Ran       RunStatus `json:"ran"`
	RequestID string    `json:"request_id,omitempty"`
	// RetryAfter is sent as the Retry-After header, rounded up to seconds.
	RetryAfter time.Duration `json:"-"`
	// Extension holds additional information whose structure depends on the type.
	Extension any `json:"extension,omitempty"`
}

// New returns a problem document with the standard text of the HTTP status as its
// title. format and args form the detail.
func New(t Type, status int, ran RunStatus, format string, args ...any) *Document {
	return &Document{
		Type:   t,
		Title:  http.StatusText(status),
		Status: status,
		Detail: fmt.Sprintf(format, args...),
		Ran:    ran,
	}
}

// WithRetryAfter sets the time after which a retry may succeed, and returns d.
func (d *Document) WithRetryAfter(after time.Duration) *Document {
	d.RetryAfter = after
	return d
}

func (d *Document) Error() string {
	return fmt.Sprintf("%s (status %d, ran %s): %s", d.Type, d.Status, d.Ran, d.Detail)
}

// Write sends the document as the HTTP response to a request.
func (d *Document) Write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", ContentType)
	header.Set("Cache-Control", "no-store")
	header.Set(HeaderRefused, "true")
	if d.RetryAfter > 0 {
		seconds := int(math.Ceil(d.RetryAfter.Seconds()))
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(d.Status)
	// A write error is ignored: the connection is closed, so the caller cannot be told.
	_ = json.NewEncoder(w).Encode(d)
}
