// Package identity registers entry instances in the platform's table and merges
// what is known about all of them into one membership view.
//
// An instance has one row, instances/<name>. Each registration of a name carries
// a larger fencing token than the one before. A Holder renews its row with a
// condition on the row version, so a paused or duplicate process learns that a
// newer registration exists, and it counts the validity of its own registration
// on its own monotonic clock from before each write.
//
// Membership and Fleet are pure. Holder and Watcher are the adapters.
package identity

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore"
)

// RegistrationKeyPrefix is the common prefix of all registration rows.
const RegistrationKeyPrefix = "instances/"

// PruneAfter is the age of the last write after which a registration row may be
// removed. No process is expected to wake after such a pause.
const PruneAfter = 7 * 24 * time.Hour

// State is what an instance says about itself.
type State string

// Instance states.
const (
	StateServing  State = "serving"
	StateDraining State = "draining"
	// StateDeregistered: the instance deregistered. The row stays to keep its token.
	StateDeregistered State = "left"
)

// Registration is the value of a registration row.
type Registration struct {
	Name          string `json:"name"`
	Zone          string `json:"zone"`
	BootID        uint64 `json:"boot_id"`
	FencingToken         int64  `json:"token"`
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
	State         State  `json:"state"`
	// RenewalCount grows with each heartbeat of the process.
	RenewalCount uint64 `json:"renewal"`
	// LeaseMS is how long after a write its process may hold the registration
	// for valid, in milliseconds.
	LeaseMS int64 `json:"lease_ms"`
	// WrittenAt is the writer's wall clock in Unix seconds. Only Expired uses it.
	WrittenAt int64 `json:"written_at"`
}

// RegistrationKey returns the key of the registration row of a name.
func RegistrationKey(name string) string { return RegistrationKeyPrefix + name }

// Lease returns LeaseMS as a duration.
func (r Registration) Lease() time.Duration {
	return time.Duration(r.LeaseMS) * time.Millisecond
}

// Prunable reports whether the row may be removed. wall is the wall clock.
func (r Registration) Prunable(wall time.Time) bool {
	return wall.Sub(time.Unix(r.WrittenAt, 0)) >= PruneAfter
}

// Encode returns the row value.
func (r Registration) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(&InvalidRegistrationError{RowKey: RegistrationKey(r.Name), Err: err}) // plain fields always encode
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

// NewBootID returns a random boot id, which is never zero.
func NewBootID() uint64 {
	for {
		if id := rand.Uint64(); id != 0 {
			return id
		}
	}
}

// nextToken returns a token above the previous one. The wall clock keeps tokens
// growing when the row of a name was pruned in between.
func nextToken(previous int64, wall time.Time) int64 {
	return max(previous+1, wall.UnixMilli())
}
