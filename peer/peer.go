// Package peer exchanges digests and announcements between entry instances over
// gRPC. It is registered with the kernel as the service "peer.grpc".
//
// The package only transports messages. Their content is built and interpreted by a
// Handler. It also relays connections to backend servers for instances that cannot reach them;
// a ServerDialer opens these.
package peer

import (
	"context"
	"time"

	"github.com/jacinthrack/jacinthrack/peer/peerpb"
)

// ServiceName is the name of the Service in the kernel registry.
const ServiceName = "peer.grpc"

// Schedule and limits of exchanges, announcements and messages.
const (
	// ExchangeInterval is the minimum time between exchange rounds.
	ExchangeInterval = time.Second
	// ZoneFanout is the number of zone peers contacted in a round. With two, the control
	// traffic in a zone of 17 instances stays within 4 KB/s for each instance. If a zone
	// has no more peers than this, every round contacts all of them.
	ZoneFanout = 2
	// FullFanoutMaxPeers is the number of other instances up to which every round contacts all
	// instances of other zones. In a larger fleet, a round contacts one of them.
	FullFanoutMaxPeers = 8
	// ExchangeTimeout bounds one exchange.
	ExchangeTimeout = 800 * time.Millisecond
	// AnnounceTimeout bounds one hop of an announcement, and the calls that fetch a
	// section or the state.
	AnnounceTimeout = 2 * time.Second
	// maxZoneAttempts is the number of instances of another zone that are tried until
	// one confirms an announcement.
	maxZoneAttempts = 3
	// MaxMessageBytes is the maximum size of a message. The largest one is a full state.
	MaxMessageBytes = 32 << 20
)

// Instance is an entry instance to which peers connect.
type Instance struct {
	Name    string
	Zone    string
	Address string // IP:port
}

// Recipient is the instance to which a digest is sent.
type Recipient struct {
	Name string
	Zone string
	// IsReply is set if the digest is the reply to a request of the recipient. Only a
	// reply may contain ages and grants, since the recipient knows an upper bound of its
	// delay: the round-trip time.
	IsReply bool
}

// Handler builds the messages that this instance sends to peers and handles those that it
// receives. Its methods are called concurrently.
type Handler interface {
	// Digest returns the digest of this instance for a recipient.
	Digest(to Recipient) *peerpb.Digest

	// MergeReply merges the digest that a peer returned in an exchange. The ages in the
	// digest are too low by at most roundTrip.
	MergeReply(ctx context.Context, d *peerpb.Digest, roundTrip time.Duration)

	// MergeRequest merges the digest that a peer sent to start an exchange. Its ages
	// must not be used, since the message may have been delayed for any time.
	MergeRequest(d *peerpb.Digest)

	// HandleAnnouncement applies an announcement and returns a confirmation, or nil if the
	// announced data is not in force at this instance afterwards.
	HandleAnnouncement(ctx context.Context, a *peerpb.Announcement) *peerpb.Confirmation

	// Section returns the configuration section with the given SHA-256 hash. It returns
	// false if this instance does not have the section.
	Section(sha256 []byte) ([]byte, bool)

	// Lend takes up to tokens from this instance's part of a fleet-wide limit for a
	// borrower. remaining is what this instance has left.
	Lend(limit string, tokens uint32) (lent, remaining uint32)

	// State returns the full state of this instance, for a replacement instance that starts.
	State() *peerpb.StateReply
}

// ShareAllocator divides the zone's parts of the limits among its instances and answers their
// share requests. Its methods are called concurrently.
type ShareAllocator interface {
	// GrantShares returns an error if this instance does not grant shares.
	GrantShares(r *peerpb.SharesRequest) (*peerpb.SharesReply, error)
}

// Directory lists the other entry instances, without this one.
type Directory interface {
	Instances() []Instance
}
