// Package hopheader removes hop-by-hop headers, which apply to a single connection.
package hopheader

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders must not be forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// Remove deletes the hop-by-hop headers from h, including those named by its Connection
// header.
func Remove(h http.Header) {
	for _, value := range h.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
