package limits

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Prefix starts the table keys of all ledgers.
const Prefix = "limits/"

// RowKey returns the table key of the limit with the name.
func RowKey(name string) string { return Prefix + name }

// Ledger is the value of the table row of one limit. It says who may use which
// part of the limit.
type Ledger struct {
	// Generation is the configuration generation that set Limit. A lower
	// generation never replaces it.
	Generation int64   `json:"generation"`
	Limit      Share   `json:"limit"`
	Holders    []Entry `json:"holders"`
}

// Entry is one holder's part of a ledger. Only the holder itself raises its
// shares or its renewal counter. Others only remove what has expired.
type Entry struct {
	ID       string `json:"id"`       // unique per process, instance name and boot id
	Instance string `json:"instance"` // name in the platform's instance list
	Floor    Share  `json:"floor"`
	Lease    Share  `json:"lease"`
	Demand   Amount `json:"demand"`   // requests per second that callers offer
	Renewals uint64 `json:"renewals"` // changes with each write of the holder
}

// Held returns floor and lease together.
func (e Entry) Held() Share { return e.Floor.Plus(e.Lease) }

// Held returns the sum of all shares.
func (l Ledger) Held() Share {
	var sum Share
	for _, e := range l.Holders {
		sum = sum.Plus(e.Held())
	}
	return sum
}

// Free returns what nobody holds.
func (l Ledger) Free() Share { return l.Limit.Minus(l.Held()) }

// Find returns the entry with the id.
func (l Ledger) Find(id string) (Entry, bool) {
	i := l.indexOf(id)
	if i < 0 {
		return Entry{}, false
	}
	return l.Holders[i], true
}

func (l Ledger) indexOf(id string) int {
	return slices.IndexFunc(l.Holders, func(e Entry) bool { return e.ID == id })
}

func (l Ledger) clone() Ledger {
	l.Holders = slices.Clone(l.Holders)
	return l
}

// Encode returns the row value.
func (l Ledger) Encode() ([]byte, error) {
	data, err := json.Marshal(l)
	if err != nil {
		return nil, &LedgerError{Err: err}
	}
	return data, nil
}

// Decode parses a row value. It returns *LedgerError.
func Decode(data []byte) (Ledger, error) {
	var l Ledger
	if err := json.Unmarshal(data, &l); err != nil {
		return Ledger{}, &LedgerError{Err: err}
	}
	return l, nil
}

// LedgerError reports a row value that is no ledger. Nobody may change such a
// row, because the shares in it are not known.
type LedgerError struct {
	Key string
	Err error
}

func (e *LedgerError) Error() string { return fmt.Sprintf("ledger row %q: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *LedgerError) Unwrap() error { return e.Err }

// Limit is a configured rate and burst over all entry instances.
type Limit struct {
	Name          string
	RatePerSecond float64
	Burst         float64 // requests
}

// Share returns the whole limit as a share.
func (l Limit) Share() Share { return ShareOf(l.RatePerSecond, l.Burst) }

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
	// LeaseMargin is added by others before they reclaim a lease. It covers
	// clocks that run at different speeds.
	LeaseMargin time.Duration
	// FloorTerm is how long a holder uses its floor after a renewal. It bounds
	// the time for which a holder that is cut off can serve, and the time
	// for which the floor of a dead holder is lost.
	FloorTerm time.Duration
	// FloorMargin is added by others before they reclaim a floor.
	FloorMargin time.Duration
	// TrustListing lets others reclaim a floor when the platform's list has
	// shown its holder and then not shown it for FloorMargin. It is safe only
	// if the platform delists an instance after its process has ended, and
	// never because it cannot be reached.
	TrustListing bool
	// PredecessorEnded lets a holder take over the entries of earlier processes
	// of its own instance at once. It is safe only if the process holds a
	// resource that its predecessor must have lost, such as the listening
	// address.
	PredecessorEnded bool
	// RenewEvery is the time between renewals of a lease.
	RenewEvery time.Duration
	// MinWriteGap is the shortest time between two writes of a holder to one
	// ledger. It bounds the writes per second of a limit to the number of
	// holders divided by MinWriteGap.
	MinWriteGap time.Duration
	// Headroom is the multiple of its demand that a holder asks for, so that
	// random arrivals find tokens.
	Headroom float64
}

// DefaultPolicy returns the policy for production.
func DefaultPolicy() Policy {
	return Policy{
		FloorFraction:    0.5,
		MinFloorFraction: 0.1,
		LeaseTerm:        10 * time.Second,
		LeaseMargin:      2 * time.Second,
		FloorTerm:        time.Hour,
		FloorMargin:      30 * time.Second,
		RenewEvery:       3 * time.Second,
		MinWriteGap:      time.Second,
		Headroom:         1.5,
	}
}
