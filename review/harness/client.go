package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// hostname and customerKey are those of config.json.
const (
	hostname    = "shop.example"
	customerKey = "key-of-acme"
)

// lastID numbers the requests.
var lastID atomic.Int64

// newID returns the id of a new request.
func newID() string { return fmt.Sprintf("q%07d", lastID.Add(1)) }

// caller is a connection of a client to an instance.
type caller struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(address string) (*caller, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &caller{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// send writes a request.
func (c *caller) send(id, method, path string, body []byte, deadline time.Duration) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, hostname, names.ID, id, names.Key, customerKey, names.Deadline, deadline.Milliseconds())
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	_ = c.conn.SetWriteDeadline(time.Now().Add(deadline))
	_, err := c.conn.Write(b.Bytes())
	return err
}

// answer is what a client got for a request.
type answer struct {
	status int // 0: no head arrived
	bytes  int64
	close  bool
	// err says why the answer is not complete; nil for a complete one.
	err error
	// wrong says how the answer differs from the server's; empty if it does not.
	wrong string
}

// receive reads an answer until a time.
func (c *caller) receive(id string, requestBytes int, until time.Time) answer {
	_ = c.conn.SetReadDeadline(until)
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	var kept bytes.Buffer
	n, err := io.Copy(&limitedBuffer{&kept, 1 << 16}, response.Body)
	a := answer{status: response.StatusCode, bytes: n, close: response.Close, err: err}
	if err == nil && response.StatusCode == http.StatusOK {
		switch {
		case response.Header.Get(names.ID) != id:
			a.wrong = "the answer is that to " + response.Header.Get(names.ID)
		case response.Header.Get(names.Seal) != sealOf(id, requestBytes):
			a.wrong = "the seal is not the server's"
		case !bytes.Equal(kept.Bytes(), bodyOf(id, int(n))):
			a.wrong = "the body is not the server's"
		}
	}
	return a
}

// limitedBuffer keeps the first bytes that are written to it.
type limitedBuffer struct {
	kept *bytes.Buffer
	max  int
}

func (l *limitedBuffer) Write(p []byte) (int, error) {
	l.kept.Write(p[:min(len(p), l.max-l.kept.Len())])
	return len(p), nil
}

// timedOut reports whether an answer is missing because the client's time was up.
func (a answer) timedOut() bool {
	var timeout net.Error
	return errors.As(a.err, &timeout) && timeout.Timeout()
}
