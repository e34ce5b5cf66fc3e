package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["unread"] = unread }

// Load of the case unread. 16 clients send 1.2 MB about five times a second each, which is below
// half of the link of a machine in the settings.
const (
	unreadSeconds        = 60 // of traffic
	unreadClients        = 8  // for each gateway
	unreadUploadBytes    = 1_200_000
	unreadOrderBytes     = 300
	unreadPause          = 150 * time.Millisecond
	unreadTimeoutSeconds = 2.0 // of the routes
	unreadCores          = 4   // that the machine exposes
)

// Bounds of the rule CONFIG on requests that last longer than the timeout of their route.
const (
	timeoutSlack      = 500 * time.Millisecond
	minUnanswered     = 8
	maxUnansweredPart = 0.25
)

// unread sends orders behind large uploads, each on the connection that carried the upload, to
// gateways on machines that expose several cores. Without trouble the machines expose one.
func unread(r *record, trouble bool) (broken bool, err error) {
	cores := 1
	if trouble {
		cores = unreadCores
	}
	d, err := newDeployment(cores, unreadTimeoutSeconds)
	if err != nil {
		return false, err
	}
	defer d.close()
	for n := range 6 {
		if _, err := d.addServer(r, []string{"z1", "z2"}[n%2], 6, 20*time.Millisecond); err != nil {
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
	r.say("%d cores; %d clients send uploads of %d bytes and orders of %d bytes in turn", cores, unreadClients*len(d.gateways), unreadUploadBytes, unreadOrderBytes)
	time.Sleep(contact)
	end := time.Now().Add(unreadSeconds * time.Second)
	var clients sync.WaitGroup
	for _, g := range d.gateways {
		for range unreadClients {
			clients.Go(func() { unreadClient(r, g, end) })
		}
	}
	clients.Wait()
	return checkTimeouts(r, d, unreadTimeoutSeconds*time.Second), nil
}

// contact is the time without disruption after which a machine is in touch.
const contact = 3500 * time.Millisecond

// unreadClient sends an upload and then an order over the same connection until end.
func unreadClient(r *record, g *gatewayProcess, end time.Time) {
	upload, order := make([]byte, unreadUploadBytes), make([]byte, unreadOrderBytes)
	c := &client{address: g.frontend}
	defer c.close()
	for time.Now().Before(end) {
		for _, next := range []request{{path: "/upload/photos", body: upload, id: newID("upload")}, {path: "/order/pads", body: order, id: newID("order")}} {
			next.method, next.deadline = http.MethodPost, 4*time.Second
			r.send(c, g.name, next)
		}
		time.Sleep(unreadPause)
	}
}

// checkTimeouts checks the rule CONFIG: of the requests that have no answer at the timeout of their
// route, eight or more and over a quarter have none half a second later.
func checkTimeouts(r *record, d *deployment, timeout time.Duration) (broken bool) {
	arrived := make(map[string]bool)
	long, unanswered, never := 0, 0, 0
	answers := make(map[string]int)
	events := r.all()
	for _, e := range events {
		if e.what == "arrived" {
			arrived[e.id] = true
		}
	}
	for _, e := range events {
		if e.what != "got" && e.what != "got nothing" {
			continue
		}
		answers[e.note]++
		if e.took <= timeout {
			continue
		}
		long++
		if e.took > timeout+timeoutSlack {
			unanswered++
			if !arrived[e.id] {
				never++
			}
		}
	}
	for note, n := range answers {
		r.say("%6d requests: %s", n, note)
	}
	r.say("%d requests lasted longer than the timeout of %v; %d of them had no answer %v after it; %d of these reached no server", long, timeout, unanswered, timeoutSlack, never)
	return unanswered >= minUnanswered && float64(unanswered) > maxUnansweredPart*float64(long)
}
