// Package identity registers entry instances in the platform's table and keeps track of
// all members of the fleet.
//
// An instance has one row, instances/<name>. Each registration of a name has a larger
// fencing token than the previous one. A RegistrationHolder renews its row on the
// condition that the row version has not changed, so a paused or duplicate process
// learns that a newer registration exists. Its lease counts on its own monotonic clock,
// from the time before each write.
//
// A Membership combines the platform's listing (its list of entry instances), the
// registration rows and the digests that instances exchange. Membership and FleetSize
// perform no I/O and read no clock. RegistrationHolder and Watcher connect them to the platform.
package identity

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore"
)

// RegistrationKeyPrefix is the common key prefix of all registration rows.
const RegistrationKeyPrefix = "instances/"

// PruneAfter is the time since the last write after which a registration row may be
// removed. No process is expected to continue after such a long pause.
const PruneAfter = 7 * 24 * time.Hour

// State is the state that an instance writes to its registration row.
type State string

// Instance states.
const (
	StateServing  State = "serving"
	StateDraining State = "draining"
	// StateDeregistered: the instance has deregistered. The row remains, so that the next
	// registration gets a larger fencing token.
	StateDeregistered State = "left"
)

// Registration is the value of a registration row.
type Registration struct {
	Name          string `json:"name"`
	Zone          string `json:"zone"`
	BootID        uint64 `json:"boot_id"`
	FencingToken  int64  `json:"token"` // fencing token; 0: not registered
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
	State         State  `json:"state"`
	// RenewalCount is the number of writes by the process. It increases with each
	// renewal.
	RenewalCount uint64 `json:"renewal"`
	// LeaseMS is the time in milliseconds, from the start of a write, for which the
	// process may consider its registration valid.
	LeaseMS int64 `json:"lease_ms"`
	// WrittenAt is the writer's wall clock in Unix seconds. Only Prunable uses it.
	WrittenAt int64 `json:"written_at"`
}

// RegistrationKey returns the key of the registration row of an instance name.
func RegistrationKey(name string) string { return RegistrationKeyPrefix + name }

// Lease returns LeaseMS as a time.Duration.
func (r Registration) Lease() time.Duration {
	return time.Duration(r.LeaseMS) * time.Millisecond
}

// Prunable reports whether the row is old enough to be removed, see PruneAfter. wall is
// the current wall clock time.
func (r Registration) Prunable(wall time.Time) bool {
	return wall.Sub(time.Unix(r.WrittenAt, 0)) >= PruneAfter
}

// Encode returns the value of the registration row.
func (r Registration) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(&InvalidRegistrationError{RowKey: RegistrationKey(r.Name), Err: err}) // cannot happen: all fields are strings and integers
	}
	return data
}

// DecodeRegistration parses a registration row. It returns *InvalidRegistrationError.
func DecodeRegistration(row tablestore.Row) (Registration, error) {
	var r Registration
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return Registration{}, &InvalidRegistrationError{RowKey: row.Key, Err: err}
	}
	if RegistrationKey(r.Name) != row.Key || r.BootID == 0 {
		return Registration{}, &InvalidRegistrationError{RowKey: row.Key}
	}
	return r, nil
}

// NewBootID returns a random boot ID, which identifies a process. It is never zero.
func NewBootID() uint64 {
	for {
		if id := rand.Uint64(); id != 0 {
			return id
		}
	}
}

// nextFencingToken returns a fencing token larger than the previous one. It is at least
// the wall clock in Unix milliseconds, so that tokens also increase when the row of a
// name was pruned in between.
func nextFencingToken(previous int64, wall time.Time) int64 {
	return max(previous+1, wall.UnixMilli())
}
