package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/dispatch"
	"github.com/jacinthrack/jacinthrack/internal/boottime"
	"github.com/jacinthrack/jacinthrack/peer"
	"github.com/jacinthrack/jacinthrack/peer/peerpb"
	"github.com/jacinthrack/jacinthrack/quarantine"
)

// fakeDataPath implements DataPath and records the calls of ConfirmConfig and ConfigOutdated.
type fakeDataPath struct {
	age              time.Duration
	version          int64
	confirmed        []boottime.Instant
	outdatedCalls    int
	announcedVersion int64 // by the last one
	ready            bool
	isolated         bool
	demands          []dispatch.RateDemand
	mergedDemands    []mergedDemand
	// nextVersion is a version that comes into force, with the age 0, right after the next call
	// of ConfigAge or ConfigVersion; 0 for none.
	nextVersion int64
}

// mergedDemand is a call of MergeRateDemands.
type mergedDemand struct {
	Instance string
	Demands  []dispatch.RateDemand
}

func (f *fakeDataPath) applyNextVersion() {
	if f.nextVersion > 0 {
		f.version, f.age, f.nextVersion = f.nextVersion, 0, 0
	}
}

func (f *fakeDataPath) ConfigAge() time.Duration {
	age := f.age
	f.applyNextVersion()
	return age
}
func (f *fakeDataPath) ConfigVersion() int64 {
	version := f.version
	f.applyNextVersion()
	return version
}
func (f *fakeDataPath) ConfirmConfig(at boottime.Instant) { f.confirmed = append(f.confirmed, at) }
func (f *fakeDataPath) ConfigOutdated(version int64) {
	f.outdatedCalls, f.announcedVersion = f.outdatedCalls+1, version
}
func (f *fakeDataPath) Ready() bool    { return f.ready }
func (f *fakeDataPath) Isolated() bool { return f.isolated }
func (f *fakeDataPath) Lend(_ string, tokens float64) (float64, float64) {
	return min(tokens, 0.25), 0.5
}
func (f *fakeDataPath) RateDemands(count int) []dispatch.RateDemand {
	return f.demands[:min(count, len(f.demands))]
}
func (f *fakeDataPath) MergeRateDemands(instance string, demands []dispatch.RateDemand, _ time.Duration) {
	f.mergedDemands = append(f.mergedDemands, mergedDemand{instance, demands})
}
func (f *fakeDataPath) Suspects(int) []quarantine.SuspectReport                 { return nil }
func (f *fakeDataPath) MergeSuspects([]quarantine.SuspectReport, time.Duration) {}

const testMaxConfigAge = 3 * time.Second

func newTestView(f *fakeDataPath) *View {
	return New(Instance{Name: "n0", Zone: "z1", Region: "r1", PeerAddress: "p0", CallerAddress: "c0"}, f, testMaxConfigAge)
}

// testDigest returns a digest of the instance named "n"+suffix, with a configuration of a
// version and age.
func testDigest(suffix, zone string, version uint64, age time.Duration, draining bool) *peerpb.Digest {
	ms := uint32(age.Milliseconds())
	return &peerpb.Digest{
		Sender:        &peerpb.Sender{Name: "n" + suffix, Zone: zone, PeerAddress: "p" + suffix, CallerAddress: "c" + suffix, Draining: draining},
		PlatformAgeMs: &ms, Config: &peerpb.ConfigVersion{Generation: version},
	}
}

// Callers must be sent to instances of their region that are alive, ready and have a fresh
// configuration. Instances of other regions or with a stale configuration are selected only if
// there are no such instances.
func TestSelectAddressesPrefersFreshInstancesOfTheRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeDataPath{ready: true, version: 1, age: time.Second}
		v := newTestView(f)
		v.SetRegistered([]Instance{
			{Name: "n1", Zone: "z2", Region: "r1", PeerAddress: "p1", CallerAddress: "c1"},
			{Name: "n2", Zone: "z3", Region: "r2", PeerAddress: "p2", CallerAddress: "c2"},
			{Name: "n3", Zone: "z2", Region: "r1", PeerAddress: "p3", CallerAddress: "c3"},
		})
		selectAddresses := func(region string) []string { return v.SelectAddresses(region, time.Now(), 64) }
		must.Eq(t, []string{"c0"}, selectAddresses("r1")) // no other instance was seen
		v.MergeRequest(testDigest("1", "z2", 1, 0, false))
		v.MergeRequest(testDigest("2", "z3", 1, 0, false))
		v.MergeRequest(testDigest("3", "z2", 1, 0, true)) // draining
		must.Eq(t, []string{"c0", "c1"}, selectAddresses("r1"))
		must.Eq(t, []string{"c2"}, selectAddresses("r2"))
		must.Eq(t, []string{"c0", "c1", "c2"}, selectAddresses("elsewhere"))
		f.age = time.Hour // cut off from the store
		must.Eq(t, []string{"c1"}, selectAddresses("r1"))
		v.MergeRequest(testDigest("1", "z2", 1, time.Hour, false))
		must.Eq(t, []string{"c2"}, selectAddresses("r1")) // the only one with a fresh configuration
		time.Sleep(LivenessTimeout + time.Second)
		must.Eq(t, []string{"c0"}, selectAddresses("r2")) // stale, but the only one alive
	})
}

// Only a reply to a request of this instance confirms the configuration, and only one with the
// same version. A digest that was sent unasked may have been delayed for any time, and a digest
// with another version says nothing about the age of the configuration in force here.
func TestOnlyRepliesOfSameVersionConfirmConfig(t *testing.T) {
	f := &fakeDataPath{version: 7}
	v := newTestView(f)
	v.SetRegistered([]Instance{{Name: "n1", Zone: "z1", Region: "r1", PeerAddress: "p1", CallerAddress: "c1"}})
	reply := func(d *peerpb.Digest) { v.MergeReply(context.Background(), d, time.Millisecond) }
	v.MergeRequest(testDigest("1", "z1", 7, 0, false))
	must.SliceEmpty(t, f.confirmed)
	reply(testDigest("1", "z1", 7, 0, false)) // no request was sent
	must.SliceEmpty(t, f.confirmed)
	requestedAt := boottime.Now()
	v.Digest(peer.Recipient{Name: "n1", Zone: "z1"})
	reply(testDigest("1", "z1", 6, 0, false))
	must.SliceEmpty(t, f.confirmed)
	reply(testDigest("1", "z1", 8, 0, false))
	must.SliceEmpty(t, f.confirmed)
	must.Eq(t, 1, f.outdatedCalls)
	must.Eq(t, 8, f.announcedVersion)
	reply(testDigest("1", "z1", 7, 2*time.Second, false))
	must.Len(t, 1, f.confirmed)
	must.LessEq(t, boottime.Now().Add(-2*time.Second), f.confirmed[0])
	must.GreaterEq(t, requestedAt.Add(-2*time.Second), f.confirmed[0])
}

// A configuration may arrive while a digest is built. Its age must not be sent with the version
// before it, since peers with the older version would go on accepting withdrawn keys.
func TestDigestNeverPairsNewAgeWithOldVersion(t *testing.T) {
	f := &fakeDataPath{version: 7, age: time.Minute, nextVersion: 8}
	d := newTestView(f).Digest(peer.Recipient{Name: "n1", Zone: "z1"})
	if d.GetConfig().GetGeneration() == 7 {
		must.GreaterEq(t, uint32(time.Minute.Milliseconds()), d.GetPlatformAgeMs())
	}
}

// The number of instances that may be alive must include instances that are registered but were
// not seen, and those that were seen but are not registered yet.
func TestMemberCountIncludesRegisteredInstances(t *testing.T) {
	v := newTestView(&fakeDataPath{})
	must.Eq(t, 1, v.MemberCount())
	v.SetRegistered([]Instance{{Name: "n1", CallerAddress: "c1"}, {Name: "n0", CallerAddress: "c0"}})
	must.Eq(t, 2, v.MemberCount())
	v.MergeRequest(testDigest("9", "z1", 1, 0, false)) // seen, but not registered yet
	must.Eq(t, 3, v.MemberCount())
}

// Lent amounts and balances must be converted to thousandths of a token. Both are whole thousandths
// here, so that the rounding is not covered.
func TestLendConvertsTokensToThousandths(t *testing.T) {
	lent, remaining := newTestView(&fakeDataPath{}).Lend("acme", 2000)
	must.Eq(t, 250, lent)
	must.Eq(t, 500, remaining)
}

// The demand for servers that limit their rate must reach the other instance, also when it is
// none, since the rate is divided by the demand of all.
func TestDigestCarriesRateDemands(t *testing.T) {
	limit, none := 6.5, 0.0
	demands := []dispatch.RateDemand{
		{ServerHash: 7, PerSecond: 2.5, Limit: &limit, LimitAge: 300 * time.Millisecond},
		{ServerHash: 8, Limit: &none, LimitAge: time.Millisecond},
		{ServerHash: 1 << 63, PerSecond: 0.001},
	}
	sender, receiver := &fakeDataPath{demands: demands}, &fakeDataPath{}
	from := New(Instance{Name: "n1", Zone: "z2", PeerAddress: "p1", CallerAddress: "c1"}, sender, testMaxConfigAge)
	to := newTestView(receiver)
	to.MergeRequest(from.Digest(peer.Recipient{Name: "n0", Zone: "z1"}))
	for i := range receiver.mergedDemands[0].Demands {
		if received := &receiver.mergedDemands[0].Demands[i]; received.Limit != nil {
			must.Between(t, demands[i].LimitAge, received.LimitAge, demands[i].LimitAge+time.Millisecond)
			received.LimitAge = demands[i].LimitAge
		}
	}
	sender.demands = nil
	to.MergeRequest(from.Digest(peer.Recipient{Name: "n0", Zone: "z1"}))
	must.Eq(t, []mergedDemand{{"c1", demands}, {"c1", []dispatch.RateDemand{}}}, receiver.mergedDemands)
}
