// Package identity registers entry instances in the platform's table and keeps track of
// all members of the fleet.
//
// An instance has one row, instances/<name>. Each registration of a name has a larger
// fencing token than the previous one. A Holder renews its row on the condition that the
// row version has not changed, so a paused or duplicate process learns that a newer
// registration exists. Its lease counts on its own monotonic clock, from the time before
// each write.
//
// A Membership combines the platform's listing (its list of entry instances), the
// registration rows and the digests that instances exchange. Membership and Fleet
// perform no I/O and read no clock. Holder and Watcher connect them to the platform.
package identity

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore"
)

// RowPrefix is the common key prefix of all registration rows.
const RowPrefix = "instances/"

// PruneAfter is the time since the last write after which a registration row may be
// removed. No process is expected to continue after such a long pause.
const PruneAfter = 7 * 24 * time.Hour

// State is the state that an instance writes to its registration row.
type State string

// Instance states.
const (
	StateServing  State = "serving"
	StateDraining State = "draining"
	// StateLeft: the instance has deregistered. The row remains, so that the next
	// registration gets a larger fencing token.
	StateLeft State = "left"
)

// Registration is the value of a registration row.
type Registration struct {
	Name          string `json:"name"`
	Zone          string `json:"zone"`
	BootID        uint64 `json:"boot_id"`
	Token         int64  `json:"token"` // fencing token; 0: not registered
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
	State         State  `json:"state"`
	// Renewal is the number of writes by the process. It increases with each
	// renewal.
	Renewal uint64 `json:"renewal"`
	// LeaseMS is the time in milliseconds, from the start of a write, for which the
	// process may consider its registration valid.
	LeaseMS int64 `json:"lease_ms"`
	// WrittenAt is the writer's wall clock in Unix seconds. Only Expired uses it.
	WrittenAt int64 `json:"written_at"`
}

// RowKey returns the key of the registration row of an instance name.
func RowKey(name string) string { return RowPrefix + name }

// Lease returns LeaseMS as a time.Duration.
func (r Registration) Lease() time.Duration {
	return time.Duration(r.LeaseMS) * time.Millisecond
}

// Expired reports whether the row is old enough to be removed, see PruneAfter. wall is
// the current wall clock time.
func (r Registration) Expired(wall time.Time) bool {
	return wall.Sub(time.Unix(r.WrittenAt, 0)) >= PruneAfter
}

// Encode returns the value of the registration row.
func (r Registration) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(&FormatError{Key: RowKey(r.Name), Err: err}) // cannot happen: all fields are strings and integers
	}
	return data
}

// Decode parses a registration row. It returns *FormatError.
func Decode(row tablestore.Row) (Registration, error) {
	var r Registration
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return Registration{}, &FormatError{Key: row.Key, Err: err}
	}
	if RowKey(r.Name) != row.Key || r.BootID == 0 {
		return Registration{}, &FormatError{Key: row.Key}
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
