// Package responsetest provides broken HTTP responses for the tests of clients.
package responsetest

import (
	"fmt"
	"io"
	"net/http"
)

// Handler returns a handler that reads the request, sends text as the whole HTTP response, head
// included, and closes the connection.
func Handler(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, text)
	}
}

// WithInvalidHeads returns, by name, responses whose heads are invalid and whose bodies are body.
func WithInvalidHeads(body string) map[string]string {
	end := fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return map[string]string{
		"status 000":                "HTTP/1.1 000 Broken\r\n" + end,
		"status 099":                "HTTP/1.1 099 Broken\r\n" + end,
		"status 600":                "HTTP/1.1 600 Broken\r\n" + end,
		"status 101":                "HTTP/1.1 101 Switching Protocols\r\n\r\n" + body,
		"space in a field name":     "HTTP/1.1 200 OK\r\nX Trace: 1\r\n" + end,
		"space behind a name":       "HTTP/1.1 200 OK\r\nX-Trace : 1\r\n" + end,
		"hidden length":             fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length : %d\r\n\r\n%s", len(body), body),
		"tab in a field name":       "HTTP/1.1 200 OK\r\nX\tTrace: 1\r\n" + end,
		"control character in name": "HTTP/1.1 200 OK\r\nX-\x01Trace: 1\r\n" + end,
		"space before first name":   "HTTP/1.1 200 OK\r\n X-Trace: 1\r\n" + end,
	}
}
