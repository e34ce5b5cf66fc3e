package forward

import (
	"net/http"
	"strings"

	"github.com/jacinthrack/jacinthrack/internal/hopheader"
)

// headerForBackend returns the request headers for the backend server. It removes the API
// key first, so that no later step can leak it.
func headerForBackend(in http.Header, requestID string) http.Header {
	out := in.Clone()
	out.Del(HeaderKey)
	hopheader.Remove(out)
	out.Set(HeaderRequestID, requestID)
	// An empty value keeps net/http from adding a User-Agent of its own.
	if _, ok := out["User-Agent"]; !ok {
		out.Set("User-Agent", "")
	}
	return out
}

// instanceHeaderPrefix is the prefix of the response headers that only entry instances
// may set.
const instanceHeaderPrefix = "Jacinthrack-"

// headerForCaller returns the headers of a backend server's response to be sent to the
// caller.
func headerForCaller(in http.Header) http.Header {
	out := in.Clone()
	hopheader.Remove(out)
	for name := range out {
		if strings.HasPrefix(name, instanceHeaderPrefix) {
			out.Del(name)
		}
	}
	return out
}
