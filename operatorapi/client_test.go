package operatorapi

import (
	"errors"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/internal/responsecheck/responsetest"
)

// Guards against a change of the configuration that counts as accepted although the response is
// broken.
func TestResponseWithInvalidHeadIsATransportError(t *testing.T) {
	for name, text := range responsetest.WithInvalidHeads("{}") {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(responsetest.Handler(text))
			defer server.Close()
			_, err := NewClient(server.URL, "token", "author").Status(t.Context())
			var failed *TransportError
			must.True(t, errors.As(err, &failed), must.Sprintf("error %v", err))
		})
	}
}
