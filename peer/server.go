package peer

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/jacinthrack/jacinthrack/peer/peerpb"
)

// server implements the gRPC service.
type server struct {
	peerpb.UnimplementedPeerServer
	service *Service
}

// Exchange merges the caller's digest and returns the local one.
func (s *server) Exchange(_ context.Context, in *peerpb.Digest) (*peerpb.Digest, error) {
	s.service.knowledge.MergeRequest(in)
	sender := in.GetSender()
	return s.service.knowledge.Digest(Recipient{Name: sender.GetName(), Zone: sender.GetZone(), IsReply: true}), nil
}

// Announce takes an announcement and passes it on while it has hops left.
func (s *server) Announce(ctx context.Context, in *peerpb.Announcement) (*peerpb.AnnounceReply, error) {
	reply := &peerpb.AnnounceReply{}
	if confirmation := s.service.knowledge.HandleAnnouncement(ctx, in); confirmation != nil {
		reply.Confirmed = append(reply.Confirmed, confirmation)
	}
	if in.GetHops() > 0 {
		reply.Confirmed = append(reply.Confirmed, s.service.announceInZone(ctx, in)...)
	}
	return reply, nil
}

// FetchSection returns a section of the configuration.
func (s *server) FetchSection(_ context.Context, in *peerpb.FetchSectionRequest) (*peerpb.FetchSectionReply, error) {
	data, ok := s.service.knowledge.Section(in.GetSha256())
	if !ok {
		return nil, status.Errorf(codes.NotFound, "section %x is not held here", in.GetSha256())
	}
	return &peerpb.FetchSectionReply{Data: data}, nil
}

// Borrow lends tokens of a fleet-wide limit.
func (s *server) Borrow(_ context.Context, in *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	lent, left := s.service.knowledge.Lend(in.GetLimit(), in.GetTokens())
	return &peerpb.BorrowReply{Tokens: lent, Left: left}, nil
}

// State returns the full state.
func (s *server) State(context.Context, *peerpb.StateRequest) (*peerpb.StateReply, error) {
	return s.service.knowledge.State(), nil
}

// AskShares grants parts of the zone's shares.
func (s *server) AskShares(_ context.Context, in *peerpb.SharesRequest) (*peerpb.SharesReply, error) {
	if s.service.shares == nil {
		return nil, status.Error(codes.Unimplemented, "this instance keeps no shares of limits")
	}
	reply, err := s.service.shares.GrantShares(in)
	if err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	return reply, nil
}
