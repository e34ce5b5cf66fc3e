// Package responsecheck rejects HTTP responses that net/http accepts although their heads are
// invalid.
package responsecheck

import (
	"fmt"
	"net/http"
)

// InvalidStatusError reports a status that no final response can have.
type InvalidStatusError struct{ Status int }

func (e *InvalidStatusError) Error() string {
	return fmt.Sprintf("status %03d is not that of a final response", e.Status)
}

// Check returns an *InvalidStatusError if resp is not a valid final response. net/http accepts
// any status of three characters that is a number of at least 0, while RFC 9110, section 15,
// calls all outside 100 to 599 invalid.
func Check(resp *http.Response) error {
	if resp.StatusCode < http.StatusOK || resp.StatusCode > 599 {
		return &InvalidStatusError{Status: resp.StatusCode}
	}
	return nil
}

// EndsWithConnection reports whether only the end of the connection marks the end of the body.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}
