package responsecheck

import (
	"bytes"
	"compress/gzip"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/internal/responsecheck/responsetest"
)

// Guards against taking the end of the connection for the end of a body that has another one, and
// against missing a body that has none.
func TestCheckDelimited(t *testing.T) {
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	_, err := writer.Write([]byte("body"))
	must.NoError(t, err)
	must.NoError(t, writer.Close())
	for name, c := range map[string]struct {
		method, text string
		undelimited  bool
	}{
		"length":              {http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", false},
		"chunked":             {http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false},
		"neither":             {http.MethodGet, "HTTP/1.1 200 OK\r\n\r\nbody", true},
		"HTTP/1.0":            {http.MethodGet, "HTTP/1.0 200 OK\r\n\r\nbody", true},
		"HEAD":                {http.MethodHead, "HTTP/1.1 200 OK\r\n\r\n", false},
		"no content":          {http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n", false},
		"not modified":        {http.MethodGet, "HTTP/1.1 304 Not Modified\r\n\r\n", false},
		"decoded by net/http": {http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n\r\n" + compressed.String(), false},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(responsetest.Handler(c.text))
			defer server.Close()
			request, err := http.NewRequestWithContext(t.Context(), c.method, server.URL, nil)
			must.NoError(t, err)
			resp, err := server.Client().Do(request)
			must.NoError(t, err)
			defer resp.Body.Close()
			must.NoError(t, Check(resp))
			must.Eq(t, c.undelimited, CheckDelimited(resp) != nil)
		})
	}
}
