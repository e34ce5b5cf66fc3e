// Package responsecheck rejects HTTP responses that net/http accepts although their heads are
// invalid or nothing marks the end of their bodies.
package responsecheck

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// InvalidStatusError reports a status that no final response can have.
type InvalidStatusError struct{ Status int }

func (e *InvalidStatusError) Error() string {
	return fmt.Sprintf("status %03d is not that of a final response", e.Status)
}

// InvalidFieldNameError reports a header field name that is not a token.
type InvalidFieldNameError struct{ Name string }

func (e *InvalidFieldNameError) Error() string {
	return fmt.Sprintf("%q is not a header field name", e.Name)
}

// Check returns an *InvalidStatusError or an *InvalidFieldNameError if resp is not a valid final
// response. net/http accepts any status of three characters that is a number of at least 0,
// while RFC 9110, section 15, calls all outside 100 to 599 invalid.
func Check(resp *http.Response) error {
	if resp.StatusCode < http.StatusOK || resp.StatusCode > 599 {
		return &InvalidStatusError{Status: resp.StatusCode}
	}
	return CheckFieldNames(resp.Header)
}

// CheckFieldNames returns an *InvalidFieldNameError if h holds a name that is not a token. net/http
// accepts names with spaces but does not know them: the body that follows "Content-Length : 4"
// ends with the connection.
func CheckFieldNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return &InvalidFieldNameError{Name: name}
		}
	}
	return nil
}

// UndelimitedResponseError reports a response that ends with its connection, so that a
// complete response cannot be distinguished from a truncated one.
type UndelimitedResponseError struct{}

func (e *UndelimitedResponseError) Error() string {
	return "the response has neither a length nor chunked encoding"
}

// CheckDelimited returns the errors of Check, and an *UndelimitedResponseError if only the end of the
// connection marks the end of the body.
func CheckDelimited(resp *http.Response) error {
	if err := Check(resp); err != nil {
		return err
	}
	if EndsWithConnection(resp) {
		return &UndelimitedResponseError{}
	}
	return nil
}

// EndsWithConnection reports whether only the end of the connection marks the end of the body. It
// does not in a compressed body that net/http has decoded, which marks its own end.
func EndsWithConnection(resp *http.Response) bool {
	return resp.Close && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody && !resp.Uncompressed
}
