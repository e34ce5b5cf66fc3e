// Package problem defines the errors that callers and operators see, as RFC 9457
// problem documents.
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

// HeaderRefused marks a problem document of an entry instance. It is removed from
// the responses of backend servers, which could otherwise pass off their own
// documents as refusals.
const HeaderRefused = "Jacinthrack-Refused"

// RunStatus says whether the request may have run on a backend server.
type RunStatus string

// Values of Ran.
const (
	// DidNotRun: no byte of the request can have reached a backend server.
	DidNotRun RunStatus = "no"
	// MayHaveRun: the request may have run.
	MayHaveRun RunStatus = "unknown"
)

// Type identifies a kind of problem. Types are stable across releases.
type Type string

const typePrefix = "urn:jacinthrack:problem:"

// Problem types.
const (
	TypeKeyMissing            Type = typePrefix + "key-missing"
	TypeKeyInvalid            Type = typePrefix + "key-invalid"
	TypeKeyDataStale              Type = typePrefix + "key-knowledge-stale"
	TypeRouteUnknown          Type = typePrefix + "route-unknown"
	TypeMethodNotAllowed      Type = typePrefix + "method-not-allowed"
	TypeRateExceeded          Type = typePrefix + "rate-exceeded"
	TypeOverloaded            Type = typePrefix + "overloaded"
	TypeNoBackendServer              Type = typePrefix + "no-backend-server"
	TypeNotReady              Type = typePrefix + "not-ready"
	TypeDraining              Type = typePrefix + "draining"
	TypeDeadlineExceeded      Type = typePrefix + "deadline-exceeded"
	TypeIdempotencyKeyMissing Type = typePrefix + "idempotency-key-missing"
	TypeIdempotencyKeyReused   Type = typePrefix + "idempotency-key-reused"
	TypeClaimInProgress       Type = typePrefix + "in-progress"
	TypeClaimOutcomeUnknown   Type = typePrefix + "outcome-unknown"
	TypeClaimStoreUnavailable      Type = typePrefix + "claim-store-unavailable"
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

// Document is a problem document and an error.
type Document struct {
	Type      Type   `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail,omitempty"`
	Ran       RunStatus    `json:"ran"`
	RequestID string `json:"request_id,omitempty"`
	// RetryAfter is sent as the Retry-After header, rounded up to seconds.
	RetryAfter time.Duration `json:"-"`
	// Extension carries members that depend on the type.
	Extension any `json:"extension,omitempty"`
}

// New returns a problem document. The title is that of the status.
func New(t Type, status int, ran RunStatus, format string, args ...any) *Document {
	return &Document{
		Type:   t,
		Title:  http.StatusText(status),
		Status: status,
		Detail: fmt.Sprintf(format, args...),
		Ran:    ran,
	}
}

// WithRetryAfter sets the time after which a retry can help and returns d.
func (d *Document) WithRetryAfter(after time.Duration) *Document {
	d.RetryAfter = after
	return d
}

func (d *Document) Error() string {
	return fmt.Sprintf("%s (status %d, ran %s): %s", d.Type, d.Status, d.Ran, d.Detail)
}

// Write sends the document as the answer to a request.
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
	// A write error means that the caller has gone; nothing is left to tell it.
	_ = json.NewEncoder(w).Encode(d)
}
