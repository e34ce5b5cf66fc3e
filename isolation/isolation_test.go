package isolation

import (
	"testing"

	"github.com/shoenig/test/must"
)

// dial records an attempt that begins and ends at once. It reports whether servers should be probed.
func dial(d *Detector, server string, ok bool) bool {
	suspected, _ := d.RecordDial(d.Begin(), server, ok, 20)
	return suspected
}

// Guards against an instance that takes the failure of some servers for a loss of its links, or that
// never notices the loss.
func TestOnlyProbesThatAllFailShowIsolation(t *testing.T) {
	var d Detector
	must.False(t, dial(&d, "s1", false))
	must.False(t, dial(&d, "s1", false))
	must.False(t, dial(&d, "s2", false))
	must.False(t, dial(&d, "s3", true))
	must.False(t, dial(&d, "s1", false), must.Sprint("a success in between"))
	must.False(t, dial(&d, "s2", false))
	must.True(t, dial(&d, "s3", false))
	must.False(t, d.Isolated())
	must.False(t, d.RecordProbes(d.Begin(), 3, 1))
	must.False(t, d.Isolated())
	must.False(t, dial(&d, "s4", false))
	must.False(t, dial(&d, "s5", false))
	must.True(t, dial(&d, "s6", false))
	must.True(t, d.RecordProbes(d.Begin(), 3, 0))
	must.True(t, d.Isolated())
	must.False(t, dial(&d, "s7", false), must.Sprint("probes are in progress"))
	must.False(t, d.RecordProbes(d.Begin(), 3, 0))
	must.True(t, d.RecordProbes(d.Begin(), 3, 1))
	must.False(t, d.Isolated())
}

// Guards against a small deployment that never has enough servers to suspect a loss of its links.
func TestAllOfFewServersAreEnough(t *testing.T) {
	var d Detector
	suspected, _ := d.RecordDial(d.Begin(), "s1", false, 1)
	must.True(t, suspected)
	must.False(t, d.RecordProbes(d.Begin(), 0, 0), must.Sprint("no server to probe"))
	must.True(t, d.RecordProbes(d.Begin(), 1, 0))
	must.True(t, d.Isolated())
	_, changed := d.RecordDial(d.Begin(), "s1", true, 1)
	must.True(t, changed)
	must.False(t, d.Isolated())
}

// Guards against an instance that counts as isolated again right after a cut has ended, because
// attempts from before fail later.
func TestAttemptsFromBeforeASuccessSayNothing(t *testing.T) {
	var d Detector
	before := d.Begin()
	must.False(t, dial(&d, "s0", true))
	for _, server := range []string{"s1", "s2", "s3", "s4"} {
		suspected, _ := d.RecordDial(before, server, false, 20)
		must.False(t, suspected)
	}
	must.False(t, d.RecordProbes(before, 3, 0))
	must.False(t, d.Isolated())
}
