package main

import (
	"hash/crc32"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["shortened"] = shortened }

// Load of the case shortened.
const (
	shortenedClients     = 4 // for each gateway
	shortenedPause       = 200 * time.Millisecond
	shortenedBefore      = 5 * time.Second // of traffic before the change of the configuration
	shortenedAfter       = 10 * time.Second
	shortenedLargeBytes  = 3_000_000 // of an upload under the first limit
	shortenedSmallBytes  = 1_500_000 // of an upload under the second one
	shortenedSecondLimit = 2 << 20
	// configApply is the bound within which a configuration is in force everywhere. The clients learn
	// of the second limit within it.
	configApply = 2500 * time.Millisecond
)

// shortened sends uploads in chunks while a new configuration lowers the limit on the size of
// bodies. Until configApply after it the clients send what the configuration before it allows, and
// then stay within the new limit. Without trouble the new configuration has the same limits.
func shortened(r *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(1, 2)
	if err != nil {
		return false, err
	}
	defer d.close()
	for n := range 4 {
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
	time.Sleep(contact)
	var size atomic.Int64
	size.Store(shortenedLargeBytes)
	end := time.Now().Add(shortenedBefore + shortenedAfter)
	var clients sync.WaitGroup
	for _, g := range d.gateways {
		for range shortenedClients {
			clients.Go(func() { shortenedClient(r, g, end, &size) })
		}
	}
	time.Sleep(shortenedBefore)
	if trouble {
		d.maxBody = shortenedSecondLimit
	}
	if err := d.writeConfig(); err != nil {
		return false, err
	}
	r.say("acknowledged a configuration with a limit of %d bytes", d.maxBody)
	time.Sleep(configApply)
	size.Store(shortenedSmallBytes)
	clients.Wait()
	return checkBodies(r), nil
}

// shortenedClient sends uploads until end, each over a new connection.
func shortenedClient(r *record, g *gatewayProcess, end time.Time, size *atomic.Int64) {
	for time.Now().Before(end) {
		body := make([]byte, size.Load())
		for i := range body {
			body[i] = byte(rand.Uint32())
		}
		next := request{method: http.MethodPost, path: "/upload/photos", body: body, id: newID("upload"), deadline: 4 * time.Second, chunked: true}
		c := &client{address: g.frontend}
		r.add(event{what: "has", id: next.id, size: int64(len(body)), sum: crc32.ChecksumIEEE(body)})
		r.send(c, g.name, next)
		c.close()
		time.Sleep(shortenedPause)
	}
}

// checkBodies checks the rule UNASKED: a server runs no request with another body than the one that
// its client sent.
func checkBodies(r *record) (broken bool) {
	sent, ran := make(map[string]event), make(map[string]event)
	for _, e := range r.all() {
		switch e.what {
		case "has":
			sent[e.id] = e
		case "run":
			ran[e.id] = e
		}
	}
	changed, successes := 0, 0
	answers := make(map[string]int)
	for _, e := range r.all() {
		if e.what != "got" && e.what != "got nothing" {
			continue
		}
		answers[e.note]++
		was, run := sent[e.id], ran[e.id]
		if run.id == "" || run.sum == was.sum && run.size == was.size {
			continue
		}
		changed++
		if e.status == http.StatusOK {
			successes++
		}
		if changed <= 3 {
			r.say("%s: sent %d bytes, %s ran it with %d bytes; the client got status %d", e.id, was.size, run.where, run.size, e.status)
		}
	}
	for note, n := range answers {
		r.say("%6d requests: %s", n, note)
	}
	r.say("servers ran %d uploads with a body that no client sent; the clients of %d of these got a success", changed, successes)
	return changed > 0
}
