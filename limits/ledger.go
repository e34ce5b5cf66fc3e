package limits

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// LedgerKeyPrefix is the prefix of the table keys of all ledgers.
const LedgerKeyPrefix = "limits/"

// LedgerKey returns the table key of the named limit's ledger.
func LedgerKey(name string) string { return LedgerKeyPrefix + name }

// Ledger is the stored row that divides one limit among its holders.
type Ledger struct {
	// Generation is the configuration generation that set Limit. Only a higher
	// generation replaces it.
	Generation int64         `json:"generation"`
	Limit      Share         `json:"limit"`
	Holders    []LedgerEntry `json:"holders"`
}

// LedgerEntry is one holder's share of a limit, as stored in the ledger. Only the holder itself
// raises its floor, its lease or its renewal counter. Other holders only remove leases and
// entries that have expired.
type LedgerEntry struct {
	ID       string        `json:"id"`       // unique per process or allocator session; starts with instance name and boot ID
	Instance string        `json:"instance"` // name in the platform's instance list, or the zone's name if zones are the holders (ModeZone)
	Floor    Share         `json:"floor"`
	Lease    Share         `json:"lease"`
	Demand   MicroRequests `json:"demand"`   // requests per second at the holder, admitted or rejected
	Renewals uint64        `json:"renewals"` // renewal counter: changes with each write by the holder
}

// Total returns the sum of floor and lease.
func (e LedgerEntry) Total() Share { return e.Floor.Plus(e.Lease) }

// Allocated returns the sum of the shares of all holders.
func (l Ledger) Allocated() Share {
	var sum Share
	for _, e := range l.Holders {
		sum = sum.Plus(e.Total())
	}
	return sum
}

// Unallocated returns the part of the limit that no holder has.
func (l Ledger) Unallocated() Share { return l.Limit.Minus(l.Allocated()) }

// Find returns the entry with the ID and whether there is one.
func (l Ledger) Find(id string) (LedgerEntry, bool) {
	i := l.indexOf(id)
	if i < 0 {
		return LedgerEntry{}, false
	}
	return l.Holders[i], true
}

// indexOf returns the index of the entry with the ID, or -1.
func (l Ledger) indexOf(id string) int {
	return slices.IndexFunc(l.Holders, func(e LedgerEntry) bool { return e.ID == id })
}

func (l Ledger) clone() Ledger {
	l.Holders = slices.Clone(l.Holders)
	return l
}

// Encode returns the row value. Its error is a *LedgerEncodingError.
func (l Ledger) Encode() ([]byte, error) {
	data, err := json.Marshal(l)
	if err != nil {
		return nil, &LedgerEncodingError{Err: err}
	}
	return data, nil
}

// DecodeLedger parses a row value. Its error is a *LedgerEncodingError.
func DecodeLedger(data []byte) (Ledger, error) {
	var l Ledger
	if err := json.Unmarshal(data, &l); err != nil {
		return Ledger{}, &LedgerEncodingError{Err: err}
	}
	return l, nil
}

// LedgerEncodingError reports a ledger that cannot be encoded, or a row value that cannot be
// decoded. No holder may change such a row, because the shares in it are unknown.
type LedgerEncodingError struct {
	Key string // table key; may be empty
	Err error
}

func (e *LedgerEncodingError) Error() string { return fmt.Sprintf("ledger row %q: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *LedgerEncodingError) Unwrap() error { return e.Err }

// Limit is a configured rate and burst for all entry instances together.
type Limit struct {
	Name          string
	RatePerSecond float64
	Burst         float64 // requests
}

// Share returns the whole limit as a share.
func (l Limit) Share() Share { return NewShare(l.RatePerSecond, l.Burst) }

// Policy sets how a limit is divided, how long shares last and how often a holder writes.
type Policy struct {
	// FloorFraction is the fraction of a limit that is divided into floors, 0 to 1.
	FloorFraction float64
	// MinFloorFraction is the lowest fraction of a limit that is divided into floors. When
	// the holders together request more than the limit, floors that are larger than their
	// holders request are reduced, down to an equal part of this fraction each.
	MinFloorFraction float64
	// LeaseTerm is how long a holder uses its lease after a renewal, counted on its
	// own clock from before the write.
	LeaseTerm time.Duration
	// LeaseReclaimMargin is how much longer than LeaseTerm other holders wait before they
	// reclaim a lease. It covers clocks that run at different speeds.
	LeaseReclaimMargin time.Duration
	// FloorTerm is how long a holder uses its floor after a renewal. It bounds how
	// long a holder that cannot reach the table can admit requests, and how long the
	// floor of a crashed holder is unused.
	FloorTerm time.Duration
	// FloorReclaimMargin is how much longer than FloorTerm other holders wait before they
	// reclaim a floor.
	FloorReclaimMargin time.Duration
	// ReclaimDelistedFloors lets other holders reclaim a floor once the platform's list has
	// not contained its instance for FloorReclaimMargin, after it had contained it.
	// It is safe only if the platform delists an instance after its process has
	// ended, and never because the instance cannot be reached.
	ReclaimDelistedFloors bool
	// ReclaimPredecessorEntries lets a holder reclaim the entries of earlier processes of its
	// own instance at once. It is safe only if the process owns a resource that its
	// predecessor must have released, such as the listening address.
	ReclaimPredecessorEntries bool
	// RenewInterval is the time between renewals of a lease.
	RenewInterval time.Duration
	// MinWriteInterval is the shortest time between two writes by a holder to one ledger.
	// It bounds the writes per second to a ledger to the number of holders divided
	// by this interval.
	MinWriteInterval time.Duration
	// HeadroomFactor is the multiple of its demand that a holder requests as its rate, so
	// that requests that arrive at random find tokens.
	HeadroomFactor float64
}

// DefaultPolicy returns the policy for production.
func DefaultPolicy() Policy {
	return Policy{
		FloorFraction:      0.5,
		MinFloorFraction:   0.1,
		LeaseTerm:          10 * time.Second,
		LeaseReclaimMargin: 2 * time.Second,
		FloorTerm:          time.Hour,
		FloorReclaimMargin: 30 * time.Second,
		RenewInterval:      3 * time.Second,
		MinWriteInterval:   time.Second,
		HeadroomFactor:     1.5,
	}
}
