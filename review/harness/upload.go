package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Load of the case "upload".
const (
	uploadBytes          = 1100 << 10 // max_body_bytes of config.json is 64 MiB
	uploadClients        = 20
	uploadsPerConnection = 20
	uploadPause          = 5 * time.Millisecond
	uploadPlay           = 25 * time.Second
	// severalCores is the number of cores of a machine that exposes several.
	severalCores = 2
	// observation is how long a client watches a connection on which it got no answer. It is
	// longer than idle_timeout_s of config.json.
	observation = 20 * time.Second
)

// playUpload sends uploads one after the other on kept connections to instances that have several
// cores.
func playUpload(w *world, trouble bool) (bool, error) {
	w.putConfig(configFile)
	for n := range 4 {
		if _, err := w.startServer(n, 6, fmt.Sprintf("z%d", n%2+1), "--work", "20ms"); err != nil {
			return false, err
		}
	}
	cores := 1
	if trouble {
		cores = severalCores
	}
	instances, err := w.startInstances(2, cores)
	if err != nil {
		return false, err
	}
	var (
		mu      sync.Mutex
		all     []sentRequest
		clients sync.WaitGroup
		watches sync.WaitGroup
	)
	body := bytes.Repeat([]byte("b"), uploadBytes)
	end := time.Now().Add(uploadPlay)
	for n := range uploadClients {
		clients.Go(func() {
			address := instances[n%len(instances)].address
			for time.Now().Before(end) {
				c, err := dial(address)
				if err != nil {
					time.Sleep(uploadPause)
					continue
				}
				done, usable := c.uploadSeries(body)
				mu.Lock()
				all = append(all, done...)
				mu.Unlock()
				if usable || len(done) == 0 || !done[len(done)-1].answer.timedOut() {
					c.conn.Close()
					continue
				}
				watches.Go(func() {
					defer c.conn.Close()
					w.watchSilent(c, done[len(done)-1])
				})
			}
		})
	}
	clients.Wait()
	watches.Wait()
	return w.judgeTimeout(all), nil
}

// uploadSeries sends uploads, each after the answer to the one before. usable is false if the
// connection cannot be used on.
func (c *caller) uploadSeries(body []byte) (done []sentRequest, usable bool) {
	for range uploadsPerConnection {
		r := sentRequest{id: newID(), sentAt: time.Now()}
		err := c.send(r.id, http.MethodPost, "/upload/"+r.id, body, clientDeadline)
		r.answer = c.receive(r.id, len(body), r.sentAt.Add(clientDeadline))
		if err != nil && r.answer.err != nil {
			r.answer.err = err
		}
		r.tookAt = time.Since(r.sentAt)
		done = append(done, r)
		if r.answer.err != nil || r.answer.close {
			return done, false
		}
		time.Sleep(uploadPause)
	}
	return done, true
}

// watchSilent records what comes on a connection on which a request got no answer.
func (w *world) watchSilent(c *caller, r sentRequest) {
	start := time.Now()
	_ = c.conn.SetReadDeadline(start.Add(observation))
	_, err := c.reader.ReadByte()
	switch {
	case err == nil:
		w.record.printf("client %s got bytes %.3f s after its deadline", r.id, time.Since(start).Seconds())
	case errors.Is(err, io.EOF):
		w.record.printf("client %s: the instance closed the connection %.3f s after the client's deadline", r.id, time.Since(start).Seconds())
	default:
		w.record.printf("client %s: neither an answer nor a close within %v after the client's deadline: %v", r.id, observation, err)
	}
}
