package command

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
)

// A command that cannot connect to an entry instance exits with the plain failure code
// and not with that of an unknown outcome.
func TestRefusedConnectionExitsWithFailure(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	url := "http://" + listener.Addr().String()
	must.NoError(t, listener.Close())
	code := Run(t.Context(), []string{"--server", url, "key", "withdraw", "k"}, io.Discard, io.Discard)
	must.Eq(t, ExitFailure, code)
}

// A connection that is closed before the response leaves the outcome unknown.
func TestLostReplyExitsWithUnknown(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	code := Run(t.Context(), []string{"--server", server.URL, "key", "withdraw", "k"}, io.Discard, io.Discard)
	must.Eq(t, ExitOutcomeUnknown, code)
}

// Unknown commands, missing arguments and invalid flags exit with the usage code.
func TestWrongArgumentsExitWithUsage(t *testing.T) {
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
