// Package tablestore describes what the platform offers: a transactional table
// service, an object store and a list of entry instances.
//
// Only the interfaces, their messages and their errors live here.
// Implementations are in sub-packages. Every call takes its deadline from the
// context.
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
	// Version is 0 when the row is absent. The versions of a key only grow and
	// never repeat, not even after the row was deleted, so that a delayed
	// conditional write cannot meet the version it expects on a later row.
	Version int64 `json:"version"`
	// ChangeID names the transaction that wrote this version.
	ChangeID string `json:"change_id,omitempty"`
}

// Write is one row of a transaction.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// IfVersion is the version that the row must have: 0 for an absent row,
	// AnyVersion for no condition.
	IfVersion int64 `json:"if_version"`
	Delete    bool  `json:"delete,omitempty"`
}

// TransactResult gives the new version of each written row, in the order of the
// writes. Deleted rows have version 0.
type TransactResult struct {
	Versions []int64 `json:"versions"`
}

// Table is the transactional table service.
type Table interface {
	// Read returns the row with the key. An absent row has version 0 and is not
	// an error. It returns *UnavailableError.
	Read(ctx context.Context, key string) (Row, error)

	// Scan returns at most limit rows whose keys start with prefix and sort
	// after the key after, in byte order of the keys. Fewer rows than limit mean
	// that there are no more. It returns *UnavailableError, and *LimitError when
	// limit is below 1 or too large.
	Scan(ctx context.Context, prefix string, limit int, after string) ([]Row, error)

	// Transact applies all writes or none. changeID is recorded in each row, so
	// that a caller whose reply was lost can read it back. Each row may be written
	// once in a transaction. It returns *ConflictError, *LimitError and
	// *UnavailableError when nothing was written, and *OutcomeUnknownError when
	// the writes may have been applied. A call that starts after Transact has
	// returned sees its writes.
	Transact(ctx context.Context, changeID string, writes []Write) (TransactResult, error)
}

// ObjectStore is the object store.
type ObjectStore interface {
	// Put stores an object under name. It returns *UnavailableError or
	// *OutcomeUnknownError.
	Put(ctx context.Context, name string, data []byte) error

	// Get returns the object. It returns *NotFoundError or *UnavailableError.
	Get(ctx context.Context, name string) ([]byte, error)
}

// InstanceState is what the platform says about an entry instance.
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

// Listing is the platform's view of its instances, which lags reality.
type Listing struct {
	Instances []Instance `json:"instances"`
	// AsOf is the platform's clock when it made the list. It must not be
	// compared with the clock of an entry instance.
	AsOf time.Time `json:"as_of"`
}

// InstanceLister lists live and leaving instances.
type InstanceLister interface {
	// List returns the current listing or *UnavailableError.
	List(ctx context.Context) (Listing, error)
}
