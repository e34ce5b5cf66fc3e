package command

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a command that reports "the change may have been made" although
// it never reached an entry instance.
func TestRefusedConnectionIsAPlainFailure(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	url := "http://" + listener.Addr().String()
	must.NoError(t, listener.Close())
	code := Run(t.Context(), []string{"--server", url, "key", "withdraw", "k"}, io.Discard, io.Discard)
	must.Eq(t, ExitFailure, code)
}

// Guards against a lost reply that is reported as a plain failure.
func TestLostReplyIsUnknown(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	code := Run(t.Context(), []string{"--server", server.URL, "key", "withdraw", "k"}, io.Discard, io.Discard)
	must.Eq(t, ExitOutcomeUnknown, code)
}

// Guards against wrong arguments that look like a failure of the system.
func TestWrongArgumentsAreUsageErrors(t *testing.T) {
	for _, arguments := range [][]string{
		{"nosuch"},
		{"config", "nosuch"},
		{"config", "validate"},
		{"key", "grant"},
		{"status", "--nosuch"},
		{"status", "--output", "xml"},
	} {
		must.Eq(t, ExitUsage, Run(t.Context(), arguments, io.Discard, io.Discard), must.Sprint(arguments))
	}
}
