package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// script is a server that answers the requests of each connection with raw bytes.
type script struct {
	address string
	seen    atomic.Int32
}

// newScript serves answers in order, one for each request, on every connection.
func newScript(t *testing.T, answers ...string) *script {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	s := &script{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, answers)
		}
	}()
	return s
}

func (s *script) serve(conn net.Conn, answers []string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, answer := range answers {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		s.seen.Add(1)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
	// Keeps the connection open until the client closes it.
	_, _ = io.Copy(io.Discard, reader)
}

func send(ctx context.Context, c *Client, address, method, id string) (*Response, bool, error) {
	r := &http.Request{Method: method, URL: &url.URL{Opaque: "/x"}, Host: "h", Header: http.Header{"X-Id": {id}}, ProtoMajor: 1, ProtoMinor: 1}
	return c.Send(ctx, "s", address, r, id)
}

func reply(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// A request whose caller has gone must not be written to a kept connection.
func TestNothingIsSentForACallerThatLeft(t *testing.T) {
	s := newScript(t, reply("1", "one"), reply("2", "two"))
	c := New("X-Id", nil)
	_, _, err := send(t.Context(), c, s.address, http.MethodGet, "1")
	must.NoError(t, err)
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	_, _, err = send(gone, c, s.address, http.MethodGet, "2")
	must.ErrorIs(t, err, context.Canceled)
	must.Eq(t, 1, s.seen.Load())
}

// A GET must not be repeated by itself when a kept connection ends: the route, not the
// method, says what may run twice.
func TestKeptConnectionThatEndsIsNotRepeated(t *testing.T) {
	var conns atomic.Int32
	s := newScript(t, reply("1", "one"), "") // the second request gets no answer
	c := New("X-Id", func() { conns.Add(1) })
	_, _, err := send(t.Context(), c, s.address, http.MethodGet, "1")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for s.seen.Load() < 2 {
		}
		cancel()
	}()
	_, sent, err := send(ctx, c, s.address, http.MethodGet, "2")
	must.Error(t, err)
	must.True(t, sent)
	must.Eq(t, 2, s.seen.Load())
	must.Eq(t, 1, conns.Load())
}

// Which bytes count as the response to a request.
func TestResponses(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers []string
		body    string
		failure error // type of the error; nil for none
	}{
		{"whole", []string{reply("2", "two")}, "two", nil},
		{"late answer to another request first", []string{reply("1", "one") + reply("2", "two")}, "two", nil},
		{"bytes after the response", []string{reply("2", "two") + "junk"}, "two", nil},
		{"early hints first", []string{"HTTP/1.1 103 Early Hints\r\n\r\n" + reply("2", "two")}, "two", nil},
		{"no response", []string{"junk junk junk\r\n\r\n"}, "", &MalformedResponseError{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScript(t, c.answers...)
			r, _, err := send(t.Context(), New("X-Id", nil), s.address, http.MethodGet, "2")
			if c.failure != nil {
				var malformed *MalformedResponseError
				must.True(t, errors.As(err, &malformed))
				return
			}
			must.NoError(t, err)
			must.Eq(t, c.body, string(r.Body))
		})
	}
}

// A connection that brought bytes beyond its response must not carry another request.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	var conns atomic.Int32
	s := newScript(t, reply("1", "one")+reply("1", "one"), reply("2", "two"))
	c := New("X-Id", func() { conns.Add(1) })
	for range 2 {
		r, _, err := send(t.Context(), c, s.address, http.MethodGet, "1")
		must.NoError(t, err)
		must.Eq(t, "one", string(r.Body))
	}
	must.Eq(t, 2, conns.Load())
}

// A truncated response must not look complete, and a response without a length ends
// with its connection.
func TestEndsOfResponses(t *testing.T) {
	serveAndClose := func(answer string) string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, answer)
			}
			conn.Close()
			listener.Close()
		}()
		return listener.Addr().String()
	}
	_, _, err := send(t.Context(), New("X-Id", nil), serveAndClose("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nhalf"), http.MethodGet, "1")
	var truncated *TruncatedResponseError
	must.True(t, errors.As(err, &truncated))
	r, _, err := send(t.Context(), New("X-Id", nil), serveAndClose("HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\n\r\nall of it"), http.MethodGet, "1")
	must.NoError(t, err)
	must.True(t, strings.HasPrefix(string(r.Body), "all of it"))
}
