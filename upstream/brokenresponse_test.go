package upstream

import (
	"errors"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a response whose status is no HTTP status and that is passed on.
func TestResponseWithInvalidStatusIsRejected(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			s := newScriptedServer(t, "HTTP/1.1 "+status+" Broken\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\nbody")
			r, sent, err := send(t.Context(), New("X-Id", nil, DefaultBufferBytes), s.address, http.MethodGet, "1")
			must.True(t, sent)
			var malformed *MalformedResponseError
			must.True(t, errors.As(err, &malformed), must.Sprintf("response %+v, error %v", r, err))
		})
	}
}
