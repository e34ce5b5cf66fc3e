package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Load of the case "breakoff".
const (
	breakOffServers     = 10
	troubledServers     = 6 // the first ones
	breakOffShare       = "0.03"
	longAnswerBytes     = 2 << 20
	breakOffClients     = 16
	pipelinedRequests   = 4
	breakOffPlay        = 45 * time.Second
	maxClosedUnanswered = 3 // more break the rule
)

// pipelineResult is what became of requests that were sent together on a kept connection.
type pipelineResult struct {
	requests []sentRequest
	// closedAt is the index of the request in whose answer the instance closed the connection;
	// -1 if all were answered or the client's time was up.
	closedAt int
}

// playBreakOff lets some answers of some servers break off, to clients that send requests behind
// each other.
func playBreakOff(w *world, trouble bool) (bool, error) {
	w.putConfig(configFile)
	for n := range breakOffServers {
		flags := []string{"--work", "60ms", "--bytes", strconv.Itoa(longAnswerBytes)}
		if trouble && n < troubledServers {
			flags = append(flags, "--break-off", breakOffShare)
		}
		if _, err := w.startServer(n, 6, fmt.Sprintf("z%d", n%2+1), flags...); err != nil {
			return false, err
		}
	}
	instances, err := w.startInstances(3, 1)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var all []pipelineResult
	var clients sync.WaitGroup
	end := time.Now().Add(breakOffPlay)
	for n := range breakOffClients {
		clients.Go(func() {
			address := instances[n%len(instances)].address
			for time.Now().Before(end) {
				result, ok := lookPipelined(address)
				if ok {
					mu.Lock()
					all = append(all, result)
					mu.Unlock()
				}
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	return w.judgeClosed(all), nil
}

// lookPipelined sends a request on a new connection and, after its answer, further ones behind
// each other. ok is false if it did not come to that.
func lookPipelined(address string) (result pipelineResult, ok bool) {
	c, err := dial(address)
	if err != nil {
		return result, false
	}
	defer c.conn.Close()
	first := sentRequest{id: newID(), sentAt: time.Now()}
	if c.send(first.id, http.MethodGet, "/look/"+first.id, nil, clientDeadline) != nil || !c.finish(&first) {
		return result, false
	}
	result.closedAt = -1
	for i := range pipelinedRequests {
		r := sentRequest{id: newID(), sentAt: time.Now()}
		if i > 0 {
			r.behind = result.requests[i-1].id
		}
		if c.send(r.id, http.MethodGet, "/look/"+r.id, nil, clientDeadline) != nil {
			return result, false
		}
		result.requests = append(result.requests, r)
	}
	for i := range result.requests {
		r := &result.requests[i]
		if c.finish(r) {
			continue
		}
		if !r.answer.timedOut() && r.answer.err != nil {
			result.closedAt = i
		}
		break
	}
	return result, true
}

// judgeClosed counts the requests that were passed on to a sound server, one whose answers never
// break off, and whose connection the instance closed without an answer to them.
func (w *world) judgeClosed(all []pipelineResult) bool {
	type run struct {
		server string
		sound  bool
	}
	runs := make(map[string][]run)
	broke := 0
	for _, line := range w.serverLines() {
		switch line.what {
		case "run":
			n, err := strconv.Atoi(line.server[len("i-"):])
			runs[line.id] = append(runs[line.id], run{server: line.server, sound: err == nil && n >= troubledServers})
		case "breaks-off":
			broke++
		}
	}
	requests, closed, unanswered := 0, 0, 0
	for _, result := range all {
		for i, r := range result.requests {
			requests++
			w.record.printf("client %s behind %q sent at %.3f status %d bytes %d after %.3f s %v %s", r.id, r.behind, r.sentAt.Sub(w.started).Seconds(), r.answer.status, r.answer.bytes, r.tookAt.Seconds(), r.answer.err, r.answer.wrong)
			if result.closedAt < 0 || i <= result.closedAt {
				continue
			}
			passed := runs[r.id]
			if len(passed) == 0 || !passed[len(passed)-1].sound {
				continue
			}
			unanswered++
			w.record.printf("request %s ran at the sound server %s; its connection was closed without an answer, in the answer to %s", r.id, passed[len(passed)-1].server, result.requests[result.closedAt].id)
		}
		if result.closedAt >= 0 {
			closed++
		}
	}
	broken := unanswered > maxClosedUnanswered
	w.record.printf("%d requests behind each other on kept connections; %d answers broke off at their servers, %d connections closed by an instance, %d requests that ran at a sound server left without an answer by that; broken: %v",
		requests, broke, closed, unanswered, broken)
	fmt.Printf("%d requests, %d answers broke off, %d connections closed, %d requests at sound servers never answered\n", requests, broke, closed, unanswered)
	return broken
}
