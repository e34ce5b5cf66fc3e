package peer

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/jacinthrack/jacinthrack/peer/peerpb"
)

// server implements the gRPC service Peer.
type server struct {
	peerpb.UnimplementedPeerServer
	service *Service
}

// Exchange merges the peer's digest and returns that of this instance.
func (s *server) Exchange(_ context.Context, in *peerpb.Digest) (*peerpb.Digest, error) {
	s.service.handler.MergeRequest(in)
	sender := in.GetSender()
	return s.service.handler.Digest(Recipient{Name: sender.GetName(), Zone: sender.GetZone(), IsReply: true}), nil
}

// Announce applies an announcement and, if it has hops left, forwards it to the other instances
// of this zone. It returns the confirmations of all of them.
func (s *server) Announce(ctx context.Context, in *peerpb.Announcement) (*peerpb.AnnounceReply, error) {
	reply := &peerpb.AnnounceReply{}
	if confirmation := s.service.handler.HandleAnnouncement(ctx, in); confirmation != nil {
		reply.Confirmed = append(reply.Confirmed, confirmation)
	}
	if in.GetHops() > 0 {
		reply.Confirmed = append(reply.Confirmed, s.service.announceInZone(ctx, in)...)
	}
	return reply, nil
}

// FetchSection returns the configuration section with the requested SHA-256 hash.
func (s *server) FetchSection(_ context.Context, in *peerpb.FetchSectionRequest) (*peerpb.FetchSectionReply, error) {
	data, ok := s.service.handler.Section(in.GetSha256())
	if !ok {
		return nil, status.Errorf(codes.NotFound, "section %x is not held here", in.GetSha256())
	}
	return &peerpb.FetchSectionReply{Data: data}, nil
}

// Borrow lends tokens of a fleet-wide limit to the peer.
func (s *server) Borrow(_ context.Context, in *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	lent, remaining := s.service.handler.Lend(in.GetLimit(), in.GetTokens())
	return &peerpb.BorrowReply{Tokens: lent, Left: remaining}, nil
}

// State returns the full state of this instance.
func (s *server) State(context.Context, *peerpb.StateRequest) (*peerpb.StateReply, error) {
	return s.service.handler.State(), nil
}

// AskShares answers a share request with share grants.
func (s *server) AskShares(_ context.Context, in *peerpb.SharesRequest) (*peerpb.SharesReply, error) {
	if s.service.shareAllocator == nil {
		return nil, status.Error(codes.Unimplemented, "this instance keeps no shares of limits")
	}
	reply, err := s.service.shareAllocator.GrantShares(in)
	if err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	return reply, nil
}
