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
	"github.com/jacinthrack/jacinthrack/internal/responsecheck"
	"github.com/jacinthrack/jacinthrack/problem"
)

// clientTimeout is the timeout of one call. It is long enough for a withdrawal that
// waits until the staleness bound of the key data has passed.
const clientTimeout = 30 * time.Second

// Client calls the operator API of one entry instance.
type Client struct {
	base   string // URL without a trailing slash
	token  string // operator token
	author string // name of the operator, for HeaderAuthor
	http   *http.Client
}

// NewClient returns a client of the entry instance whose operator API is at the URL
// base. Changes are recorded under the name author.
func NewClient(base, token, author string) *Client {
	return &Client{
		base:   strings.TrimSuffix(base, "/"),
		token:  token,
		author: author,
		http:   &http.Client{Timeout: clientTimeout},
	}
}

// TransportError reports that no valid response arrived. If the request was sent, the
// operation may have been executed.
type TransportError struct{ Err error }

func (e *TransportError) Error() string { return fmt.Sprintf("operator API call failed: %v", e.Err) }

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Err }

// LoadConfig returns the configuration of a generation, or the current one for
// generation 0.
func (c *Client) LoadConfig(ctx context.Context, generation uint64) (ConfigResponse, error) {
	var resp ConfigResponse
	query := url.Values{QueryGeneration: {strconv.FormatUint(generation, 10)}}
	err := c.call(ctx, http.MethodGet, PathConfig, query, nil, &resp)
	return resp, err
}

// Publish publishes a document that is based on the generation base. It fails with a
// problem of type problem.TypeConflict if base is no longer the current generation.
func (c *Client) Publish(ctx context.Context, doc *config.Document, base uint64) (PublishResponse, error) {
	var resp PublishResponse
	query := url.Values{QueryBaseGeneration: {strconv.FormatUint(base, 10)}}
	err := c.call(ctx, http.MethodPut, PathConfig, query, doc, &resp)
	return resp, err
}

// History lists at most limit published generations, newest first.
func (c *Client) History(ctx context.Context, limit int) (HistoryResponse, error) {
	var resp HistoryResponse
	query := url.Values{QueryLimit: {strconv.Itoa(limit)}}
	err := c.call(ctx, http.MethodGet, PathHistory, query, nil, &resp)
	return resp, err
}

// SetLabels changes the labels of one configuration object and publishes the result.
func (c *Client) SetLabels(ctx context.Context, req LabelRequest) (PublishResponse, error) {
	var resp PublishResponse
	err := c.call(ctx, http.MethodPost, PathLabels, nil, req, &resp)
	return resp, err
}

// Grant creates a key for a customer.
func (c *Client) Grant(ctx context.Context, req GrantRequest) (GrantResponse, error) {
	var resp GrantResponse
	err := c.call(ctx, http.MethodPost, PathKeys, nil, req, &resp)
	return resp, err
}

// Withdraw withdraws a key permanently.
func (c *Client) Withdraw(ctx context.Context, req WithdrawRequest) (WithdrawResponse, error) {
	var resp WithdrawResponse
	err := c.call(ctx, http.MethodPost, PathKeyWithdrawal, nil, req, &resp)
	return resp, err
}

// Keys lists all keys without their secrets.
func (c *Client) Keys(ctx context.Context) (KeysResponse, error) {
	var resp KeysResponse
	err := c.call(ctx, http.MethodGet, PathKeys, nil, nil, &resp)
	return resp, err
}

// Explain returns which backend server would get a request of the route now, and why.
func (c *Client) Explain(ctx context.Context, route string) (ExplainResponse, error) {
	var resp ExplainResponse
	err := c.call(ctx, http.MethodGet, PathExplain, url.Values{QueryRoute: {route}}, nil, &resp)
	return resp, err
}

// Status returns the status of the entry instance.
func (c *Client) Status(ctx context.Context) (StatusResponse, error) {
	var resp StatusResponse
	err := c.call(ctx, http.MethodGet, PathStatus, nil, nil, &resp)
	return resp, err
}

// call sends a request with the JSON encoding of req, if it is not nil, and decodes the
// response into resp. Its errors are *problem.Document and *TransportError.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, req, resp any) error {
	var body io.Reader
	if req != nil {
		data, err := json.Marshal(req)
		if err != nil {
			return &TransportError{Err: err}
		}
		body = bytes.NewReader(data)
	}
	httpReq, err := http.NewRequestWithContext(ctx, method, c.base+path+"?"+query.Encode(), body)
	if err != nil {
		return &TransportError{Err: err}
	}
	httpReq.Header.Set("Authorization", "Bearer "+c.token)
	httpReq.Header.Set(HeaderAuthor, c.author)
	httpResp, err := c.http.Do(httpReq)
	if err != nil {
		return &TransportError{Err: err}
	}
	defer httpResp.Body.Close()
	if err := responsecheck.Check(httpResp); err != nil {
		return &TransportError{Err: err}
	}
	if httpResp.StatusCode >= http.StatusMultipleChoices {
		return decodeProblem(httpResp)
	}
	if err := json.NewDecoder(httpResp.Body).Decode(resp); err != nil {
		return &TransportError{Err: err}
	}
	return nil
}

// decodeProblem returns the problem document in the body of an error response. If the
// body does not contain one, it returns a document of type problem.TypeInternal.
func decodeProblem(httpResp *http.Response) error {
	document := &problem.Document{}
	if err := json.NewDecoder(httpResp.Body).Decode(document); err != nil {
		return problem.New(problem.TypeInternal, httpResp.StatusCode, problem.MayHaveRun, "unexpected response")
	}
	return document
}
