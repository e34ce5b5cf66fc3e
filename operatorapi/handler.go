package operatorapi

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/justinas/alice"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/configstore"
	"github.com/jacinthrack/jacinthrack/problem"
	"github.com/jacinthrack/jacinthrack/tablestore"
)

// Backend implements the operations of the API. An error that is a *problem.Document is
// sent to the operator unchanged.
type Backend interface {
	// LoadConfig returns the configuration of a generation, or the current one for
	// generation 0.
	LoadConfig(ctx context.Context, generation uint64) (ConfigResponse, error)
	// Publish publishes a document that is based on the generation base.
	Publish(ctx context.Context, doc *config.Document, base uint64, author string) (PublishResponse, error)
	// History lists at most limit published generations, newest first.
	History(ctx context.Context, limit int) (HistoryResponse, error)
	// SetLabels changes the labels of one configuration object and publishes the result.
	SetLabels(ctx context.Context, req LabelRequest, author string) (PublishResponse, error)
	// Grant creates a key for a customer.
	Grant(ctx context.Context, req GrantRequest) (GrantResponse, error)
	// Withdraw withdraws a key permanently.
	Withdraw(ctx context.Context, req WithdrawRequest) (WithdrawResponse, error)
	// Keys lists all keys without their secrets.
	Keys(ctx context.Context) (KeysResponse, error)
	// Explain returns which backend server would get a request of the route now, and why.
	Explain(ctx context.Context, route string) (ExplainResponse, error)
	// Status returns the status of the entry instance.
	Status(ctx context.Context) (StatusResponse, error)
}

// Limits of requests.
const (
	maxDocumentBytes    = 64 << 20 // size of a configuration document
	maxRequestBytes     = 1 << 20  // size of any other request body
	defaultHistoryLimit = 20       // generations, if the request has no QueryLimit
)

// handler handles the HTTP requests of the API by calling a Backend.
type handler struct{ backend Backend }

// NewHandler returns the handler of the operator API. token is the bearer token
// that requests must carry.
func NewHandler(backend Backend, token string) http.Handler {
	h := &handler{backend: backend}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathConfig, h.getConfig)
	mux.HandleFunc("PUT "+PathConfig, h.publish)
	mux.HandleFunc("GET "+PathHistory, h.history)
	mux.HandleFunc("POST "+PathLabels, h.setLabels)
	mux.HandleFunc("GET "+PathKeys, h.keys)
	mux.HandleFunc("POST "+PathKeys, h.grant)
	mux.HandleFunc("POST "+PathKeyWithdrawal, h.withdraw)
	mux.HandleFunc("GET "+PathExplain, h.explain)
	mux.HandleFunc("GET "+PathStatus, h.status)
	return alice.New(requireToken(token)).Then(mux)
}

// requireToken returns middleware that rejects requests without the bearer token.
func requireToken(token string) alice.Constructor {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			presented, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
			if !ok || subtle.ConstantTimeCompare([]byte(presented), []byte(token)) != 1 {
				problem.New(problem.TypeKeyInvalid, http.StatusUnauthorized, problem.DidNotRun, "the operator token is missing or wrong").Write(w)
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}

func (h *handler) getConfig(w http.ResponseWriter, r *http.Request) {
	generation, invalidParam := uintParam(r, QueryGeneration, 0)
	if invalidParam != nil {
		invalidParam.Write(w)
		return
	}
	resp, err := h.backend.LoadConfig(r.Context(), generation)
	writeResponse(w, resp, err)
}

func (h *handler) publish(w http.ResponseWriter, r *http.Request) {
	base, invalidParam := uintParam(r, QueryBaseGeneration, 0)
	if invalidParam != nil {
		invalidParam.Write(w)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDocumentBytes))
	if err != nil {
		problem.New(problem.TypeBodyTooLarge, http.StatusRequestEntityTooLarge, problem.DidNotRun, "%v", err).Write(w)
		return
	}
	doc, err := config.Parse(data)
	if err != nil {
		writeResponse(w, nil, err)
		return
	}
	resp, err := h.backend.Publish(r.Context(), doc, base, r.Header.Get(HeaderAuthor))
	writeResponse(w, resp, err)
}

func (h *handler) history(w http.ResponseWriter, r *http.Request) {
	limit, invalidParam := uintParam(r, QueryLimit, defaultHistoryLimit)
	if invalidParam != nil {
		invalidParam.Write(w)
		return
	}
	resp, err := h.backend.History(r.Context(), int(min(limit, maxHistoryLimit)))
	writeResponse(w, resp, err)
}

// maxHistoryLimit is the maximum number of generations in one response.
const maxHistoryLimit = 1000

func (h *handler) setLabels(w http.ResponseWriter, r *http.Request) {
	var req LabelRequest
	if !decodeRequest(w, r, &req) {
		return
	}
	resp, err := h.backend.SetLabels(r.Context(), req, r.Header.Get(HeaderAuthor))
	writeResponse(w, resp, err)
}

func (h *handler) keys(w http.ResponseWriter, r *http.Request) {
	resp, err := h.backend.Keys(r.Context())
	writeResponse(w, resp, err)
}

func (h *handler) grant(w http.ResponseWriter, r *http.Request) {
	var req GrantRequest
	if !decodeRequest(w, r, &req) {
		return
	}
	resp, err := h.backend.Grant(r.Context(), req)
	writeResponse(w, resp, err)
}

func (h *handler) withdraw(w http.ResponseWriter, r *http.Request) {
	var req WithdrawRequest
	if !decodeRequest(w, r, &req) {
		return
	}
	resp, err := h.backend.Withdraw(r.Context(), req)
	writeResponse(w, resp, err)
}

func (h *handler) explain(w http.ResponseWriter, r *http.Request) {
	resp, err := h.backend.Explain(r.Context(), r.URL.Query().Get(QueryRoute))
	writeResponse(w, resp, err)
}

func (h *handler) status(w http.ResponseWriter, r *http.Request) {
	resp, err := h.backend.Status(r.Context())
	writeResponse(w, resp, err)
}

// uintParam returns a query parameter, or fallback if it is absent or empty. If it is not
// an integer from 0 to 2^63-1, it returns a problem document.
func uintParam(r *http.Request, name string, fallback uint64) (uint64, *problem.Document) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, problem.New(problem.TypeBadRequest, http.StatusBadRequest, problem.DidNotRun, "parameter %q must be a whole number", name)
	}
	return n, nil
}

// decodeRequest decodes a JSON request body into target. If the body is not valid, it
// responds with a problem document and returns false.
func decodeRequest(w http.ResponseWriter, r *http.Request, target any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		problem.New(problem.TypeBadRequest, http.StatusBadRequest, problem.DidNotRun, "the request body is not valid: %v", err).Write(w)
		return false
	}
	return true
}

// writeResponse sends resp as JSON, or the problem document for err if it is not nil.
func writeResponse(w http.ResponseWriter, resp any, err error) {
	if err != nil {
		problemForError(err).Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	// A write error is ignored: the connection is closed, so the operator cannot be told.
	_ = json.NewEncoder(w).Encode(resp)
}

// problemForError returns the problem document for an error of the Backend.
func problemForError(err error) *problem.Document {
	var (
		document       *problem.Document
		invalid        *config.ValidationError
		conflict       *configstore.PublishConflictError
		outcomeUnknown *configstore.PublishOutcomeUnknownError
		notFound       *configstore.GenerationNotFoundError
		unavailable    *tablestore.UnavailableError
	)
	switch {
	case errors.As(err, &document):
		return document
	case errors.As(err, &invalid):
		d := problem.New(problem.TypeInvalidConfig, http.StatusUnprocessableEntity, problem.DidNotRun, "the document has %d mistakes", len(invalid.Issues))
		d.Extension = IssuesExtension{Issues: invalid.Issues}
		return d
	case errors.As(err, &conflict):
		d := problem.New(problem.TypeConflict, http.StatusConflict, problem.DidNotRun, "%v", conflict)
		d.Extension = ConflictExtension{BaseGeneration: conflict.BaseGeneration, Current: conflict.Current, Changes: conflict.Changes}
		return d
	case errors.As(err, &outcomeUnknown):
		return problem.New(problem.TypePlatformUnavailable, http.StatusGatewayTimeout, problem.MayHaveRun, "%v", outcomeUnknown)
	case errors.As(err, &notFound):
		return problem.New(problem.TypeNotFound, http.StatusNotFound, problem.DidNotRun, "%v", notFound)
	case errors.As(err, &unavailable):
		return problem.New(problem.TypePlatformUnavailable, http.StatusServiceUnavailable, problem.DidNotRun, "%v", unavailable)
	default:
		return problem.New(problem.TypeInternal, http.StatusInternalServerError, problem.MayHaveRun, "%v", err)
	}
}
