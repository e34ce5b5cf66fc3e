package gateway

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/jacinthrack/jacinthrack/internal/hopheader"
)

// serverRequest builds the request for a backend server. The request target is passed on
// unchanged. remaining is the time until the deadline.
func (g *Gateway) serverRequest(state *requestState, server string, remaining time.Duration) *http.Request {
	in := state.request
	header := in.Header.Clone()
	hopheader.Remove(header)
	// Content-Length is written from the field ContentLength, and Expect is not needed,
	// since the body has been read or is arriving.
	delete(header, "Content-Length")
	delete(header, "Expect")
	g.dialect.RewriteRequest(header, state.customerName(), server, remaining)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // an empty value keeps net/http from adding its own
	}
	target := in.URL
	if !strings.HasPrefix(in.RequestURI, "//") {
		target = &url.URL{Opaque: in.RequestURI}
	}
	out := &http.Request{
		Method: in.Method, URL: target, Host: in.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	switch {
	case in.Streamed:
		out.Body = io.NopCloser(io.MultiReader(bytes.NewReader(in.BufferedBody), in.RemainingBody))
		out.ContentLength = in.ContentLength
	case len(in.BufferedBody) > 0:
		out.Body = io.NopCloser(bytes.NewReader(in.BufferedBody))
		out.ContentLength = int64(len(in.BufferedBody))
	}
	return out
}
