package command

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/operatorapi"
)

// The table omits the server name that starts the reason, since the row names the server
// already.
func TestExplainTableNamesServerOnce(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(operatorapi.ExplainResponse{
			Rejected: []operatorapi.RejectedServer{{Server: "stock-01", Reason: "stock-01: labels do not match"}},
		})
	}))
	defer server.Close()
	var out bytes.Buffer
	must.Eq(t, ExitOK, Run(t.Context(), []string{"--server", server.URL, "route", "explain", "r"}, &out, io.Discard))
	must.Eq(t, "SERVER    CHOSEN  REASON\nstock-01  no      labels do not match\n", out.String())
}
