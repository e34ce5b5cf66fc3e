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

// scriptedServer is a server that responds to the requests of each connection with raw bytes.
type scriptedServer struct {
	address      string
	requestsRead atomic.Int32
}

// newScriptedServer starts a server that sends the responses in order, one for each request, on
// every connection.
func newScriptedServer(t *testing.T, responses ...string) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	s := &scriptedServer{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, responses)
		}
	}()
	return s
}

func (s *scriptedServer) serve(conn net.Conn, responses []string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, response := range responses {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		s.requestsRead.Add(1)
		if _, err := io.WriteString(conn, response); err != nil {
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

func responseText(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// Guards against sending a request whose context is already cancelled on an idle connection.
func TestCancelledRequestIsNotSent(t *testing.T) {
	s := newScriptedServer(t, responseText("1", "one"), responseText("2", "two"))
	c := New("X-Id", nil)
	_, _, err := send(t.Context(), c, s.address, http.MethodGet, "1")
	must.NoError(t, err)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	_, _, err = send(cancelled, c, s.address, http.MethodGet, "2")
	must.ErrorIs(t, err, context.Canceled)
	must.Eq(t, 1, s.requestsRead.Load())
}

// Guards against sending a GET a second time when its reused connection ends before the
// response, here because the request is cancelled. Whether a request may run twice depends on its route, not on its method.
func TestSentRequestIsNotRepeated(t *testing.T) {
	var dials atomic.Int32
	s := newScriptedServer(t, responseText("1", "one"), "") // the second request gets no response
	c := New("X-Id", func() { dials.Add(1) })
	_, _, err := send(t.Context(), c, s.address, http.MethodGet, "1")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for s.requestsRead.Load() < 2 {
		}
		cancel()
	}()
	_, sent, err := send(ctx, c, s.address, http.MethodGet, "2")
	must.Error(t, err)
	must.True(t, sent)
	must.Eq(t, 2, s.requestsRead.Load())
	must.Eq(t, 1, dials.Load())
}

// Checks which bytes are taken as the response to a request: responses with the ID of another
// request and informational responses are skipped, bytes after the response are ignored.
func TestWhichBytesCountAsResponse(t *testing.T) {
	for _, c := range []struct {
		name      string
		responses []string
		body      string
		failure   error // non-nil if a MalformedResponseError is expected
	}{
		{"complete response", []string{responseText("2", "two")}, "two", nil},
		{"late response to another request first", []string{responseText("1", "one") + responseText("2", "two")}, "two", nil},
		{"bytes after the response", []string{responseText("2", "two") + "junk"}, "two", nil},
		{"informational response first", []string{"HTTP/1.1 103 Early Hints\r\n\r\n" + responseText("2", "two")}, "two", nil},
		{"bytes that are not HTTP", []string{"junk junk junk\r\n\r\n"}, "", &MalformedResponseError{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScriptedServer(t, c.responses...)
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

// Guards against reusing a connection on which bytes followed the response.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	var dials atomic.Int32
	s := newScriptedServer(t, responseText("1", "one")+responseText("1", "one"), responseText("2", "two"))
	c := New("X-Id", func() { dials.Add(1) })
	for range 2 {
		r, _, err := send(t.Context(), c, s.address, http.MethodGet, "1")
		must.NoError(t, err)
		must.Eq(t, "one", string(r.Body))
	}
	must.Eq(t, 2, dials.Load())
}

// Guards against a truncated response that is reported as complete, and against an error for
// a response without a length, whose body ends with the connection.
func TestTruncatedAndUnframedResponses(t *testing.T) {
	serveAndClose := func(response string) string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, response)
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
