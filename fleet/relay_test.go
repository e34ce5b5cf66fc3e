package fleet

import (
	"context"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/jacinthrack/jacinthrack/peer"
	"github.com/jacinthrack/jacinthrack/peer/peerpb"
	"github.com/jacinthrack/jacinthrack/upstream"
)

// isolatedDigest is a digest of an isolated instance.
func isolatedDigest(suffix, zone string) *peerpb.Digest {
	d := testDigest(suffix, zone, 1, 0, false)
	d.Sender.Isolated = true
	return d
}

// newRelayView returns a view of instances in two regions: n1 in this zone and n2 in zone z2 are in
// region r1, n3 and n4 in zone z3 of region r2.
func newRelayView(f *fakeDataPath) *View {
	v := newTestView(f)
	v.SetRegistered([]Instance{
		{Name: "n1", Zone: "z1", Region: "r1", PeerAddress: "p1", CallerAddress: "c1"}, {Name: "n2", Zone: "z2", Region: "r1", PeerAddress: "p2", CallerAddress: "c2"},
		{Name: "n3", Zone: "z3", Region: "r2", PeerAddress: "p3", CallerAddress: "c3"}, {Name: "n4", Zone: "z3", Region: "r2", PeerAddress: "p4", CallerAddress: "c4"},
	})
	for suffix, zone := range map[string]string{"1": "z1", "2": "z2", "3": "z3", "4": "z3"} {
		v.MergeRequest(testDigest(suffix, zone, 1, 0, false))
	}
	return v
}

// Guards against relays through instances that are isolated, gone or stopping, and against requests
// that pass through a region in which they may not be processed.
func TestRelaysAreNearTheServerAndUsable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &Relays{View: newRelayView(&fakeDataPath{ready: true, version: 1})}
		must.Eq(t, []string{"p1", "p2"}, r.RelayAddresses("s1", "z1", "r1", true))
		must.Eq(t, []string{"p2", "p1"}, r.RelayAddresses("s1", "z2", "r1", true))
		must.SliceContainsAll(t, []string{"p3", "p4"}, r.RelayAddresses("s1", "z3", "r2", true))
		must.Eq(t, []string{"p1", "p2"}, r.RelayAddresses("s1", "z1", "r1", false)[:2])
		must.Len(t, 4, r.RelayAddresses("s1", "z1", "r1", false))
		r.MergeRequest(isolatedDigest("1", "z1"))
		r.MergeRequest(testDigest("2", "z2", 1, 0, true)) // draining
		must.SliceEmpty(t, r.RelayAddresses("s1", "z1", "r1", true))
		must.Len(t, 2, r.RelayAddresses("s1", "z1", "r1", false))
		time.Sleep(LivenessTimeout + time.Second)
		must.SliceEmpty(t, r.RelayAddresses("s1", "z1", "r1", false))
	})
}

// fakeOpener opens connections to nowhere.
type fakeOpener struct{}

func (fakeOpener) OpenRelay(context.Context, string, string, string) (net.Conn, error) {
	conn, _ := net.Pipe()
	return conn, nil
}

// Guards against requests that are cut in a planned stop of the instance that relays them, and against
// requests on kept connections through an instance that is isolated or gone.
func TestKeptRelaysThroughUnusableInstancesAreNotUsed(t *testing.T) {
	for name, change := range map[string]func(*View){
		"stopping": func(v *View) { v.MergeRequest(testDigest("1", "z1", 1, 0, true)) },
		"isolated": func(v *View) { v.MergeRequest(isolatedDigest("1", "z1")) },
		"gone":     func(*View) { time.Sleep(LivenessTimeout + time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &Relays{View: newRelayView(&fakeDataPath{ready: true, version: 1}), RelayOpener: fakeOpener{}}
				conn, err := r.OpenRelay(t.Context(), "p1", "s1", "10.0.0.1:80")
				must.NoError(t, err)
				kept := conn.(upstream.KeptConn)
				must.True(t, kept.Usable())
				change(r.View)
				must.False(t, kept.Usable())
			})
		})
	}
}

// refusingOpener refuses to relay with a status.
type refusingOpener struct{ code codes.Code }

func (o refusingOpener) OpenRelay(_ context.Context, peerAddress, _, _ string) (net.Conn, error) {
	return nil, &peer.RelayError{Peer: peerAddress, Err: status.Error(o.code, "refused")}
}

// Guards against an isolated instance through which relays are tried again and again, since its digest
// has not arrived yet.
func TestInstanceThatRefusesToRelayIsNotAskedAgain(t *testing.T) {
	for code, asked := range map[codes.Code]bool{codes.Unavailable: false, codes.FailedPrecondition: true, codes.NotFound: true, codes.Canceled: true} {
		synctest.Test(t, func(t *testing.T) {
			r := &Relays{View: newRelayView(&fakeDataPath{ready: true, version: 1}), RelayOpener: refusingOpener{code}}
			time.Sleep(time.Millisecond)
			_, err := r.OpenRelay(t.Context(), "p1", "s1", "10.0.0.1:80")
			must.Error(t, err)
			must.Eq(t, asked, slices.Contains(r.RelayAddresses("s1", "z1", "r1", true), "p1"), must.Sprint(code))
			r.MergeRequest(testDigest("1", "z1", 1, 0, false))
			must.SliceContains(t, r.RelayAddresses("s1", "z1", "r1", true), "p1")
		})
	}
}

// Guards against look-ups that name an isolated instance beside one that is not, none if all are
// isolated, and only a few that cannot carry the traffic of all.
func TestSelectAddressesPrefersInstancesThatAreNotIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeDataPath{ready: true, version: 1}
		v := newRelayView(f)
		selectAddresses := func() []string { return v.SelectAddresses("r1", time.Now(), 64) }
		must.Eq(t, []string{"c0", "c1", "c2"}, selectAddresses())
		f.isolated = true
		v.MergeRequest(isolatedDigest("1", "z1"))
		must.Eq(t, []string{"c2"}, selectAddresses())
		v.MergeRequest(isolatedDigest("2", "z2"))
		must.Eq(t, []string{"c3", "c4"}, selectAddresses())
		v.MergeRequest(isolatedDigest("3", "z3"))
		must.Eq(t, []string{"c0", "c1", "c2"}, selectAddresses(), must.Sprint("one of five would carry five times its load"))
		v.MergeRequest(isolatedDigest("4", "z3"))
		must.Eq(t, []string{"c0", "c1", "c2"}, selectAddresses())
		v.MergeRequest(testDigest("1", "z1", 1, 0, false))
		must.Eq(t, []string{"c1"}, selectAddresses())
	})
}
