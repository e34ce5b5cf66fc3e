package operatorapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/problem"
)

// clientTimeout bounds a call. A withdrawal may wait for the staleness bound.
const clientTimeout = 30 * time.Second

// Client calls the operator API of one entry instance.
type Client struct {
	base   string
	token  string
	author string
	http   *http.Client
}

// NewClient returns a client of the entry instance whose operator address is the
// URL base.
func NewClient(base, token, author string) *Client {
	return &Client{
		base:   strings.TrimSuffix(base, "/"),
		token:  token,
		author: author,
		http:   &http.Client{Timeout: clientTimeout},
	}
}

// TransportError reports that no response arrived. The change may have been made.
type TransportError struct{ Err error }

func (e *TransportError) Error() string { return fmt.Sprintf("call the operator API: %v", e.Err) }

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Err }

// LoadConfig returns a generation, or the current one for generation 0.
func (c *Client) LoadConfig(ctx context.Context, generation uint64) (ConfigResponse, error) {
	var resp ConfigResponse
	query := url.Values{QueryGeneration: {strconv.FormatUint(generation, 10)}}
	err := c.do(ctx, http.MethodGet, PathConfig, query, nil, &resp)
	return resp, err
}

// Publish publishes a document that was based on the generation base.
func (c *Client) Publish(ctx context.Context, doc *config.Document, base uint64) (PublishResponse, error) {
	var resp PublishResponse
	query := url.Values{QueryBaseGeneration: {strconv.FormatUint(base, 10)}}
	err := c.do(ctx, http.MethodPut, PathConfig, query, doc, &resp)
	return resp, err
}

// History lists generations, newest first.
func (c *Client) History(ctx context.Context, limit int) (HistoryResponse, error) {
	var resp HistoryResponse
	query := url.Values{QueryLimit: {strconv.Itoa(limit)}}
	err := c.do(ctx, http.MethodGet, PathHistory, query, nil, &resp)
	return resp, err
}

// SetLabels changes the labels of one object.
func (c *Client) SetLabels(ctx context.Context, req LabelRequest) (PublishResponse, error) {
	var resp PublishResponse
	err := c.do(ctx, http.MethodPost, PathLabels, nil, req, &resp)
	return resp, err
}

// Grant creates a key.
func (c *Client) Grant(ctx context.Context, req GrantRequest) (GrantResponse, error) {
	var resp GrantResponse
	err := c.do(ctx, http.MethodPost, PathKeys, nil, req, &resp)
	return resp, err
}

// Withdraw withdraws a key.
func (c *Client) Withdraw(ctx context.Context, req WithdrawRequest) (WithdrawResponse, error) {
	var resp WithdrawResponse
	err := c.do(ctx, http.MethodPost, PathKeyWithdrawal, nil, req, &resp)
	return resp, err
}

// Keys lists keys.
func (c *Client) Keys(ctx context.Context) (KeysResponse, error) {
	var resp KeysResponse
	err := c.do(ctx, http.MethodGet, PathKeys, nil, nil, &resp)
	return resp, err
}

// Explain says where a request of the route would go.
func (c *Client) Explain(ctx context.Context, route string) (ExplainResponse, error) {
	var resp ExplainResponse
	err := c.do(ctx, http.MethodGet, PathExplain, url.Values{QueryRoute: {route}}, nil, &resp)
	return resp, err
}

// Status describes the entry instance.
func (c *Client) Status(ctx context.Context) (StatusResponse, error) {
	var resp StatusResponse
	err := c.do(ctx, http.MethodGet, PathStatus, nil, nil, &resp)
	return resp, err
}

// do makes a call. It returns a *problem.Document or a *TransportError.
func (c *Client) do(ctx context.Context, method, path string, query url.Values, req, resp any) error {
	var body io.Reader
	if req != nil {
		data, err := json.Marshal(req)
		if err != nil {
			return &TransportError{Err: err}
		}
		body = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.base+path+"?"+query.Encode(), body)
	if err != nil {
		return &TransportError{Err: err}
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	r.Header.Set(HeaderAuthor, c.author)
	answer, err := c.http.Do(r)
	if err != nil {
		return &TransportError{Err: err}
	}
	defer answer.Body.Close()
	if answer.StatusCode >= http.StatusMultipleChoices {
		return problemFrom(answer)
	}
	if err := json.NewDecoder(answer.Body).Decode(resp); err != nil {
		return &TransportError{Err: err}
	}
	return nil
}

func problemFrom(answer *http.Response) error {
	document := &problem.Document{}
	if err := json.NewDecoder(answer.Body).Decode(document); err != nil {
		return problem.New(problem.TypeInternal, answer.StatusCode, problem.MayHaveRun, "unexpected response")
	}
	return document
}
