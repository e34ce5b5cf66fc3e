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

// Backend does what operators ask for. Errors that are a *problem.Document are
// sent as they are.
type Backend interface {
	LoadConfig(ctx context.Context, generation uint64) (ConfigResponse, error)
	Publish(ctx context.Context, doc *config.Document, base uint64, author string) (PublishResponse, error)
	History(ctx context.Context, limit int) (HistoryResponse, error)
	SetLabels(ctx context.Context, req LabelRequest, author string) (PublishResponse, error)
	Grant(ctx context.Context, req GrantRequest) (GrantResponse, error)
	Withdraw(ctx context.Context, req WithdrawRequest) (WithdrawResponse, error)
	Keys(ctx context.Context) (KeysResponse, error)
	Explain(ctx context.Context, route string) (ExplainResponse, error)
	Status(ctx context.Context) (StatusResponse, error)
}

// Bounds of requests.
const (
	maxDocumentBytes = 64 << 20
	maxRequestBytes  = 1 << 20
	defaultHistory   = 20
)

// handler serves a Backend.
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
	generation, refusal := numberParam(r, QueryGeneration, 0)
	if refusal != nil {
		refusal.Write(w)
		return
	}
	resp, err := h.backend.LoadConfig(r.Context(), generation)
	reply(w, resp, err)
}

func (h *handler) publish(w http.ResponseWriter, r *http.Request) {
	base, refusal := numberParam(r, QueryBaseGeneration, 0)
	if refusal != nil {
		refusal.Write(w)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDocumentBytes))
	if err != nil {
		problem.New(problem.TypeBodyTooLarge, http.StatusRequestEntityTooLarge, problem.DidNotRun, "%v", err).Write(w)
		return
	}
	doc, err := config.Parse(data)
	if err != nil {
		reply(w, nil, err)
		return
	}
	resp, err := h.backend.Publish(r.Context(), doc, base, r.Header.Get(HeaderAuthor))
	reply(w, resp, err)
}

func (h *handler) history(w http.ResponseWriter, r *http.Request) {
	limit, refusal := numberParam(r, QueryLimit, defaultHistory)
	if refusal != nil {
		refusal.Write(w)
		return
	}
	resp, err := h.backend.History(r.Context(), int(min(limit, maxHistory)))
	reply(w, resp, err)
}

// maxHistory bounds the generations in one response.
const maxHistory = 1000

func (h *handler) setLabels(w http.ResponseWriter, r *http.Request) {
	var req LabelRequest
	if !decode(w, r, &req) {
		return
	}
	resp, err := h.backend.SetLabels(r.Context(), req, r.Header.Get(HeaderAuthor))
	reply(w, resp, err)
}

func (h *handler) keys(w http.ResponseWriter, r *http.Request) {
	resp, err := h.backend.Keys(r.Context())
	reply(w, resp, err)
}

func (h *handler) grant(w http.ResponseWriter, r *http.Request) {
	var req GrantRequest
	if !decode(w, r, &req) {
		return
	}
	resp, err := h.backend.Grant(r.Context(), req)
	reply(w, resp, err)
}

func (h *handler) withdraw(w http.ResponseWriter, r *http.Request) {
	var req WithdrawRequest
	if !decode(w, r, &req) {
		return
	}
	resp, err := h.backend.Withdraw(r.Context(), req)
	reply(w, resp, err)
}

func (h *handler) explain(w http.ResponseWriter, r *http.Request) {
	resp, err := h.backend.Explain(r.Context(), r.URL.Query().Get(QueryRoute))
	reply(w, resp, err)
}

func (h *handler) status(w http.ResponseWriter, r *http.Request) {
	resp, err := h.backend.Status(r.Context())
	reply(w, resp, err)
}

func numberParam(r *http.Request, name string, fallback uint64) (uint64, *problem.Document) {
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

// decode reads a JSON request or answers with a problem.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		problem.New(problem.TypeBadRequest, http.StatusBadRequest, problem.DidNotRun, "the request body is not valid: %v", err).Write(w)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, resp any, err error) {
	if err != nil {
		problemOf(err).Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	// A write error means that the operator has gone.
	_ = json.NewEncoder(w).Encode(resp)
}

// problemOf returns the problem document for an error of the backend.
func problemOf(err error) *problem.Document {
	var (
		document   *problem.Document
		invalid    *config.ValidationError
		conflict   *configstore.PublishConflictError
		unknown    *configstore.PublishOutcomeUnknownError
		noGen      *configstore.GenerationNotFoundError
		platformUp *tablestore.UnavailableError
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
	case errors.As(err, &unknown):
		return problem.New(problem.TypePlatformUnavailable, http.StatusGatewayTimeout, problem.MayHaveRun, "%v", unknown)
	case errors.As(err, &noGen):
		return problem.New(problem.TypeNotFound, http.StatusNotFound, problem.DidNotRun, "%v", noGen)
	case errors.As(err, &platformUp):
		return problem.New(problem.TypePlatformUnavailable, http.StatusServiceUnavailable, problem.DidNotRun, "%v", platformUp)
	default:
		return problem.New(problem.TypeInternal, http.StatusInternalServerError, problem.MayHaveRun, "%v", err)
	}
}
