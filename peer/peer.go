// Package peer exchanges digests and announcements between entry instances over
// gRPC. It is registered with the kernel as the service "peer.grpc".
//
// The package moves messages. What they mean is decided by the Knowledge that
// it is given.
package peer

import (
	"context"
	"time"

	"github.com/jacinthrack/jacinthrack/peer/peerpb"
)

// ServiceName is the name in the kernel registry.
const ServiceName = "peer.grpc"

// Exchange schedule.
const (
	// ExchangeInterval is the time between rounds of exchanges.
	ExchangeInterval = time.Second
	// ZoneFanout is the number of zone peers contacted in a round. Two keep the
	// control traffic of a zone of 17 instances within 4 KB/s for each instance;
	// in a smaller zone every peer is contacted in every round.
	ZoneFanout = 2
	// FullFanoutMaxPeers is the number of other instances up to which all of them are
	// contacted in every round.
	FullFanoutMaxPeers = 8
	// ExchangeTimeout bounds one exchange.
	ExchangeTimeout = 800 * time.Millisecond
	// AnnounceTimeout bounds one hop of an announcement.
	AnnounceTimeout = 2 * time.Second
	// zoneAttempts bounds the instances of another zone that are tried until one
	// takes an announcement.
	zoneAttempts = 3
	// MaxMessageBytes bounds a message: the largest one is a full state.
	MaxMessageBytes = 32 << 20
)

// Instance is the address of an entry instance.
type Instance struct {
	Name    string
	Zone    string
	Address string // IP:port
}

// Recipient is the instance that a digest is made for.
type Recipient struct {
	Name string
	Zone string
	// IsReply is set when the digest answers the recipient's own request. Only
	// such a digest may carry ages and grants: the recipient knows an upper bound
	// of its delay.
	IsReply bool
}

// Handler builds and merges the messages between instances. Its methods are
// called concurrently.
type Handler interface {
	// Digest returns the local digest for a recipient.
	Digest(to Recipient) *peerpb.Digest

	// MergeReply merges the reply to an exchange. Ages in it are at most
	// roundTrip too low.
	MergeReply(ctx context.Context, d *peerpb.Digest, roundTrip time.Duration)

	// MergeRequest merges a digest that a peer sent on its own. Its ages cannot
	// be trusted, since the message may have been delayed for any time.
	MergeRequest(d *peerpb.Digest)

	// HandleAnnouncement takes an announcement and confirms it if it is in force here.
	HandleAnnouncement(ctx context.Context, a *peerpb.Announcement) *peerpb.Confirmation

	// Section returns a section of the configuration.
	Section(sha256 []byte) ([]byte, bool)

	// Lend takes up to tokens from a fleet-wide limit for the caller. left is what
	// remains here.
	Lend(limit string, tokens uint32) (lent, left uint32)

	// State returns the full state for a replacement.
	State() *peerpb.StateReply
}

// ShareAllocator answers instances of the zone that ask for parts of its shares of
// the limits. Its methods are called concurrently.
type ShareAllocator interface {
	// GrantShares returns an error when this process grants nothing.
	GrantShares(r *peerpb.SharesRequest) (*peerpb.SharesReply, error)
}

// Directory lists the other entry instances, without this one.
type Directory interface {
	Instances() []Instance
}
