// Package httpserver serves an implementation of the platform interfaces over HTTP/JSON.
// It is part of the platform stand-in; a hosted platform has its own server.
package httpserver

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/jacinthrack/jacinthrack/tablestore"
	"github.com/jacinthrack/jacinthrack/tablestore/httpapi"
)

// Platform is an implementation of all platform interfaces.
type Platform interface {
	tablestore.Table
	tablestore.ObjectStore
	tablestore.InstanceLister
}

// Handler serves the HTTP/JSON API for an implementation of the platform interfaces.
type Handler struct {
	platform Platform
	mux      *http.ServeMux
}

// New returns a handler that passes its calls to platform.
func New(platform Platform) *Handler {
	h := &Handler{platform: platform, mux: http.NewServeMux()}
	h.mux.HandleFunc("POST "+httpapi.PathRead, h.read)
	h.mux.HandleFunc("POST "+httpapi.PathScan, h.scan)
	h.mux.HandleFunc("POST "+httpapi.PathTransact, h.transact)
	h.mux.HandleFunc("PUT "+httpapi.PathObjects, h.putObject)
	h.mux.HandleFunc("GET "+httpapi.PathObjects, h.getObject)
	h.mux.HandleFunc("GET "+httpapi.PathInstances, h.instances)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, httpapi.MaxBodyBytes)
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) read(w http.ResponseWriter, r *http.Request) {
	serveJSON(w, r, func(ctx context.Context, req httpapi.ReadRequest) (tablestore.Row, error) {
		return h.platform.Read(ctx, req.Key)
	})
}

func (h *Handler) scan(w http.ResponseWriter, r *http.Request) {
	serveJSON(w, r, func(ctx context.Context, req httpapi.ScanRequest) (httpapi.ScanResponse, error) {
		rows, err := h.platform.Scan(ctx, req.Prefix, req.Limit, req.After)
		return httpapi.ScanResponse{Rows: rows}, err
	})
}

func (h *Handler) transact(w http.ResponseWriter, r *http.Request) {
	serveJSON(w, r, func(ctx context.Context, req httpapi.TransactRequest) (tablestore.TransactResult, error) {
		return h.platform.Transact(ctx, req.ChangeID, req.Writes)
	})
}

func (h *Handler) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, httpapi.ErrorResponse{Kind: httpapi.KindBadRequest, Detail: err.Error()})
		return
	}
	if err := h.platform.Put(r.Context(), r.URL.Query().Get(httpapi.QueryName), data); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *Handler) getObject(w http.ResponseWriter, r *http.Request) {
	data, err := h.platform.Get(r.Context(), r.URL.Query().Get(httpapi.QueryName))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data)
}

func (h *Handler) instances(w http.ResponseWriter, r *http.Request) {
	listing, err := h.platform.List(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, listing)
}

// serveJSON decodes a JSON request, passes it to call and encodes the result or error.
func serveJSON[Req, Resp any](w http.ResponseWriter, r *http.Request, call func(context.Context, Req) (Resp, error)) {
	var req Req
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&req); err != nil {
		writeJSON(w, http.StatusBadRequest, httpapi.ErrorResponse{Kind: httpapi.KindBadRequest, Detail: err.Error()})
		return
	}
	resp, err := call(r.Context(), req)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, resp)
}

// writeError responds with the error kind for the type of err, and with KindUnavailable for
// types that have none.
func writeError(w http.ResponseWriter, err error) {
	body := httpapi.ErrorResponse{Kind: httpapi.KindUnavailable, Detail: err.Error()}
	status := http.StatusServiceUnavailable
	var (
		conflict *tablestore.ConflictError
		notFound *tablestore.NotFoundError
		limit    *tablestore.LimitError
	)
	switch {
	case errors.As(err, &conflict):
		body.Kind, body.Conflicts = httpapi.KindConflict, conflict.Conflicts
		status = http.StatusConflict
	case errors.As(err, &notFound):
		body.Kind = httpapi.KindNotFound
		status = http.StatusNotFound
	case errors.As(err, &limit):
		body.Kind, body.Limit, body.Max, body.Got = httpapi.KindLimit, limit.Limit, limit.Max, limit.Got
		status = http.StatusRequestEntityTooLarge
	case tablestore.IsOutcomeUnknown(err):
		body.Kind = httpapi.KindUnknown
		status = http.StatusGatewayTimeout
	}
	body.Detail = strings.TrimSpace(body.Detail)
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
