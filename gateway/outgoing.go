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

// outgoing builds the request for a server. The target is passed on as it came.
func (g *Gateway) outgoing(x *exchange, server string, left time.Duration) *http.Request {
	in := x.request
	header := in.Header.Clone()
	hopheader.Remove(header)
	// The request has its length, and its body is there.
	delete(header, "Content-Length")
	delete(header, "Expect")
	g.dialect.RewriteRequest(header, x.customerName(), server, left)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // keeps net/http from adding its own
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
		out.Body = io.NopCloser(io.MultiReader(bytes.NewReader(in.Buffered), in.Rest))
		out.ContentLength = in.ContentLength
	case len(in.Buffered) > 0:
		out.Body = io.NopCloser(bytes.NewReader(in.Buffered))
		out.ContentLength = int64(len(in.Buffered))
	}
	return out
}
