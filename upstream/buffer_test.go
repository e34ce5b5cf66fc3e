package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// A response for which no buffer is free must still arrive whole, as a stream.
func TestResponseWithoutAFreeBufferIsStreamed(t *testing.T) {
	body := strings.Repeat("0123456789", 20<<10)
	for name, head := range map[string]string{
		"with a length": fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)),
		"in a chunk":    fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", len(body)),
	} {
		t.Run(name, func(t *testing.T) {
			text := "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + head + body
			if strings.Contains(head, "chunked") {
				text += "\r\n0\r\n\r\n"
			}
			s := newScriptedServer(t, text)
			response, _, err := send(t.Context(), New("X-Id", nil, unreservedBodyBytes), s.address, http.MethodGet, "1")
			must.NoError(t, err)
			must.NotNil(t, response.RemainingBody)
			rest, err := io.ReadAll(response.RemainingBody)
			must.NoError(t, err)
			must.NoError(t, response.RemainingBody.Close())
			must.True(t, string(response.Body)+string(rest) == body)
		})
	}
}

// Buffers that are not freed would add up until every response is streamed. A connection that
// still reads when its request has ended must not reserve any more.
func TestBuffersAreFreedAtTheEndOfTheRequest(t *testing.T) {
	long := strings.Repeat("x", 100<<10)
	head := "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: "
	for name, text := range map[string]string{
		"complete":   head + fmt.Sprint(len(long)) + "\r\n\r\n" + long,
		"truncated":  head + fmt.Sprint(2*len(long)) + "\r\n\r\n" + long,
		"long":       head + fmt.Sprint(3*BodyBufferBytes) + "\r\n\r\n" + strings.Repeat("x", 3*BodyBufferBytes),
		"mismatched": "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: " + fmt.Sprint(len(long)) + "\r\n\r\n" + long,
	} {
		t.Run(name, func(t *testing.T) {
			client := New("X-Id", nil, DefaultBufferBytes)
			buffers := client.NewBuffers()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://h/x", nil)
			must.NoError(t, err)
			address := newClosingServer(t, text)
			response, _, err := client.Send(ctx, Target{ServerID: "s", Address: address}, request, "1", buffers)
			if err == nil {
				must.Positive(t, client.BufferedBytes())
			}
			buffers.Release()
			must.Zero(t, client.BufferedBytes())
			must.False(t, buffers.reserve(1))
			if err == nil && response.RemainingBody != nil {
				must.NoError(t, response.RemainingBody.Close())
			}
		})
	}
}
