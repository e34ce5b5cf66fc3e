package forward

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders apply to one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
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

// removeHopHeaders deletes the headers that must not be forwarded, those named
// by Connection included.
func removeHopHeaders(h http.Header) {
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// backendHeader returns the headers for the backend server. The key is removed
// before anything else, so that no later step can leak it.
func backendHeader(in http.Header, requestID string) http.Header {
	out := in.Clone()
	out.Del(HeaderKey)
	removeHopHeaders(out)
	out.Set(HeaderRequestID, requestID)
	if _, ok := out["User-Agent"]; !ok {
		out.Set("User-Agent", "")
	}
	return out
}

// ownHeaderPrefix starts the headers that only entry instances send to callers.
const ownHeaderPrefix = "Jacinthrack-"

// callerHeader returns the headers of a backend server's response for the caller.
func callerHeader(in http.Header) http.Header {
	out := in.Clone()
	removeHopHeaders(out)
	for name := range out {
		if strings.HasPrefix(name, ownHeaderPrefix) {
			out.Del(name)
		}
	}
	return out
}
