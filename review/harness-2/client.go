package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// lastID numbers the requests of all clients.
var lastID atomic.Int64

// newID returns a request ID.
func newID(prefix string) string { return fmt.Sprintf("%s-%06d", prefix, lastID.Add(1)) }

// client sends requests over one connection at a time, one after the other.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// request is a request of a client.
type request struct {
	method, path, id string
	body             []byte
	deadline         time.Duration // for which the client waits
	chunked          bool          // the body is sent in chunks
}

// chunkBytes is the size of a chunk.
const chunkBytes = 64 << 10

// answer is what a client got. status is 0 without a whole answer.
type answer struct {
	status int
	body   string
	header http.Header
	err    error
	sentAt time.Time
	took   time.Duration
	reused bool // the connection had carried a request before
}

// do sends a request and waits for the answer, on the open connection if there is one. Without a
// whole answer it closes the connection.
func (c *client) do(r request) answer {
	a := answer{sentAt: time.Now(), reused: c.conn != nil}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			a.err = err
			return a
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(a.sentAt.Add(r.deadline))
	go c.write(c.conn, r)
	response, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		var body []byte
		if body, err = io.ReadAll(response.Body); err == nil {
			a.status, a.body, a.header = response.StatusCode, string(body), response.Header
		}
	}
	a.err, a.took = err, time.Since(a.sentAt)
	if err != nil || response.Close {
		c.close()
	}
	return a
}

// write sends a request.
func (c *client) write(conn net.Conn, r request) {
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: shop.example\r\n", r.method, r.path)
	fmt.Fprintf(&head, "%s: %s\r\n%s: %d\r\n%s: key-of-acme\r\n", headerNames.RequestID, r.id, headerNames.DeadlineMs, r.deadline.Milliseconds(), headerNames.Credential)
	if r.chunked {
		writeChunked(conn, head.String(), r.body)
		return
	}
	if r.method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(r.body))
	}
	head.WriteString("\r\n")
	if _, err := conn.Write(append([]byte(head.String()), r.body[:min(len(r.body), 1024)]...)); err != nil {
		return
	}
	if len(r.body) > 1024 {
		_, _ = conn.Write(r.body[1024:])
	}
}

// writeChunked sends a head and a body in chunks.
func writeChunked(conn net.Conn, head string, body []byte) {
	out := bufio.NewWriterSize(conn, chunkBytes)
	_, _ = out.WriteString(head + "Transfer-Encoding: chunked\r\n\r\n")
	for chunk := range slices.Chunk(body, chunkBytes) {
		fmt.Fprintf(out, "%x\r\n", len(chunk))
		_, _ = out.Write(chunk)
		_, _ = out.WriteString("\r\n")
	}
	_, _ = out.WriteString("0\r\n\r\n")
	// A write error means that the gateway has closed the connection, which the reader sees.
	_ = out.Flush()
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
