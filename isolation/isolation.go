// Package isolation decides, from attempts to open connections, whether an instance has lost its
// network links to all backend servers. It uses no clock, sockets or goroutines: callers serialize
// their calls.
package isolation

// suspectServers is the number of different servers to which connection attempts must fail, without
// a success in between, before servers are probed. With fewer servers, all of them must have failed.
const suspectServers = 3

// Detector is the state of one instance. Its zero value is an instance whose links work.
type Detector struct {
	failed    map[string]bool // servers to which attempts have failed since the last success
	successes int
	isolated  bool
}

// Attempt is the start of an attempt to open a connection, or of a round of probes. Its failure says
// nothing if another one has succeeded since.
type Attempt struct{ successes int }

// Begin returns the start of an attempt that begins now.
func (d *Detector) Begin() Attempt { return Attempt{successes: d.successes} }

// RecordDial takes the result of opening a connection to a server for a request. listed is the number
// of servers that may get requests. suspected reports whether servers should be probed: many servers
// may be down at a time, so that only probes show a loss of all links. changed is as for RecordProbes.
func (d *Detector) RecordDial(a Attempt, server string, ok bool, listed int) (suspected, changed bool) {
	if ok {
		return false, d.succeed()
	}
	if a.successes != d.successes {
		return false, false
	}
	if d.failed == nil {
		d.failed = make(map[string]bool)
	}
	d.failed[server] = true
	return !d.isolated && len(d.failed) >= min(suspectServers, listed), false
}

// RecordProbes takes the result of a round of probes: the numbers of servers that were probed and
// that were reached. changed reports whether the instance has become isolated, or no longer is.
func (d *Detector) RecordProbes(a Attempt, probed, reached int) (changed bool) {
	if reached > 0 {
		return d.succeed()
	}
	if probed == 0 || d.isolated || a.successes != d.successes {
		return false
	}
	d.isolated = true
	return true
}

// Isolated reports whether the instance has lost its links to all servers.
func (d *Detector) Isolated() bool { return d.isolated }

func (d *Detector) succeed() (changed bool) {
	changed = d.isolated
	clear(d.failed)
	d.successes++
	d.isolated = false
	return changed
}
