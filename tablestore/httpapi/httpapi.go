// Package httpapi defines the paths and messages of the platform's HTTP/JSON API, which
// the client and the server share.
package httpapi

import "github.com/jacinthrack/jacinthrack/tablestore"

// Paths of the API.
const (
	PathRead      = "/v1/table/read"
	PathScan      = "/v1/table/scan"
	PathTransact  = "/v1/table/transact"
	PathObjects   = "/v1/objects"
	PathInstances = "/v1/instances"
)

// QueryName is the query parameter of PathObjects with the name of the object.
const QueryName = "name"

// MaxBodyBytes is the maximum size of the body of a request or response.
const MaxBodyBytes = 64 << 20

// ReadRequest is the body of a request to PathRead. The response is a tablestore.Row.
type ReadRequest struct {
	Key string `json:"key"`
}

// ScanRequest is the body of a request to PathScan. The fields are the arguments of
// tablestore.Table.Scan.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	Limit  int    `json:"limit"`
	After  string `json:"after,omitempty"`
}

// ScanResponse is the response to a ScanRequest, with the rows in key order.
type ScanResponse struct {
	Rows []tablestore.Row `json:"rows"`
}

// TransactRequest is the body of a request to PathTransact. The response is a
// tablestore.TransactResult.
type TransactRequest struct {
	ChangeID string             `json:"change_id"`
	Writes   []tablestore.Write `json:"writes"`
}

// ErrorKind identifies the error type of package tablestore that a response represents.
type ErrorKind string

// Error kinds.
const (
	KindConflict    ErrorKind = "conflict"
	KindNotFound    ErrorKind = "not_found"
	KindLimit       ErrorKind = "limit"
	KindUnavailable ErrorKind = "unavailable" // the call had no effect
	KindUnknown     ErrorKind = "unknown"     // the call may have had an effect
	KindBadRequest  ErrorKind = "bad_request"
)

// ErrorResponse is the body of every error response. Conflicts belongs to KindConflict;
// Limit, Max and Got belong to KindLimit.
type ErrorResponse struct {
	Kind      ErrorKind             `json:"kind"`
	Detail    string                `json:"detail"`
	Conflicts []tablestore.Conflict `json:"conflicts,omitempty"`
	Limit     string                `json:"limit,omitempty"`
	Max       int                   `json:"max,omitempty"`
	Got       int                   `json:"got,omitempty"`
}
