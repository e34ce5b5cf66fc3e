package ingress

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// startServer serves a handler on a loopback address until the test ends.
func startServer(t *testing.T, handler Handler) (*Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := &Server{Handler: handler, Limits: func() Limits { return Limits{} }, Log: slog.New(slog.DiscardHandler)}
	served := make(chan error, 1)
	go func() { served <- s.Serve(listener) }()
	t.Cleanup(func() {
		listener.Close()
		must.NoError(t, <-served)
	})
	return s, listener.Addr().String()
}

// brokenBody is a body of which the server delivers a part before its connection fails.
type brokenBody struct{ delivered bool }

func (b *brokenBody) Read(p []byte) (int, error) {
	if b.delivered {
		return 0, errors.New("connection reset")
	}
	b.delivered = true
	return copy(p, "second part"), nil
}

func (*brokenBody) Close() error { return nil }

// A response whose server breaks off midway must not look complete to the caller, however its
// end is marked.
func TestBrokenResponseDoesNotLookComplete(t *testing.T) {
	for name, c := range map[string]struct {
		proto  string
		length int64
	}{
		"by its length":         {proto: "HTTP/1.1", length: 1 << 20},
		"by the last chunk":     {proto: "HTTP/1.1", length: -1},
		"by the connection end": {proto: "HTTP/1.0", length: -1},
	} {
		t.Run(name, func(t *testing.T) {
			firstPart := make([]byte, 256<<10) // more than the write buffer, so that it is sent
			_, address := startServer(t, func(context.Context, *Request) *Response {
				return &Response{Status: http.StatusOK, Body: firstPart, RemainingBody: &brokenBody{}, BodyLength: c.length}
			})
			conn, err := net.Dial("tcp", address)
			must.NoError(t, err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "GET / %s\r\nHost: h\r\n\r\n", c.proto)
			must.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return // the reset overtook the head
			}
			_, err = io.ReadAll(response.Body)
			must.Error(t, err)
		})
	}
}

// During a planned stop under load, every request that reached the handler gets its response,
// on connections that are kept open as well as on new ones.
func TestDrainUnderLoadAnswersAcceptedRequests(t *testing.T) {
	const callers, requestsPerCaller = 20, 30
	var handled, answered atomic.Int64
	drain := make(chan struct{})
	server, address := startServer(t, func(context.Context, *Request) *Response {
		if handled.Add(1) == callers*requestsPerCaller/3 {
			close(drain)
		}
		return &Response{Status: http.StatusOK, Body: []byte("done")}
	})
	var callersDone sync.WaitGroup
	for range callers {
		callersDone.Go(func() {
			var conn net.Conn
			var reader *bufio.Reader
			for range requestsPerCaller {
				if conn == nil {
					var err error
					if conn, err = net.Dial("tcp", address); err != nil {
						return
					}
					reader = bufio.NewReader(conn)
				}
				if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
					conn = nil
					continue
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					conn.Close()
					conn = nil
					continue
				}
				if body, err := io.ReadAll(response.Body); err == nil && string(body) == "done" {
					answered.Add(1)
				}
				if response.Close {
					conn.Close()
					conn = nil
				}
			}
			if conn != nil {
				conn.Close()
			}
		})
	}
	<-drain
	server.Drain()
	for range 200 {
		server.CloseIdle()
	}
	callersDone.Wait()
	must.Eq(t, handled.Load(), answered.Load())
}

// A caller may reuse a connection until it has been idle for the idle timeout. The time in which
// the previous request was handled does not count: the caller does not know when its request
// was read.
func TestIdleTimeStartsWithTheEndOfTheResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const idleTimeout = 5 * time.Second
		server := &Server{
			Handler: func(context.Context, *Request) *Response {
				time.Sleep(3 * time.Second)
				return &Response{Status: http.StatusOK}
			},
			Limits: func() Limits { return Limits{IdleTimeout: idleTimeout} },
			Log:    slog.New(slog.DiscardHandler),
		}
		caller, socket := net.Pipe()
		go newConn(server, socket).serve()
		reader := bufio.NewReader(caller)
		for range 3 {
			_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			must.NoError(t, err)
			response, err := http.ReadResponse(reader, nil)
			must.NoError(t, err)
			must.NoError(t, response.Body.Close())
			time.Sleep(idleTimeout * 4 / 5)
		}
		// After the timeout, the connection is closed.
		time.Sleep(idleTimeout)
		_, err := reader.ReadByte()
		must.ErrorIs(t, err, io.EOF)
		caller.Close()
	})
}
