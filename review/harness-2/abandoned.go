package main

import (
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["abandoned"] = abandoned }

// Load of the case abandoned: more uploads than the servers have slots for, so that uploads wait at
// the gateways. Objective, work and slots are those of the drawing uploads of one site.
const (
	abandonedSeconds        = 40 // of traffic
	abandonedUploadBytes    = 1_200_000
	abandonedInterval       = 70 * time.Millisecond // between two uploads
	abandonedWork           = 1040 * time.Millisecond
	abandonedServers        = 4
	abandonedSlots          = 3
	abandonedTimeoutSeconds = 4.0
	abandonedDeadline       = 5 * time.Second
	// giveUpAfter is half of the objective, and giveUpOneIn makes the share of the clients that leave
	// 0.2.
	giveUpAfter = 400 * time.Millisecond
	giveUpOneIn = 5
)

// Bounds of the rule GONE.
const (
	goneSlack = 500 * time.Millisecond
	// maxGone is what the case takes for a few requests.
	maxGone = 5
)

// abandoned sends uploads to busy servers. A part of the clients closes its connection before it has
// an answer. Without trouble all clients wait.
func abandoned(r *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(1, abandonedTimeoutSeconds)
	if err != nil {
		return false, err
	}
	defer d.close()
	for n := range abandonedServers {
		if _, err := d.addServer(r, []string{"z1", "z2"}[n%2], abandonedSlots, abandonedWork); err != nil {
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
	r.say("an upload of %d bytes each %v", abandonedUploadBytes, abandonedInterval)
	time.Sleep(contact)
	body := make([]byte, abandonedUploadBytes)
	end := time.Now().Add(abandonedSeconds * time.Second)
	var clients sync.WaitGroup
	for n := 0; time.Now().Before(end); n++ {
		g := d.gateways[n%len(d.gateways)]
		next := request{method: http.MethodPost, path: "/upload/photos", body: body, id: newID("upload"), deadline: abandonedDeadline}
		leaves := trouble && n%giveUpOneIn == 0
		clients.Go(func() {
			if leaves {
				leave(r, g, next)
				return
			}
			c := &client{address: g.frontend}
			defer c.close()
			r.send(c, g.name, next)
		})
		time.Sleep(abandonedInterval)
	}
	clients.Wait()
	time.Sleep(abandonedDeadline)
	return checkGone(r), nil
}

// leave sends a request whole and closes the connection after giveUpAfter.
func leave(r *record, g *gatewayProcess, next request) {
	conn, err := net.DialTimeout("tcp", g.frontend, time.Second)
	if err != nil {
		return
	}
	c := &client{}
	r.add(event{what: "sent", id: next.id, where: g.name, size: int64(len(next.body)), note: connectionNote(false)})
	start := time.Now()
	go c.write(conn, next)
	answer := make([]byte, 1)
	_ = conn.SetReadDeadline(start.Add(giveUpAfter))
	if _, err := conn.Read(answer); err == nil {
		r.add(event{what: "got", id: next.id, where: g.name, took: time.Since(start), note: "an early answer"})
		conn.Close()
		return
	}
	conn.Close()
	r.add(event{what: "left", id: next.id, where: g.name, took: time.Since(start)})
}

// checkGone checks the rule GONE: no more than a few requests reach a server over half a second after
// their client has closed its connection.
func checkGone(r *record) (broken bool) {
	left := make(map[string]time.Time)
	ran := make(map[string]bool)
	for _, e := range r.all() {
		switch e.what {
		case "left":
			left[e.id] = e.at
		case "run":
			ran[e.id] = true
		}
	}
	late, lateRuns := 0, 0
	answers := make(map[string]int)
	for _, e := range r.all() {
		switch e.what {
		case "got", "got nothing":
			answers[e.note]++
		case "arrived":
			at, gone := left[e.id]
			if !gone || e.at.Sub(at) <= goneSlack {
				continue
			}
			late++
			if ran[e.id] {
				lateRuns++
			}
			if late <= 3 {
				r.say("%s reached %s %.3f s after its client had closed the connection", e.id, e.where, e.at.Sub(at).Seconds())
			}
		}
	}
	for note, n := range answers {
		r.say("%6d requests: %s", n, note)
	}
	r.say("%d clients left; %d of their requests reached a server more than %v later, %d of these ran", len(left), late, goneSlack, lateRuns)
	return late > maxGone
}
