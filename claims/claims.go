// Package claims executes non-idempotent requests at most once.
//
// A request carries an idempotency key. Before its first byte is sent, the entry
// instance inserts a claim row with the condition that the row is absent. The
// outcome is written into the same row afterwards. A caller that sends the
// request again through any instance gets the stored response, "in progress" or
// "outcome unknown", and never a second execution within the retention time.
//
// Rows are keyed claims/<customer>/<route>/<hash of the idempotency key>. A
// release writes the state "released" instead of deleting the row, so that a
// delayed write of an earlier claimant always finds a version that has moved on.
//
// record.go, request.go and decide.go are pure. Store and its writer are the
// adapter to the platform.
package claims

import "time"

// Defaults of Config.
const (
	// DefaultStartTimeout is how long after the start of the claim write the
	// first byte may be sent.
	DefaultStartTimeout = 5 * time.Second
	// DefaultBatchDelay is how long the writer waits for more rows.
	DefaultBatchDelay = 3 * time.Millisecond
	// DefaultMaxBatchRows is the number of rows in one transaction. It stays below
	// the 100 rows that hosted table services accept.
	DefaultMaxBatchRows = 32
	// DefaultCallTimeout bounds one platform call. It leaves time for a read
	// back and a resend within DefaultStartTimeout.
	DefaultCallTimeout = time.Second
	// DefaultRetryTimeout bounds the background retries of an outcome or a release.
	DefaultRetryTimeout = 10 * time.Minute
	// DefaultInProgressTimeout is how long a claim of another instance may be
	// observed unchanged before it is reported as "outcome unknown".
	DefaultInProgressTimeout = time.Minute
)

// Limits of this package.
const (
	// MaxInlineResponseBytes is the largest outcome stored in the row. Larger ones go to
	// the object store, so that a full batch stays under 1 MiB.
	MaxInlineResponseBytes = 16 << 10
	// MaxPendingResponseBytes bounds the outcomes held in memory while the platform is
	// down. It is a quarter of the 64 MB that one node may use for control.
	MaxPendingResponseBytes = 16 << 20
	// MaxActiveClaims bounds the claims that this process works on, so that a platform
	// that loses every reply cannot fill the memory with unresolved claims.
	MaxActiveClaims = 4096
	// MaxObservedRows bounds the rows of other claimants whose age is remembered.
	MaxObservedRows = 8192
	// Retention is how long a claim row protects its idempotency key.
	Retention = 24 * time.Hour
	// RetentionMargin covers the difference between the wall clocks of the
	// claimant and of the instance that removes old rows.
	RetentionMargin = time.Hour
)

// rowPrefix is the common prefix of all claim rows and outcome objects.
const rowPrefix = "claims/"
