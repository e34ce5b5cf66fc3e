// Package forward is the HTTP data path of an entry instance: it authenticates a
// request, holds its customer to its rate, waits for room, picks a backend
// server, sends the request and returns the whole response.
//
// The decisions themselves are made by the services behind the interfaces in
// this file. The package holds no steering policy of its own.
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
	HeaderTimeout        = "Jacinthrack-Timeout" // milliseconds left
	HeaderRequestID      = "Jacinthrack-Request-Id"
)

// PathPrefix precedes the route name in a request path.
const PathPrefix = "/r/"

// Bounds of the data path.
const (
	// StreamBufferBytes is the memory that a streamed request or response may hold in
	// each direction.
	StreamBufferBytes = 64 << 10
	// MaxNonIdempotentBodyBytes bounds the body of a non-idempotent request, which is
	// held in memory to compute its digest.
	MaxNonIdempotentBodyBytes = 1 << 20
	// MaxStoredResponseBytes bounds the stored response of a non-idempotent request.
	MaxStoredResponseBytes = 4 << 20
	// UploadStallTimeout is the longest time without progress in an upload.
	UploadStallTimeout = 10 * time.Second
	// ClaimRecordTimeout bounds the wait for the outcome of a claim to be stored
	// before the response is returned. Recording goes on in the background.
	ClaimRecordTimeout = time.Second
)

// Authorizer checks keys.
type Authorizer interface {
	// Authorize returns the customer that owns the presented key, if the key
	// may use the route now. Its errors never contain the key.
	Authorize(presented string, route *config.Route) (customer string, refusal *problem.Document)
}

// RateLimiter holds customers to their fleet-wide rates.
type RateLimiter interface {
	// Allow reports whether one more request is within the customer's rate, or
	// the time after which it can be. It may wait for another instance.
	Allow(ctx context.Context, customer string) (ok bool, retryAfter time.Duration)
}

// Admission bounds the work in progress and shares it fairly between customers.
type Admission interface {
	// Acquire waits for room at a service. release must be called once.
	Acquire(ctx context.Context, service, customer string, weight float64) (release func(), refusal *problem.Document)
}

// PickRequest describes one attempt to the Balancer.
type PickRequest struct {
	RequestID   string
	Customer    string
	Route       *config.Route
	Fingerprint uint64
	AttemptIndex     int      // from 0
	ExcludedServers     []string // servers that earlier attempts used
	BodyBytes   int64    // -1 when unknown
}

// AttemptResult tells the Balancer how an attempt ended.
type AttemptResult struct {
	MaybeSent    bool // bytes may have reached the server
	Status  int  // 0 without a response
	Err     error
	CloseAnnounced   bool // the server announced that it closes the connection
	Latency time.Duration
}

// PickedServer is a chosen backend server.
type PickedServer struct {
	Server *config.BackendServer
	Reason string
	// Done must be called once with the result of the attempt. It reports
	// whether the request is suspected of crashing servers.
	Done func(AttemptResult) (crashes bool)
	// Charge takes bytes that flow to (upload) or from a server of another region
	// and returns the wait before the next piece. It is nil within the region.
	Charge func(upload bool, bytes int) time.Duration
}

// Balancer picks backend servers.
type Balancer interface {
	// PickedServer chooses a server. Its refusals mean that the attempt did not run.
	Pick(ctx context.Context, call PickRequest) (*PickedServer, *problem.Document)
	// NextRetry returns the wait before another attempt, or the reason why there
	// must be none.
	NextRetry(a retry.Attempt) (time.Duration, error)
	// RecordRequest feeds the retry budget with a first attempt.
	RecordRequest(customer, service string)
}

// ClaimRequest identifies one piece of non-idempotent work.
type ClaimRequest struct {
	Customer       string
	Route          string
	IdempotencyKey string
	Method         string
	Path           string
	Body           []byte
}

// StoredResponse is the recorded response of non-idempotent work.
type StoredResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Claim is the right to run one piece of non-idempotent work.
type Claim interface {
	// MayStart reports whether the work may still be sent.
	MayStart() bool
	// MarkSent records that the first byte is about to be sent. On a
	// *ClaimExpiredError nothing may be sent.
	MarkSent() error
	// Release gives the claim up. It may be called only if nothing was sent.
	Release(ctx context.Context)
	// Complete stores the response.
	Complete(ctx context.Context, resp StoredResponse)
	// Abandon ends a claim whose response will not be known.
	Abandon(ctx context.Context)
}

// ClaimExpiredError reports a claim whose time to start has passed.
type ClaimExpiredError struct{ Err error }

func (e *ClaimExpiredError) Error() string { return fmt.Sprintf("the claim lapsed: %v", e.Err) }

// Unwrap returns the cause.
func (e *ClaimExpiredError) Unwrap() error { return e.Err }

// Claimer records non-idempotent work before it runs.
type Claimer interface {
	// Begin claims the work. It returns a claim, the stored response of an
	// earlier run, or a refusal.
	Begin(ctx context.Context, req ClaimRequest) (Claim, *StoredResponse, *problem.Document)
}

// Options are the dependencies of a Handler.
type Options struct {
	Config     func() *config.Index // nil while no configuration is in force
	Draining   func() bool          // true once new requests must go elsewhere
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
