package bench

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/internal/responsecheck/responsetest"
)

// Guards against a call of the control API that counts as successful although the response is
// broken.
func TestControlCallWithInvalidHeadFails(t *testing.T) {
	for name, text := range responsetest.WithInvalidHeads("{}") {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(responsetest.Handler(text))
			defer server.Close()
			r := &runner{transport: &http.Transport{}, plan: Plan{ControlAddress: strings.TrimPrefix(server.URL, "http://")}}
			must.Error(t, r.callControlAPI(t.Context(), http.MethodPost, "/drain", nil, nil))
		})
	}
}
