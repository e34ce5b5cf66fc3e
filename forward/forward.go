// Package forward is the HTTP data path of an entry instance. It authenticates a
// request, enforces the rate limit of its customer, waits for free capacity, picks a
// backend server, sends the request and returns the response.
//
// The decisions are made by the implementations of the interfaces in this file. The
// package contains no load-balancing policy of its own.
package forward

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/problem"
	"github.com/jacinthrack/jacinthrack/retry"
)

// Request headers.
const (
	HeaderKey            = "Jacinthrack-Key"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTimeout        = "Jacinthrack-Timeout" // milliseconds until the deadline
	HeaderRequestID      = "Jacinthrack-Request-Id"
)

// PathPrefix precedes the route name in a request path.
const PathPrefix = "/r/"

// Bounds of the data path.
const (
	// StreamBufferBytes is the size of the buffer of a streamed body, one for the request
	// and one for the response.
	StreamBufferBytes = 64 << 10 // 64 KiB
	// MaxNonIdempotentBodyBytes bounds the body of a non-idempotent request, which is
	// kept in memory to compute its digest.
	MaxNonIdempotentBodyBytes = 1 << 20 // 1 MiB
	// MaxStoredResponseBytes bounds the response to a non-idempotent request, which
	// is stored.
	MaxStoredResponseBytes = 4 << 20 // 4 MiB
	// UploadStallTimeout is the time without progress after which an upload fails.
	UploadStallTimeout = 10 * time.Second
	// ClaimRecordTimeout bounds the wait for the outcome of a claim to be stored before
	// the response is returned. If it is exceeded, storing goes on in the background.
	ClaimRecordTimeout = time.Second
)

// Authorizer checks API keys.
type Authorizer interface {
	// Authorize returns the customer that owns the presented key, or a rejection if
	// the key may not use the route now. A rejection never contains the key.
	Authorize(presented string, route *config.Route) (customer string, rejection *problem.Document)
}

// RateLimiter enforces the fleet-wide rate limits of customers.
type RateLimiter interface {
	// Allow reports whether one more request is within the customer's rate limit. If
	// it is not, retryAfter is the time until it can be. Allow may wait for an answer
	// from another instance.
	Allow(ctx context.Context, customer string) (ok bool, retryAfter time.Duration)
}

// Admission bounds the in-flight requests of a service and shares its capacity fairly
// between customers.
type Admission interface {
	// Acquire waits until the service has free capacity for a request. weight is the
	// customer's share relative to other customers. release must be called once.
	Acquire(ctx context.Context, service, customer string, weight float64) (release func(), rejection *problem.Document)
}

// PickRequest describes the attempt for which the Balancer picks a server.
type PickRequest struct {
	RequestID       string
	Customer        string
	Route           *config.Route
	Fingerprint     uint64   // hash of the request, see requestFingerprint
	AttemptIndex    int      // 0 for the first attempt
	ExcludedServers []string // names of the servers that earlier attempts used
	BodyBytes       int64    // -1 if unknown
}

// AttemptResult reports to the Balancer how an attempt ended.
type AttemptResult struct {
	MaybeSent      bool // bytes may have reached the server
	Status         int  // HTTP status code; 0 without a response
	Err            error
	CloseAnnounced bool          // the server announced with its response that it closes the connection
	Latency        time.Duration // from the start of the attempt to the response header or the error
}

// PickedServer is the backend server that the Balancer picked for an attempt.
type PickedServer struct {
	Server *config.BackendServer
	Reason string // why the server was picked
	// Done must be called once with the result of the attempt. It reports whether
	// the request is quarantined afterwards, that is, whether its fingerprint has at
	// least quarantine.CrashThreshold crashes. It returns false for a suspect request
	// with fewer crashes.
	Done func(AttemptResult) (suspect bool)
	// Charge counts bytes sent to (upload) or received from a server of another
	// region against the budget of the link between the regions. It returns the wait
	// before more bytes may be transferred. It is nil for a server of this region.
	Charge func(upload bool, bytes int) time.Duration
}

// Balancer picks backend servers.
type Balancer interface {
	// Pick picks a server for an attempt. If it returns a rejection, the attempt did
	// not run.
	Pick(ctx context.Context, request PickRequest) (*PickedServer, *problem.Document)
	// NextRetry returns the wait before another attempt, or an error that says why
	// the request must not be retried.
	NextRetry(a retry.Attempt) (time.Duration, error)
	// RecordRequest counts a first attempt, in proportion to which the retry budget
	// allows retries.
	RecordRequest(customer, service string)
}

// ClaimRequest describes a non-idempotent request to be claimed.
type ClaimRequest struct {
	Customer       string
	Route          string
	IdempotencyKey string
	Method         string
	Path           string // path and query for the backend server
	Body           []byte
}

// StoredResponse is the stored response to a non-idempotent request.
type StoredResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Claim is the exclusive right to run one non-idempotent request.
type Claim interface {
	// MayStart reports whether the request may still be sent to a backend server.
	MayStart() bool
	// MarkSent records that the first byte is about to be sent. It must be called
	// before that byte; if it returns a *ClaimExpiredError, nothing may be sent.
	MarkSent() error
	// Release ends the claim so that the request can be claimed again. It may be called
	// only if nothing was sent.
	Release(ctx context.Context)
	// Complete ends the claim and stores the response.
	Complete(ctx context.Context, resp StoredResponse)
	// Abandon ends the claim of a request that may have run and whose response is lost.
	Abandon(ctx context.Context)
}

// ClaimExpiredError reports a claim whose request was not sent in time.
type ClaimExpiredError struct{ Err error }

func (e *ClaimExpiredError) Error() string { return fmt.Sprintf("claim expired unsent: %v", e.Err) }

// Unwrap returns the cause.
func (e *ClaimExpiredError) Unwrap() error { return e.Err }

// Claimer claims non-idempotent requests before they are sent, so that each runs at most
// once.
type Claimer interface {
	// Begin claims a request. It returns one of a claim, the stored response if the
	// request has already run, or a rejection.
	Begin(ctx context.Context, req ClaimRequest) (Claim, *StoredResponse, *problem.Document)
}

// Options are the dependencies of a Handler.
type Options struct {
	Config     func() *config.Index // returns nil while there is no configuration
	Draining   func() bool          // reports whether new requests are rejected
	Authorizer Authorizer
	Limiter    RateLimiter
	Admission  Admission
	Balancer   Balancer
	Claims     Claimer
	Transport  *Transport
	Metrics    *Metrics
	Log        *slog.Logger
}

// Handler serves requests under PathPrefix.
type Handler struct{ Options }

// New returns a handler.
func New(o Options) *Handler { return &Handler{Options: o} }
