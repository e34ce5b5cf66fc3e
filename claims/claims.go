// Package claims ensures that a non-idempotent request runs at most once.
//
// The caller sends an idempotency key with the request. Before an entry instance
// sends the first byte to a backend server, it claims the key: it inserts a claim
// row in the platform's table service, on condition that the row is absent. The
// response is later written to the same row. A caller that repeats the request
// through any instance gets the stored response, "in progress" or "outcome
// unknown"; the request does not run again within the retention time.
//
// The row key is claims/<customer>/<route>/<hash of the idempotency key>. A
// release writes the state "released" instead of deleting the row. The row version
// therefore changes, and a delayed write of an earlier claimant fails its
// condition.
//
// record.go, request.go and decide.go contain pure functions. Store and its writer
// call the platform.
package claims

import "time"

// Defaults of Config.
const (
	// DefaultStartTimeout is the time, from the start of the claim write, within
	// which the first byte may be sent to a backend server.
	DefaultStartTimeout = 5 * time.Second
	// DefaultBatchDelay is how long the writer waits for more rows before it sends a
	// batch that is not full.
	DefaultBatchDelay = 3 * time.Millisecond
	// DefaultMaxBatchRows is the maximum number of rows in one transaction. It is
	// below the 100 rows that hosted table services accept.
	DefaultMaxBatchRows = 32
	// DefaultCallTimeout is the timeout of one platform call. It leaves time to
	// read the row back and send the write again within DefaultStartTimeout.
	DefaultCallTimeout = time.Second
	// DefaultRetryTimeout limits how long a failed write of a response or a release
	// is retried in the background.
	DefaultRetryTimeout = 10 * time.Minute
	// DefaultInProgressTimeout is how long a claim row of another process may stay
	// unchanged before the request is reported as "outcome unknown" instead of
	// "in progress".
	DefaultInProgressTimeout = time.Minute
)

// Size and retention limits.
const (
	// MaxInlineResponseBytes is the largest response, in bytes of header and body, that is
	// stored in the claim row. Larger responses are written to the object store,
	// so that a full batch stays below 1 MiB.
	MaxInlineResponseBytes = 16 << 10
	// MaxPendingResponseBytes limits the total size in bytes of the responses that are
	// kept in memory until the platform has stored them. It is a quarter of the
	// 64 MB that the control functions of one node may use.
	MaxPendingResponseBytes = 16 << 20
	// MaxActiveClaims limits the number of claims that this process has not finished,
	// so that a platform that loses every reply cannot exhaust the memory with
	// unresolved claims.
	MaxActiveClaims = 4096
	// MaxObservedRows limits the number of rows of other claimants for which this
	// process remembers when it first saw the current version.
	MaxObservedRows = 8192
	// Retention is how long a claim row protects its idempotency key.
	Retention = 24 * time.Hour
	// RetentionMargin is added to Retention before a row is removed. It covers
	// the difference between the wall clocks of the claimant and of the instance
	// that removes the row.
	RetentionMargin = time.Hour
)

// rowKeyPrefix starts the keys of all claim rows and the names of all response
// objects.
const rowKeyPrefix = "claims/"
