package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a response whose status is no HTTP status and that is passed on.
func TestResponseWithInvalidStatusIsRejected(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			s := newScriptedServer(t, "HTTP/1.1 "+status+" Broken\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\nbody")
			r, sent, err := send(t.Context(), New("X-Id", nil, DefaultBufferBytes), s.address, http.MethodGet, "1")
			must.True(t, sent)
			var malformed *MalformedResponseError
			must.True(t, errors.As(err, &malformed), must.Sprintf("response %+v, error %v", r, err))
		})
	}
}

// Guards against a response in whose head the name of a field holds a space or a control
// character. Such a line may hide the length of the body or a field of the server, or continue the
// value of the line before.
func TestResponseWithInvalidFieldNameIsRejected(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-First: 1\r\n"
	const end = "\r\nContent-Length: 4\r\n\r\nbody"
	const chunkedBody = "\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	for name, text := range map[string]string{
		"space inside":                 start + "X Trace: 1" + end,
		"space before the colon":       start + "X-Trace : 1" + end,
		"space at the start":           start + " X-Trace: 1" + end,
		"tab inside":                   start + "X\tTrace: 1" + end,
		"tab before the colon":         start + "X-Trace\t: 1" + end,
		"tab at the start":             start + "\tX-Trace: 1" + end,
		"name on two lines":            start + "X\r\n Trace: 1" + end,
		"NUL":                          start + "X-\x00Trace: 1" + end,
		"control character":            start + "X-\x01Trace: 1" + end,
		"carriage return":              start + "X-\rTrace: 1" + end,
		"line feed":                    start + "X-\nTrace: 1" + end,
		"DEL":                          start + "X-Trace\x7f: 1" + end,
		"empty":                        start + ": 1" + end,
		"hides the length":             start + "Content-Length : 4\r\n\r\nbody and more",
		"hides the length in a fold":   start + " Content-Length: 4\r\n\r\nbody and more",
		"hides the coding":             start + "Transfer-Encoding : chunked" + chunkedBody,
		"hides the coding in a fold":   start + "\tTransfer-Encoding: chunked" + chunkedBody,
		"in an informational response": "HTTP/1.1 103 Early Hints\r\nX Trace: 1\r\n\r\n" + start + "X-Last: 1" + end,
	} {
		t.Run(name, func(t *testing.T) {
			address := newClosingServer(t, text)
			r, sent, err := send(t.Context(), New("X-Id", nil, DefaultBufferBytes), address, http.MethodGet, "1")
			must.True(t, sent)
			var malformed *MalformedResponseError
			must.True(t, errors.As(err, &malformed), must.Sprintf("response %+v, error %v", r, err))
		})
	}
}

// Guards against rejecting a valid response because of bytes behind its head, or of how many reads
// the head takes.
func TestValidHeadIsAccepted(t *testing.T) {
	const body = "\n indented\n\ttwice\n"
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
	end := "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	for name, text := range map[string]string{
		"short":                        head + end,
		"larger than the read buffer":  head + strings.Repeat("X-More: 1\r\n", readBufferBytes) + end,
		"late response to another one": "HTTP/1.1 200 OK\r\nX-Id: 0\r\n" + end + head + end,
		"informational response":       "HTTP/1.1 103 Early Hints\r\n\r\n" + head + end,
		"LF only":                      strings.ReplaceAll(head+end, "\r", ""),
	} {
		t.Run(name, func(t *testing.T) {
			r, _, err := send(t.Context(), New("X-Id", nil, DefaultBufferBytes), newClosingServer(t, text), http.MethodGet, "1")
			must.NoError(t, err)
			must.Eq(t, body, string(r.Body))
		})
	}
}

// zeros is a body without an end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// sendUpload sends a POST request whose body does not end.
func sendUpload(t *testing.T, c *Client, address, id string) (*Response, error) {
	t.Helper()
	r := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Opaque: "/x"}, Host: "h", Header: http.Header{"X-Id": {id}}, ProtoMajor: 1, ProtoMinor: 1,
		Body: io.NopCloser(zeros{}), ContentLength: -1,
	}
	response, _, err := c.Send(t.Context(), Target{ServerID: "s", Address: address}, r, id, c.NewBuffers())
	return response, err
}

// newEarlyServer starts a server that reads the head of each request, sends the text as its
// response and ends the connection with end.
func newEarlyServer(t *testing.T, text string, end func(*net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				if _, err := io.WriteString(conn, text); err == nil {
					end(conn.(*net.TCPConn))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against a response that ends with its connection and is taken as complete although the
// connection was reset: the kernel reports a reset once, and the request that is still being sent may
// get the report.
func TestResponseResetDuringAnUploadIsNotComplete(t *testing.T) {
	const rounds = 300 // which of the two gets the report is left to the kernel
	for name, text := range map[string]string{
		"without a length":       "\r\npart of the body",
		"long, without a length": "\r\n" + strings.Repeat("x", BodyBufferBytes+100<<10),
		"with a length":          "Content-Length: 20\r\n\r\npart of the body",
		"chunked":                "Transfer-Encoding: chunked\r\n\r\n10\r\npart of the body\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := newEarlyServer(t, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"+text, func(conn *net.TCPConn) {
				_ = conn.SetLinger(0)
				conn.Close()
			})
			client := New("X-Id", nil, DefaultBufferBytes)
			for round := range rounds {
				response, err := sendUpload(t, client, address, "1")
				if err != nil {
					continue
				}
				var rest []byte
				if response.RemainingBody != nil {
					rest, err = io.ReadAll(response.RemainingBody)
					must.NoError(t, response.RemainingBody.Close())
				}
				must.Error(t, err, must.Sprintf("round %d: %d bytes taken as complete", round, len(response.Body)+len(rest)))
			}
		})
	}
}

// newEarlyEndingServer is newEarlyServer with connections that the server ends in order and without
// reading the rest of the request.
func newEarlyEndingServer(t *testing.T, text string) string {
	t.Helper()
	return newEarlyServer(t, text, func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		<-t.Context().Done()
	})
}

// Guards against dropping a response that ended with its connection while the request was still
// being sent: the server does not want the rest of it.
func TestCompleteResponseDuringAnUploadIsPassedOn(t *testing.T) {
	address := newEarlyEndingServer(t, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall of the body")
	response, err := sendUpload(t, New("X-Id", nil, DefaultBufferBytes), address, "1")
	must.NoError(t, err)
	must.Eq(t, "all of the body", string(response.Body))
}

// Guards against breaking off a response that is too long to be buffered because the request was
// still being sent when it started.
func TestLongResponseDuringAnUploadIsPassedOn(t *testing.T) {
	body := strings.Repeat("x", BodyBufferBytes+100<<10)
	address := newEarlyEndingServer(t, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	response, err := sendUpload(t, New("X-Id", nil, DefaultBufferBytes), address, "1")
	must.NoError(t, err)
	rest, err := io.ReadAll(response.RemainingBody)
	must.NoError(t, err)
	must.NoError(t, response.RemainingBody.Close())
	must.Eq(t, len(body), len(response.Body)+len(rest))
}
