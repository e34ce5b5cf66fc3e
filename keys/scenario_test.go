package keys

import (
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// newScenario returns six running instances in three zones, and a granted key that all
// of them have. Each has just polled the platform and exchanged digests.
func newScenario(t *testing.T) (*testFleet, Key) {
	t.Helper()
	f := newFleet("a", "a", "b", "b", "c", "c")
	k, err := NewStore(f.store).Grant(t.Context(), "c1", []string{testRoute})
	must.NoError(t, err)
	for _, n := range f.instances {
		must.NoError(t, n.Poll(t.Context()))
	}
	f.exchangeDigests()
	return f, k
}

func newTrackedWithdrawal(k Key, f *testFleet) *trackedWithdrawal {
	return &trackedWithdrawal{Withdrawal{k.ID, "change"}, NewWithdrawalTracker(f.names), false, 0}
}

// runSeconds advances the clock and exchanges digests once per second.
func (f *testFleet) runSeconds(seconds int) {
	for range seconds {
		f.now = f.now.Add(time.Second)
		f.exchangeDigests()
	}
}

// accepts reports whether an instance accepts the key under a staleness bound. Errors
// other than a withdrawn key or stale key data fail the test.
func (f *testFleet) accepts(t *testing.T, name string, k Key, bound time.Duration) bool {
	t.Helper()
	customer, err := f.instances[name].VerifyFresh(k.Reveal(), testRoute, bound)
	var withdrawn *WithdrawnError
	var stale *StaleKeyDataError
	must.True(t, err == nil || errors.As(err, &withdrawn) || errors.As(err, &stale), must.Sprintf("got %v", err))
	must.Eq(t, err == nil, customer == "c1")
	return err == nil
}

// Guards against a withdrawal during a platform outage that does not come into force,
// is lost when the platform returns, or is written more than once. Also guards against
// rejected keys during an outage while digests of a majority arrive.
func TestWithdrawalDuringOutage(t *testing.T) {
	f, k := newScenario(t)
	other, err := NewStore(f.store).Grant(t.Context(), "c1", []string{testRoute})
	must.NoError(t, err)
	must.NoError(t, f.instances["i1"].Poll(t.Context()))
	f.setPlatformUnreachable(true, f.names...)
	f.runSeconds(60) // i1 passes the second key on to its peers

	w := newTrackedWithdrawal(k, f)
	f.withdrawAndConfirm(w, "i1")
	must.Eq(t, WithdrawalReport{InForce: true}, w.tracker.Report(f.now, testBound))
	for _, name := range f.names {
		must.False(t, f.accepts(t, name, k, testBound))
		must.True(t, f.accepts(t, name, other, testBound))
		must.Eq(t, []Withdrawal{w.Withdrawal}, f.instances[name].PendingWithdrawals())
	}
	f.setPlatformUnreachable(false, f.names...)
	for _, name := range f.names {
		must.NoError(t, f.instances[name].Poll(t.Context()))
		must.NoError(t, f.instances[name].WritePendingWithdrawals(t.Context()))
	}
	must.NoError(t, f.instances["i1"].Poll(t.Context()))
	must.SliceEmpty(t, f.instances["i1"].PendingWithdrawals())
	must.Eq(t, 3, f.instances["i1"].KeySet().Generation(), must.Sprint("six instances wrote the withdrawal, one change was recorded"))
}

// Guards against a disconnected zone that accepts a withdrawn key for longer than the
// staleness bound, and against a report that does not wait for a larger bound.
func TestCutOffZone(t *testing.T) {
	const widened = time.Minute
	f, k := newScenario(t)
	f.partition([]bool{true, true, false, false, false, false})
	f.setPlatformUnreachable(true, "i1", "i2")
	w := newTrackedWithdrawal(k, f)
	f.withdrawAndConfirm(w, "i3")
	report := w.tracker.Report(f.now, testBound)
	must.Eq(t, []string{"i1", "i2"}, report.NotReached)
	must.False(t, report.InForce)

	f.runSeconds(5)
	must.True(t, f.accepts(t, "i1", k, testBound), must.Sprint("the staleness bound has not passed"))
	must.False(t, w.tracker.Report(f.now, testBound).InForce)
	f.runSeconds(1)
	must.False(t, f.accepts(t, "i1", k, testBound))
	must.True(t, w.tracker.Report(f.now, testBound).InForce)

	must.True(t, f.accepts(t, "i1", k, widened))
	must.False(t, w.tracker.Report(f.now, widened).InForce)
	f.runSeconds(55)
	must.False(t, f.accepts(t, "i1", k, widened))
	must.True(t, w.tracker.Report(f.now, widened).InForce)
	must.False(t, f.accepts(t, "i3", k, testBound))
}

// Guards against an instance restarted during a platform outage that gets no keys from
// its peers, accepts a withdrawn key, or accepts any key before it has digests of a
// majority.
func TestReplacementDuringOutage(t *testing.T) {
	f, k := newScenario(t)
	other, err := NewStore(f.store).Grant(t.Context(), "c1", []string{testRoute})
	must.NoError(t, err)
	must.NoError(t, f.instances["i2"].Poll(t.Context()))
	f.runSeconds(1)
	f.setPlatformUnreachable(true, f.names...)
	f.withdrawAndConfirm(newTrackedWithdrawal(k, f), "i2")
	f.restart("i1", false)
	for _, peer := range []string{"i2", "i3", "i4"} {
		must.False(t, f.accepts(t, "i1", other, testBound))
		f.deliver(f.requestDigest("i1", peer))
	}
	must.False(t, f.accepts(t, "i1", other, testBound), must.Sprint("three of six are not more than half"))
	f.deliver(f.requestDigest("i1", "i5"))
	must.True(t, f.accepts(t, "i1", other, testBound))
	must.False(t, f.accepts(t, "i1", k, testBound))
	must.Len(t, 1, f.instances["i1"].PendingWithdrawals())
}

// Guards against an instance that confirms a withdrawal, restarts, reads a platform that
// does not have the withdrawal yet, and then accepts the key or reports itself as
// complete.
func TestRestartForgetsConfirmedWithdrawal(t *testing.T) {
	f, k := newScenario(t)
	f.setPlatformUnreachable(true, f.names...)
	w := newTrackedWithdrawal(k, f)
	f.withdrawAndConfirm(w, "i2")
	must.True(t, w.tracker.Report(f.now, testBound).InForce)
	f.partition([]bool{true, false, false, false, false, false})
	f.restart("i1", false)
	f.setPlatformUnreachable(false, "i1")
	must.NoError(t, f.instances["i1"].Poll(t.Context()))
	must.False(t, f.accepts(t, "i1", k, testBound))
	must.False(t, f.instances["i1"].Digest().Complete)
	clear(f.brokenLinks)
	f.deliver(f.requestDigest("i1", "i3"))
	must.True(t, f.instances["i1"].Digest().Complete)
	must.False(t, f.accepts(t, "i1", k, testBound))
}

// Guards against digests that count for freshness although their senders are incomplete
// or have newer records than the receiver. Also guards against a start of all instances
// at once after which none becomes complete.
func TestPeersThatMustNotCount(t *testing.T) {
	f, k := newScenario(t)
	f.setPlatformUnreachable(true, f.names...)
	f.runSeconds(60)
	for _, name := range f.names[1:] {
		f.restart(name, false)
	}
	f.exchangeDigests()
	f.runSeconds(6)
	must.False(t, f.accepts(t, "i1", k, testBound), must.Sprint("all peers are incomplete"))

	f, k = newScenario(t)
	f.setPlatformUnreachable(true, f.names[:3]...)
	_, err := NewStore(f.store).Withdraw(t.Context(), Withdrawal{k.ID, "w"})
	must.NoError(t, err)
	f.now = f.now.Add(time.Minute)
	for _, name := range f.names[3:] {
		must.NoError(t, f.instances[name].Poll(t.Context()))
		must.False(t, f.instances["i1"].MergeDigest(f.instances[name].Digest(), f.now))
	}
	must.False(t, f.accepts(t, "i1", k, testBound))
	must.False(t, f.instances["i1"].Fresh(testBound))

	f, k = newScenario(t)
	for _, name := range f.names {
		f.restart(name, false)
		must.NoError(t, f.instances[name].Poll(t.Context()))
	}
	f.runSeconds(2)
	must.True(t, f.accepts(t, "i1", k, testBound), must.Sprint("all instances started at once"))
}

// Guards against a process that is paused and afterwards takes digests and platform
// reads from before the pause for recent ones.
func TestPausedInstance(t *testing.T) {
	f, k := newScenario(t)
	waiting := []digestReply{f.requestDigest("i1", "i2"), f.requestDigest("i1", "i3"), f.requestDigest("i1", "i4"), f.requestDigest("i1", "i5")}
	must.True(t, f.accepts(t, "i1", k, testBound))
	f.now = f.now.Add(time.Minute)
	f.setPlatformUnreachable(true, "i1")
	must.False(t, f.accepts(t, "i1", k, testBound))
	for _, a := range waiting {
		f.deliver(a)
	}
	must.False(t, f.accepts(t, "i1", k, testBound))

	f.instances["i1"].table.unreachable = false
	f.instances["i1"].table.afterRead = func() { f.now = f.now.Add(time.Minute) }
	must.NoError(t, f.instances["i1"].Poll(t.Context()))
	must.False(t, f.accepts(t, "i1", k, testBound), must.Sprint("the instance was paused during the read"))
}
