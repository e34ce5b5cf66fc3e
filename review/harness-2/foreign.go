package main

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["foreign"] = foreign }

// Load of the case foreign.
const (
	foreignSeconds = 20 // of traffic
	foreignAfter   = 5 * time.Second
	foreignClients = 4 // for each gateway
	foreignPause   = 50 * time.Millisecond
)

// foreignEntries are the templates of the entries that another writer puts into the table of the
// servers: fields are missing, have another type, or have other names.
var foreignEntries = []string{"foreign-missing.json.tmpl", "foreign-type.json.tmpl", "foreign-names.json.tmpl"}

// foreign sends lookups and orders while another writer puts entries of its own into the table of
// the servers. Without trouble it puts none.
func foreign(r *record, trouble bool) (broken bool, err error) {
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
	start := time.Now()
	end := start.Add(foreignSeconds * time.Second)
	var clients sync.WaitGroup
	for _, g := range d.gateways {
		for range foreignClients {
			clients.Go(func() { foreignClient(r, g, end) })
		}
	}
	if trouble {
		time.Sleep(time.Until(start.Add(foreignAfter)))
		for n, name := range foreignEntries {
			if err := d.addForeign(r, n, name); err != nil {
				return false, err
			}
		}
	}
	clients.Wait()
	return checkSeals(r), nil
}

// foreignClient sends lookups and orders in turn until end.
func foreignClient(r *record, g *gatewayProcess, end time.Time) {
	c := &client{address: g.frontend}
	defer c.close()
	for time.Now().Before(end) {
		for _, next := range []request{
			{method: http.MethodGet, path: "/read/pads", id: newID("read")},
			{method: http.MethodPost, path: "/order/pads", body: []byte("two crates"), id: newID("order")},
		} {
			next.deadline = 2500 * time.Millisecond
			r.send(c, g.name, next)
			time.Sleep(foreignPause)
		}
	}
}

// addForeign starts a program that is no server of the platform, and puts an entry that names its
// address. The program is a plain web server.
func (d *deployment) addForeign(r *record, n int, name string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() {
		h := http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			r.add(event{what: "reached the other program", id: request.Header.Get(headerNames.RequestID), where: name})
			_, _ = io.WriteString(w, "it works")
		})
		s := &http.Server{Handler: h, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
		_ = s.Serve(listener)
	}()
	content, err := render(name, map[string]any{"Address": listener.Addr().String(), "Zone": []string{"z1", "z2"}[n%2]})
	if err != nil {
		return err
	}
	d.store.Put("servers", fmt.Sprintf("other-%d", n+1), content)
	r.say("another writer put %s", name)
	return nil
}

// checkSeals checks the rule MIXED: a client gets no success without the seal of a server.
func checkSeals(r *record) (broken bool) {
	ran := make(map[string]bool)
	reached := make(map[string]int)
	answers := make(map[string]int)
	unsealed, lostOrders := 0, 0
	events := r.all()
	for _, e := range events {
		switch e.what {
		case "run":
			ran[e.id] = true
		case "reached the other program":
			reached[e.where]++
		}
	}
	for _, e := range events {
		if e.what != "got" && e.what != "got nothing" {
			continue
		}
		answers[e.note]++
		if e.status == http.StatusOK && !e.sealed {
			unsealed++
			if e.order && !ran[e.id] {
				lostOrders++
			}
		}
	}
	for name, n := range reached {
		r.say("%6d requests reached the program of %s", n, name)
	}
	for note, n := range answers {
		r.say("%6d requests: %s", n, note)
	}
	r.say("%d successes without the seal of a server; %d of them are answers to orders that no server ran", unsealed, lostOrders)
	return unsealed > 0
}
