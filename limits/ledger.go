package limits

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// LedgerKeyPrefix starts the table keys of all ledgers.
const LedgerKeyPrefix = "limits/"

// LedgerKey returns the table key of the limit with the name.
func LedgerKey(name string) string { return LedgerKeyPrefix + name }

// Ledger is the value of the table row of one limit. It says who may use which
// part of the limit.
type Ledger struct {
	// Generation is the configuration generation that set Limit. A lower
	// generation never replaces it.
	Generation int64   `json:"generation"`
	Limit      Share   `json:"limit"`
	Holders    []LedgerEntry `json:"holders"`
}

// LedgerEntry is one holder's part of a ledger. Only the holder itself raises its
// shares or its renewal counter. Others only remove what has expired.
type LedgerEntry struct {
	ID       string `json:"id"`       // unique per process, instance name and boot id
	Instance string `json:"instance"` // name in the platform's instance list
	Floor    Share  `json:"floor"`
	Lease    Share  `json:"lease"`
	Demand   MicroRequests `json:"demand"`   // requests per second that callers offer
	Renewals uint64 `json:"renewals"` // changes with each write of the holder
}

// Total returns floor and lease together.
func (e LedgerEntry) Total() Share { return e.Floor.Plus(e.Lease) }

// Allocated returns the sum of all shares.
func (l Ledger) Allocated() Share {
	var sum Share
	for _, e := range l.Holders {
		sum = sum.Plus(e.Total())
	}
	return sum
}

// Unallocated returns what nobody holds.
func (l Ledger) Unallocated() Share { return l.Limit.Minus(l.Allocated()) }

// Find returns the entry with the id.
func (l Ledger) Find(id string) (LedgerEntry, bool) {
	i := l.index(id)
	if i < 0 {
		return LedgerEntry{}, false
	}
	return l.Holders[i], true
}

func (l Ledger) index(id string) int {
	return slices.IndexFunc(l.Holders, func(e LedgerEntry) bool { return e.ID == id })
}

func (l Ledger) clone() Ledger {
	l.Holders = slices.Clone(l.Holders)
	return l
}

// Encode returns the row value.
func (l Ledger) Encode() ([]byte, error) {
	data, err := json.Marshal(l)
	if err != nil {
		return nil, &LedgerEncodingError{Err: err}
	}
	return data, nil
}

// DecodeLedger parses a row value. It returns *LedgerEncodingError.
func DecodeLedger(data []byte) (Ledger, error) {
	var l Ledger
	if err := json.Unmarshal(data, &l); err != nil {
		return Ledger{}, &LedgerEncodingError{Err: err}
	}
	return l, nil
}

// LedgerEncodingError reports a row value that is no ledger. Nobody may change such a
// row, because the shares in it are not known.
type LedgerEncodingError struct {
	Key string
	Err error
}

func (e *LedgerEncodingError) Error() string { return fmt.Sprintf("ledger row %q: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *LedgerEncodingError) Unwrap() error { return e.Err }

// Limit is a configured rate and burst over all entry instances.
type Limit struct {
	Name          string
	RatePerSecond float64
	Burst         float64 // requests
}

// Share returns the whole limit as a share.
func (l Limit) Share() Share { return NewShare(l.RatePerSecond, l.Burst) }

// Policy holds the terms of shares and the bounds on table writes.
type Policy struct {
	// FloorFraction is the part of a limit that is divided into floors, 0 to 1.
	FloorFraction float64
	// MinFloorFraction is the part that stays divided into floors when some
	// holders lack tokens and others do not need their whole floors.
	MinFloorFraction float64
	// LeaseTerm is how long a holder uses its lease after a renewal, counted on
	// its own clock from before the write.
	LeaseTerm time.Duration
	// LeaseReclaimMargin is added by others before they reclaim a lease. It covers
	// clocks that run at different speeds.
	LeaseReclaimMargin time.Duration
	// FloorTerm is how long a holder uses its floor after a renewal. It bounds
	// the time for which a holder that is cut off can serve, and the time
	// for which the floor of a dead holder is lost.
	FloorTerm time.Duration
	// FloorReclaimMargin is added by others before they reclaim a floor.
	FloorReclaimMargin time.Duration
	// ReclaimDelistedFloors lets others reclaim a floor when the platform's list has
	// shown its holder and then not shown it for FloorReclaimMargin. It is safe only
	// if the platform delists an instance after its process has ended, and
	// never because it cannot be reached.
	ReclaimDelistedFloors bool
	// ReclaimPredecessorEntries lets a holder take over the entries of earlier processes
	// of its own instance at once. It is safe only if the process holds a
	// resource that its predecessor must have lost, such as the listening
	// address.
	ReclaimPredecessorEntries bool
	// RenewInterval is the time between renewals of a lease.
	RenewInterval time.Duration
	// MinWriteInterval is the shortest time between two writes of a holder to one
	// ledger. It bounds the writes per second of a limit to the number of
	// holders divided by MinWriteInterval.
	MinWriteInterval time.Duration
	// HeadroomFactor is the multiple of its demand that a holder asks for, so that
	// random arrivals find tokens.
	HeadroomFactor float64
}

// DefaultPolicy returns the policy for production.
func DefaultPolicy() Policy {
	return Policy{
		FloorFraction:    0.5,
		MinFloorFraction: 0.1,
		LeaseTerm:        10 * time.Second,
		LeaseReclaimMargin:      2 * time.Second,
		FloorTerm:        time.Hour,
		FloorReclaimMargin:      30 * time.Second,
		RenewInterval:       3 * time.Second,
		MinWriteInterval:      time.Second,
		HeadroomFactor:         1.5,
	}
}
