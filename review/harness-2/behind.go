package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["behind"] = behind }

// Load of the case behind.
const (
	behindSpells      = 9                     // of garbled answers
	behindSpell       = 5 * time.Second       // length of one
	behindPause       = time.Second           // between two
	behindInterval    = 36 * time.Millisecond // between two groups of requests
	behindLookups     = 3                     // behind each report
	behindReportBytes = 3_000_000
	behindServers     = 6
	behindGarbling    = 3    // servers: a share of 0.5
	behindGarbled     = 0.02 // of their answers
)

// maxLostBehind is the number of requests that the rule LOST allows.
const maxLostBehind = 3

// behind sends groups of requests over one connection without waiting for answers: a large report and
// some lookups behind it. Some of the servers break off some of their answers. Without trouble
// none does.
func behind(r *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(1, 4)
	if err != nil {
		return false, err
	}
	defer d.close()
	for n := range behindServers {
		if _, err := d.addServer(r, []string{"z1", "z2"}[n%2], 3, 100*time.Millisecond); err != nil {
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
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(behindInterval):
			}
			clients.Go(func() { sendGroup(r, d.gateways[n%len(d.gateways)]) })
		}
	})
	for range behindSpells {
		if trouble {
			for _, s := range d.servers[:behindGarbling] {
				s.garble(behindGarbled)
			}
		}
		time.Sleep(behindSpell)
		for _, s := range d.servers {
			s.garble(0)
		}
		time.Sleep(behindPause)
	}
	close(stop)
	clients.Wait()
	return checkBehind(r, d), nil
}

// sendGroup sends, over a connection that has carried a request, a report and lookups, and then
// reads the answers.
func sendGroup(r *record, g *gatewayProcess) {
	conn, err := net.DialTimeout("tcp", g.frontend, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	const deadline = 5 * time.Second
	writer, reader := &client{}, bufio.NewReader(conn)
	_ = conn.SetDeadline(time.Now().Add(deadline))
	first := request{method: http.MethodGet, path: "/read/pads", id: newID("first"), deadline: deadline}
	r.add(event{what: "sent", id: first.id, where: g.name})
	writer.write(conn, first)
	if !readAnswer(r, reader, g, first, time.Now()) {
		return
	}
	start := time.Now()
	_ = conn.SetDeadline(start.Add(deadline))
	group := []request{{method: http.MethodGet, path: fmt.Sprintf("/read/report?bytes=%d", behindReportBytes), id: newID("report"), deadline: deadline}}
	for range behindLookups {
		group = append(group, request{method: http.MethodGet, path: "/read/pads", id: newID("lookup"), deadline: deadline})
	}
	for _, next := range group {
		r.add(event{what: "sent", id: next.id, where: g.name})
		writer.write(conn, next)
	}
	for n, next := range group {
		if readAnswer(r, reader, g, next, start) {
			continue
		}
		for _, unanswered := range group[n+1:] {
			r.add(event{what: "got nothing", id: unanswered.id, where: g.name, took: time.Since(start), note: "no whole answer"})
		}
		return
	}
}

// readAnswer reads the answer to a request. It reports whether the answer is whole.
func readAnswer(r *record, reader *bufio.Reader, g *gatewayProcess, next request, start time.Time) bool {
	response, err := http.ReadResponse(reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil {
		r.add(event{what: "got nothing", id: next.id, where: g.name, took: time.Since(start), note: "no whole answer"})
		return false
	}
	r.add(event{what: "got", id: next.id, where: g.name, took: time.Since(start), note: http.StatusText(response.StatusCode)})
	return true
}

// checkBehind checks the rule LOST: it counts the lookups that a sound server answered and whose
// connection was closed without an answer. A server that garbled in the case does not count as sound.
func checkBehind(r *record, d *deployment) (broken bool) {
	sound := make(map[string]bool)
	for _, s := range d.servers[behindGarbling:] {
		sound[s.id] = true
	}
	passedOn := make(map[string]string)
	events := r.all()
	brokenOff := 0
	for _, e := range events {
		switch e.what {
		case "arrived":
			passedOn[e.id] = e.where
		case "broke off":
			brokenOff++
		}
	}
	lost := 0
	answers := make(map[string]int)
	for _, e := range events {
		if e.what != "got" && e.what != "got nothing" {
			continue
		}
		answers[e.note]++
		if e.what == "got nothing" && e.id[:len("lookup")] == "lookup" && sound[passedOn[e.id]] {
			lost++
			if lost <= 3 {
				r.say("%s was passed on to %s, which is sound; its connection was closed without an answer", e.id, passedOn[e.id])
			}
		}
	}
	for note, n := range answers {
		r.say("%6d requests: %s", n, note)
	}
	r.say("servers broke off %d answers; %d lookups were passed on to sound servers and closed without an answer", brokenOff, lost)
	return lost > maxLostBehind
}
