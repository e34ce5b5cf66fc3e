package keys

import (
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// scenario returns six running instances in three zones that know one key, with
// the platform read and digests exchanged just now.
func scenario(t *testing.T) (*fleet, Key) {
	t.Helper()
	f := newFleet("a", "a", "b", "b", "c", "c")
	k, err := NewStore(f.store).Grant(t.Context(), "c1", []string{testRoute})
	must.NoError(t, err)
	for _, n := range f.nodes {
		must.NoError(t, n.Poll(t.Context()))
	}
	f.exchange()
	return f, k
}

func withdrawalOf(k Key, f *fleet) *withdrawal {
	return &withdrawal{Withdrawal{k.ID, "change"}, NewWithdrawalTracker(f.names), false, 0}
}

// live lets time pass with digests once a second.
func (f *fleet) live(seconds int) {
	for range seconds {
		f.now = f.now.Add(time.Second)
		f.exchange()
	}
}

// accepts reports whether an instance accepts the key under a bound. Errors other
// than a withdrawn key or stale data fail the test.
func (f *fleet) accepts(t *testing.T, name string, k Key, bound time.Duration) bool {
	t.Helper()
	customer, err := f.nodes[name].VerifyFresh(k.Reveal(), testRoute, bound)
	var withdrawn *WithdrawnError
	var stale *StaleKeyDataError
	must.True(t, err == nil || errors.As(err, &withdrawn) || errors.As(err, &stale), must.Sprintf("got %v", err))
	must.Eq(t, err == nil, customer == "c1")
	return err == nil
}

// Guards against a withdrawal that waits for the platform, that is lost when the
// platform returns, or that is written more than once; and against keyed routes
// that stop while most instances are heard.
func TestWithdrawalDuringOutage(t *testing.T) {
	f, k := scenario(t)
	other, err := NewStore(f.store).Grant(t.Context(), "c1", []string{testRoute})
	must.NoError(t, err)
	must.NoError(t, f.nodes["i1"].Poll(t.Context()))
	f.cutPlatform(true, f.names...)
	f.live(60) // the others get the second key from i1

	w := withdrawalOf(k, f)
	f.follow(w, "i1")
	must.Eq(t, WithdrawalReport{InForce: true}, w.tally.Report(f.now, testBound))
	for _, name := range f.names {
		must.False(t, f.accepts(t, name, k, testBound))
		must.True(t, f.accepts(t, name, other, testBound))
		must.Eq(t, []Withdrawal{w.Withdrawal}, f.nodes[name].PendingWithdrawals())
	}
	f.cutPlatform(false, f.names...)
	for _, name := range f.names {
		must.NoError(t, f.nodes[name].Poll(t.Context()))
		must.NoError(t, f.nodes[name].WritePendingWithdrawals(t.Context()))
	}
	must.NoError(t, f.nodes["i1"].Poll(t.Context()))
	must.SliceEmpty(t, f.nodes["i1"].PendingWithdrawals())
	must.Eq(t, 3, f.nodes["i1"].KeySet().Generation(), must.Sprint("one change for six writers"))
}

// Guards against a zone that is cut off and accepts a withdrawn key for longer than
// the bound, and against a report that does not wait for a widened bound.
func TestCutOffZone(t *testing.T) {
	const widened = time.Minute
	f, k := scenario(t)
	f.split([]bool{true, true, false, false, false, false})
	f.cutPlatform(true, "i1", "i2")
	w := withdrawalOf(k, f)
	f.follow(w, "i3")
	report := w.tally.Report(f.now, testBound)
	must.Eq(t, []string{"i1", "i2"}, report.NotReached)
	must.False(t, report.InForce)

	f.live(5)
	must.True(t, f.accepts(t, "i1", k, testBound), must.Sprint("the bound has not passed"))
	must.False(t, w.tally.Report(f.now, testBound).InForce)
	f.live(1)
	must.False(t, f.accepts(t, "i1", k, testBound))
	must.True(t, w.tally.Report(f.now, testBound).InForce)

	must.True(t, f.accepts(t, "i1", k, widened))
	must.False(t, w.tally.Report(f.now, widened).InForce)
	f.live(55)
	must.False(t, f.accepts(t, "i1", k, widened))
	must.True(t, w.tally.Report(f.now, widened).InForce)
	must.False(t, f.accepts(t, "i3", k, testBound))
}

// Guards against a replacement without the platform that has no keys, accepts a
// withdrawn one, or accepts any before it has heard most instances.
func TestReplacementDuringOutage(t *testing.T) {
	f, k := scenario(t)
	other, err := NewStore(f.store).Grant(t.Context(), "c1", []string{testRoute})
	must.NoError(t, err)
	must.NoError(t, f.nodes["i2"].Poll(t.Context()))
	f.live(1)
	f.cutPlatform(true, f.names...)
	f.follow(withdrawalOf(k, f), "i2")
	f.restart("i1", false)
	for _, peer := range []string{"i2", "i3", "i4"} {
		must.False(t, f.accepts(t, "i1", other, testBound))
		f.deliver(f.ask("i1", peer))
	}
	must.False(t, f.accepts(t, "i1", other, testBound), must.Sprint("three of six are not more than half"))
	f.deliver(f.ask("i1", "i5"))
	must.True(t, f.accepts(t, "i1", other, testBound))
	must.False(t, f.accepts(t, "i1", k, testBound))
	must.Len(t, 1, f.nodes["i1"].PendingWithdrawals())
}

// Guards against an instance that confirmed a withdrawal, restarted, read a
// platform that does not have it yet, and accepts the key or counts as heard for others.
func TestRestartForgetsConfirmedWithdrawal(t *testing.T) {
	f, k := scenario(t)
	f.cutPlatform(true, f.names...)
	w := withdrawalOf(k, f)
	f.follow(w, "i2")
	must.True(t, w.tally.Report(f.now, testBound).InForce)
	f.split([]bool{true, false, false, false, false, false})
	f.restart("i1", false)
	f.cutPlatform(false, "i1")
	must.NoError(t, f.nodes["i1"].Poll(t.Context()))
	must.False(t, f.accepts(t, "i1", k, testBound))
	must.False(t, f.nodes["i1"].Digest().Complete)
	clear(f.broken)
	f.deliver(f.ask("i1", "i3"))
	must.True(t, f.nodes["i1"].Digest().Complete)
	must.False(t, f.accepts(t, "i1", k, testBound))
}

// Guards against peers that count as heard although they are incomplete or have
// newer records than the receiver, and against a cold start that never ends.
func TestPeersThatDoNotCount(t *testing.T) {
	f, k := scenario(t)
	f.cutPlatform(true, f.names...)
	f.live(60)
	for _, name := range f.names[1:] {
		f.restart(name, false)
	}
	f.exchange()
	f.live(6)
	must.False(t, f.accepts(t, "i1", k, testBound), must.Sprint("only incomplete peers are heard"))

	f, k = scenario(t)
	f.cutPlatform(true, f.names[:3]...)
	_, err := NewStore(f.store).Withdraw(t.Context(), Withdrawal{k.ID, "w"})
	must.NoError(t, err)
	f.now = f.now.Add(time.Minute)
	for _, name := range f.names[3:] {
		must.NoError(t, f.nodes[name].Poll(t.Context()))
		must.False(t, f.nodes["i1"].MergeDigest(f.nodes[name].Digest(), f.now))
	}
	must.False(t, f.accepts(t, "i1", k, testBound))
	must.False(t, f.nodes["i1"].Fresh(testBound))

	f, k = scenario(t)
	for _, name := range f.names {
		f.restart(name, false)
		must.NoError(t, f.nodes[name].Poll(t.Context()))
	}
	f.live(2)
	must.True(t, f.accepts(t, "i1", k, testBound), must.Sprint("all instances started at once"))
}

// Guards against a paused instance that takes digests and platform reads from
// before its pause for new ones.
func TestPausedInstance(t *testing.T) {
	f, k := scenario(t)
	waiting := []answer{f.ask("i1", "i2"), f.ask("i1", "i3"), f.ask("i1", "i4"), f.ask("i1", "i5")}
	must.True(t, f.accepts(t, "i1", k, testBound))
	f.now = f.now.Add(time.Minute)
	f.cutPlatform(true, "i1")
	must.False(t, f.accepts(t, "i1", k, testBound))
	for _, a := range waiting {
		f.deliver(a)
	}
	must.False(t, f.accepts(t, "i1", k, testBound))

	f.nodes["i1"].table.cut = false
	f.nodes["i1"].table.afterRead = func() { f.now = f.now.Add(time.Minute) }
	must.NoError(t, f.nodes["i1"].Poll(t.Context()))
	must.False(t, f.accepts(t, "i1", k, testBound), must.Sprint("paused during the read"))
}
