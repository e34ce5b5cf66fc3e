package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["grace"] = grace }

// Load of the case grace: more orders than the servers have slots for, so that orders wait at the
// gateways.
const (
	graceInterval       = 12 * time.Millisecond // between two orders
	graceWork           = 150 * time.Millisecond
	graceServers        = 3
	graceSlots          = 3
	graceTimeoutSeconds = 2.0
	graceWarmUp         = 6 * time.Second // of traffic before the settings change
	graceApply          = 5 * time.Second // between the change of the settings and SIGTERM
	// shortGrace is the grace period after the change of the settings.
	shortGrace = 3 * time.Second
)

// lossSlack is the time after which a request that was sent to a process and not passed on must not
// be cut.
const lossSlack = 200 * time.Millisecond

// grace stops a gateway under load, with the grace period that its settings name. Before that, the
// grace period in the settings file is shortened, with SIGHUP. Without trouble it stays as it was.
func grace(r *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(1, graceTimeoutSeconds)
	if err != nil {
		return false, err
	}
	defer d.close()
	for n := range graceServers {
		if _, err := d.addServer(r, []string{"z1", "z2"}[n%2], graceSlots, graceWork); err != nil {
			return false, err
		}
	}
	for _, zone := range []string{"z1", "z2"} {
		if _, err := d.addGateway(zone); err != nil {
			return false, err
		}
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(contact)
	for _, g := range d.gateways {
		lost, err := stopUnderLoad(r, d, g, trouble)
		if err != nil {
			return false, err
		}
		broken = broken || lost > 0
	}
	return broken, nil
}

// stopUnderLoad sends orders to both gateways while it stops one of them. It returns the number of
// orders that were lost.
func stopUnderLoad(r *record, d *deployment, g *gatewayProcess, trouble bool) (lost int, err error) {
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(graceInterval):
			}
			to := d.gateways[n%len(d.gateways)]
			clients.Go(func() {
				c := &client{address: to.frontend}
				defer c.close()
				r.send(c, to.name, request{method: http.MethodPost, path: "/order/pads", body: []byte("two crates"), id: newID("order"), deadline: 2500 * time.Millisecond})
			})
		}
	})
	time.Sleep(graceWarmUp)
	period := defaultGrace
	if trouble {
		period = shortGrace
		if err := d.writeSettings(g, period); err != nil {
			return 0, err
		}
		g.signal(syscall.SIGHUP)
	}
	time.Sleep(graceApply)
	termAt := time.Now()
	g.signal(syscall.SIGTERM)
	select {
	case <-g.exited:
		r.say("%s ended %.2f s after SIGTERM", g.name, time.Since(termAt).Seconds())
	case <-time.After(period):
		g.signal(syscall.SIGKILL)
		<-g.exited
		r.say("%s got SIGKILL after its grace period of %v", g.name, period)
	}
	close(stop)
	clients.Wait()
	lost = checkLost(r, g, termAt, period)
	if err := d.writeSettings(g, period); err != nil {
		return lost, err
	}
	return lost, g.start()
}

// checkLost checks the rule LOST around a SIGTERM: it counts the requests that the gateway got whole
// and whose connection ended without an answer, either once passed on to a server or later than
// lossSlack after they were sent. Not counted are requests at which a server was at work in the last
// sixth of the grace period, and those that had reached the timeout of their route.
func checkLost(r *record, g *gatewayProcess, termAt time.Time, period time.Duration) (lost int) {
	arrived := make(map[string]bool)
	sentAt := make(map[string]time.Time)
	events := r.all()
	for _, e := range events {
		switch e.what {
		case "arrived":
			arrived[e.id] = true
		case "sent":
			sentAt[e.id] = e.at
		}
	}
	atServers, unread := 0, 0
	for _, e := range events {
		if e.what != "got nothing" || e.where != g.name || e.at.Before(termAt) || e.took >= graceTimeoutSeconds*time.Second {
			continue
		}
		switch {
		case arrived[e.id]:
			atServers++ // the grace period had ended, so a server was at work in its last sixth
		case e.took <= lossSlack:
			unread++
		default:
			lost++
			if lost <= 3 {
				r.say("%s, sent %.2f s after SIGTERM: connection ended %.2f s later without an answer; it reached no server", e.id, sentAt[e.id].Sub(termAt).Seconds(), e.took.Seconds())
			}
		}
	}
	r.say("%s, grace period %v: %d requests lost; not counted: %d at servers at the end of the grace period, %d just sent or refused", g.name, period, lost, atServers, unread)
	return lost
}
