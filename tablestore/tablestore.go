// Package tablestore defines the interfaces to the platform: a transactional table
// service, an object store and a list of entry instances.
//
// The package has only the interfaces, their data types and their errors. Implementations
// are in sub-packages. The context of a call sets its deadline.
package tablestore

import (
	"context"
	"time"
)

// AnyVersion in Write.IfVersion makes a write unconditional.
const AnyVersion int64 = -1

// Row is one row of the table service.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Version is 0 if the row is absent. The versions of a key only increase and are never
	// reused, not even after the row was deleted: a delayed conditional write must not
	// find the version that it expects on a row that was inserted later.
	Version int64 `json:"version"`
	// ChangeID identifies the transaction that wrote this version.
	ChangeID string `json:"change_id,omitempty"`
}

// Write inserts, updates or deletes one row in a transaction.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// IfVersion is the version that the row must have for the write to be applied: 0 if it
	// must be absent, AnyVersion for no condition.
	IfVersion int64 `json:"if_version"`
	Delete    bool  `json:"delete,omitempty"`
}

// TransactResult holds the new version of each written row, in the order of the writes.
// The version of a deleted row is 0.
type TransactResult struct {
	Versions []int64 `json:"versions"`
}

// Table is the transactional table service.
type Table interface {
	// Read returns the row with the given key. An absent row is not an error: its version
	// is 0. Read returns *UnavailableError.
	Read(ctx context.Context, key string) (Row, error)

	// Scan returns at most limit rows whose keys start with prefix and are greater than
	// the key after, in byte order of their keys. If it returns fewer than limit rows,
	// there are no more. Scan returns *UnavailableError, and *LimitError if limit is below
	// 1 or too large.
	Scan(ctx context.Context, prefix string, limit int, after string) ([]Row, error)

	// Transact applies all writes or none. It stores changeID in each written row, so that
	// a caller whose reply was lost can find out whether the writes were applied. A
	// transaction may write each row only once. Transact returns *ConflictError,
	// *LimitError or *UnavailableError if nothing was written, and *OutcomeUnknownError if
	// the writes may have been applied. A call that starts after Transact has returned
	// sees its writes.
	Transact(ctx context.Context, changeID string, writes []Write) (TransactResult, error)
}

// ObjectStore is the object store.
type ObjectStore interface {
	// Put creates or replaces the object with the given name. It returns *UnavailableError
	// or *OutcomeUnknownError.
	Put(ctx context.Context, name string, data []byte) error

	// Get returns the content of an object. It returns *NotFoundError or
	// *UnavailableError.
	Get(ctx context.Context, name string) ([]byte, error)
}

// InstanceState is the state of an entry instance according to the platform.
type InstanceState string

// Instance states.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one entry of the platform's instance list.
type Instance struct {
	Name  string        `json:"name"`
	Zone  string        `json:"zone"`
	State InstanceState `json:"state"`
}

// Listing is the platform's list of entry instances. It may be outdated.
type Listing struct {
	Instances []Instance `json:"instances"`
	// AsOf is the time on the platform's clock at which it made the list. It must not be
	// compared with the clock of an entry instance.
	AsOf time.Time `json:"as_of"`
}

// InstanceLister lists the live and leaving entry instances.
type InstanceLister interface {
	// List returns the platform's current listing. It returns *UnavailableError.
	List(ctx context.Context) (Listing, error)
}
