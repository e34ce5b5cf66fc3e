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
	"time"

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

// newCountingClient returns a client that counts the connections that it opens.
func newCountingClient(dials *atomic.Int32) *Client {
	return New("X-Id", func(ctx context.Context, target Target) (net.Conn, error) {
		dials.Add(1)
		return Dial(ctx, target.Address)
	}, DefaultBufferBytes)
}

func send(ctx context.Context, c *Client, address, method, id string) (*Response, bool, error) {
	r := &http.Request{Method: method, URL: &url.URL{Opaque: "/x"}, Host: "h", Header: http.Header{"X-Id": {id}}, ProtoMajor: 1, ProtoMinor: 1}
	return c.Send(ctx, Target{ServerID: "s", Address: address}, r, id, c.NewBuffers())
}

func responseText(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// Guards against sending a request whose context is already cancelled on an idle connection.
func TestCancelledRequestIsNotSent(t *testing.T) {
	s := newScriptedServer(t, responseText("1", "one"), responseText("2", "two"))
	c := New("X-Id", nil, DefaultBufferBytes)
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
	c := newCountingClient(&dials)
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
			r, _, err := send(t.Context(), New("X-Id", nil, DefaultBufferBytes), s.address, http.MethodGet, "2")
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

// Guards against a long response that is read on after its request has ended: nothing else would
// end it if the server falls silent.
func TestRestOfALongResponseEndsWithItsRequest(t *testing.T) {
	start := "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9999999\r\n\r\n" + strings.Repeat("x", 2*BodyBufferBytes)
	s := newScriptedServer(t, start)
	ctx, cancel := context.WithCancel(t.Context())
	response, _, err := send(ctx, New("X-Id", nil, DefaultBufferBytes), s.address, http.MethodGet, "1")
	must.NoError(t, err)
	time.AfterFunc(50*time.Millisecond, cancel)
	n, err := io.Copy(io.Discard, response.RemainingBody)
	must.ErrorIs(t, err, context.Canceled)
	must.LessEq(t, 2*BodyBufferBytes, int(n)+len(response.Body))
	must.NoError(t, response.RemainingBody.Close())
}

// Guards against a late second copy of a response that reaches the next caller on the
// connection, with or without the ID of its request.
func TestLateSecondResponseReachesNoOtherCaller(t *testing.T) {
	withoutID := "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
	for name, c := range map[string]struct{ second, body string }{
		"with its ID":    {second: responseText("1", "one") + responseText("2", "two"), body: "two"},
		"without its ID": {second: withoutID + responseText("2", "two")},
	} {
		t.Run(name, func(t *testing.T) {
			// The copy arrives when the second request is in flight.
			s := newScriptedServer(t, responseText("1", "one"), c.second)
			client := New("X-Id", nil, DefaultBufferBytes)
			_, _, err := send(t.Context(), client, s.address, http.MethodGet, "1")
			must.NoError(t, err)
			r, sent, err := send(t.Context(), client, s.address, http.MethodGet, "2")
			must.True(t, sent)
			if c.body == "" {
				var mismatch *ResponseMismatchError
				must.True(t, errors.As(err, &mismatch))
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
	c := newCountingClient(&dials)
	for range 2 {
		r, _, err := send(t.Context(), c, s.address, http.MethodGet, "1")
		must.NoError(t, err)
		must.Eq(t, "one", string(r.Body))
	}
	must.Eq(t, 2, dials.Load())
}

// newEndlessServer starts a server that answers each request with a prefix and then repeats a
// text until the client closes the connection. It returns the server's address, and a channel
// that receives the number of bytes sent on a connection once the client has closed it.
func newEndlessServer(t *testing.T, prefix, repeated string) (string, <-chan int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	bytesSent := make(chan int, 1)
	block := strings.Repeat(repeated, 1+(64<<10)/len(repeated))
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		sent, err := io.WriteString(conn, prefix)
		for err == nil {
			var n int
			n, err = io.WriteString(conn, block)
			sent += n
		}
		bytesSent <- sent
	}()
	return listener.Addr().String(), bytesSent
}

// Guards against a server that sends bytes without end and thereby fills the memory of the
// instance: the connection is closed after a bounded number of bytes. The context of the
// request has no deadline.
func TestBytesWithoutEndAreBounded(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
	for name, c := range map[string]struct {
		prefix, repeated string
		streamed         bool // the response is passed on and its body is read until the caller closes it
	}{
		"status line":             {prefix: "HTTP/1.1 200 ", repeated: "O"},
		"no response at all":      {repeated: "junk"},
		"header lines":            {prefix: ok, repeated: "X-More: 1\r\n"},
		"one header line":         {prefix: ok + "X-More: ", repeated: "1"},
		"informational responses": {repeated: "HTTP/1.1 103 Early Hints\r\nX-Id: 1\r\n\r\n"},
		"responses to others":     {repeated: "HTTP/1.1 200 OK\r\nX-Id: 9\r\nContent-Length: 1\r\n\r\nx"},
		"chunk extension":         {prefix: ok + "Transfer-Encoding: chunked\r\n\r\n1;", repeated: "x"},
		"trailer":                 {prefix: ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", repeated: "X-More: 1\r\n"},
		"after the body":          {prefix: responseText("1", "one"), repeated: "x"},
		"body without length":     {prefix: ok + "Connection: close\r\n\r\n", repeated: "x", streamed: true},
		"chunks":                  {prefix: ok + "Transfer-Encoding: chunked\r\n\r\n", repeated: "1\r\nx\r\n", streamed: true},
	} {
		t.Run(name, func(t *testing.T) {
			address, bytesSent := newEndlessServer(t, c.prefix, c.repeated)
			response, _, err := send(t.Context(), New("X-Id", nil, DefaultBufferBytes), address, http.MethodGet, "1")
			if c.streamed {
				must.NoError(t, err)
				must.LessEq(t, BodyBufferBytes+1, len(response.Body))
				must.NotNil(t, response.RemainingBody)
				must.NoError(t, response.RemainingBody.Close())
			} else if err == nil {
				must.Eq(t, "one", string(response.Body)) // the complete response before the bytes
			}
			const socketBuffers = 16 << 20 // bytes that the kernel may hold for both ends
			must.LessEq(t, 2*BodyBufferBytes+socketBuffers, <-bytesSent)
		})
	}
}

// newClosingServer starts a server that reads one request, sends the bytes of the response and closes
// the connection. It returns its address.
func newClosingServer(t *testing.T, response string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() {
		defer listener.Close()
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, response)
		}
	}()
	return listener.Addr().String()
}

// Guards against a truncated response that is reported as complete, and against an error for
// a response without a length, whose body ends with the connection.
func TestTruncatedAndUnframedResponses(t *testing.T) {
	_, _, err := send(t.Context(), New("X-Id", nil, DefaultBufferBytes), newClosingServer(t, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nhalf"), http.MethodGet, "1")
	var truncated *TruncatedResponseError
	must.True(t, errors.As(err, &truncated))
	r, _, err := send(t.Context(), New("X-Id", nil, DefaultBufferBytes), newClosingServer(t, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\n\r\nall of it"), http.MethodGet, "1")
	must.NoError(t, err)
	must.True(t, strings.HasPrefix(string(r.Body), "all of it"))
}

// Guards against a repeated copy of an earlier refusal that is taken as the response to the next
// request on the connection: that request runs, but its caller is told that it did not.
func TestRepeatedRefusalIsNotTakenForTheNextRequest(t *testing.T) {
	const refusalWithoutID = "HTTP/1.1 503 Service Unavailable\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n"
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Id: 1\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct{ first, second string }{
		"with its ID":                      {refusal, refusal + responseText("2", "two")},
		"with its ID, no further response": {refusal, refusal},
		"without an ID":                    {refusalWithoutID, refusalWithoutID + responseText("2", "two")},
		"without an ID, alone":             {refusalWithoutID, refusalWithoutID},
		"copy has lost the ID":             {refusal, refusalWithoutID + responseText("2", "two")},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScriptedServer(t, c.first, c.second)
			var dials atomic.Int32
			client := newCountingClient(&dials)
			first, _, err := send(t.Context(), client, s.address, http.MethodPost, "1")
			must.NoError(t, err)
			must.Eq(t, http.StatusServiceUnavailable, first.Status)
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			second, sent, err := send(ctx, client, s.address, http.MethodPost, "2")
			must.True(t, sent)
			// The first response on a new connection is not a copy.
			if err == nil && dials.Load() == 1 {
				must.Eq(t, "two", string(second.Body))
			}
		})
	}
}

// Guards against a response whose server stopped anywhere in its head or body and that is taken as
// complete, with an empty or a short body.
func TestResponseCutAnywhereIsNotComplete(t *testing.T) {
	for name, response := range map[string]string{
		"with a length":   "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Type: text/plain\r\nContent-Length: 10\r\nX-More: a\r\n\r\n0123456789",
		"chunked":         "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\nX-More: a\r\n\r\n5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n",
		"length, LF only": "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 10\n\n0123456789",
	} {
		t.Run(name, func(t *testing.T) {
			whole, _, err := send(t.Context(), New("X-Id", nil, DefaultBufferBytes), newClosingServer(t, response), http.MethodGet, "1")
			must.NoError(t, err)
			must.Eq(t, "0123456789", string(whole.Body))
			for length := range len(response) {
				cut, _, err := send(t.Context(), New("X-Id", nil, DefaultBufferBytes), newClosingServer(t, response[:length]), http.MethodGet, "1")
				if err == nil {
					t.Errorf("complete after %d of %d bytes: status %d, body %q", length, len(response), cut.Status, cut.Body)
				}
			}
		})
	}
}

// Guards against kept direct connections that are not used while new ones must be relayed, and
// against one that is used although it was closed with the others.
func TestKeptDirectConnectionIsUsedBeforeARelayedOne(t *testing.T) {
	s := newScriptedServer(t, responseText("1", "one"), responseText("2", "two"))
	var paths []Path
	client := New("X-Id", func(ctx context.Context, target Target) (net.Conn, error) {
		paths = append(paths, target.Path)
		return Dial(ctx, target.Address)
	}, DefaultBufferBytes)
	request := func(id string, path Path) string {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://h/x", nil)
		must.NoError(t, err)
		response, _, err := client.Send(t.Context(), Target{ServerID: "s", Address: s.address, Path: path}, r, id, client.NewBuffers())
		must.NoError(t, err)
		return string(response.Body)
	}
	must.Eq(t, "one", request("1", PathDirect))
	must.Eq(t, "two", request("2", PathRelayed))
	must.Eq(t, []Path{PathDirect}, paths)
	client.CloseIdle(PathDirect)
	must.Eq(t, "one", request("1", PathRelayed))
	must.Eq(t, "two", request("2", PathRelayed))
	must.Eq(t, []Path{PathDirect, PathRelayed}, paths)
}

// keptSocket is a KeptConn.
type keptSocket struct {
	net.Conn
	usable *atomic.Bool
}

func (s keptSocket) Usable() bool { return s.usable.Load() }

// Guards against a request on a kept connection that has become unusable.
func TestUnusableKeptConnectionIsNotUsed(t *testing.T) {
	s := newScriptedServer(t, responseText("1", "one"), responseText("2", "two"))
	var usable atomic.Bool
	usable.Store(true)
	dials := 0
	client := New("X-Id", func(ctx context.Context, target Target) (net.Conn, error) {
		dials++
		socket, err := Dial(ctx, target.Address)
		return keptSocket{socket, &usable}, err
	}, DefaultBufferBytes)
	first, _, err := send(t.Context(), client, s.address, http.MethodGet, "1")
	must.NoError(t, err)
	must.Eq(t, "one", string(first.Body))
	usable.Store(false)
	second, _, err := send(t.Context(), client, s.address, http.MethodGet, "1")
	must.NoError(t, err)
	must.Eq(t, "one", string(second.Body))
	must.Eq(t, 2, dials)
}
