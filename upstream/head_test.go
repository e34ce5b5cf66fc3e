package upstream

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a folded line that is missed, or seen in the body, because of where the reads of a
// head end.
func TestFoldedLineIsFoundInAnyPieces(t *testing.T) {
	for text, folded := range map[string]bool{
		"HTTP/1.1 200 OK\r\nX-A: 1\r\n X-B: 2\r\n\r\n":    true,
		"HTTP/1.1 200 OK\nX-A: 1\n\tX-B: 2\n\n":           true,
		"HTTP/1.1 200 OK\r\nX-A: 1\r\n\r\n\n body\r\n\tx": false,
		"HTTP/1.1 200 OK\nX-A: 1\n\n body\n\tx":           false,
		"HTTP/1.1 200 OK\r\n\r\n body":                    false,
	} {
		for first := range len(text) {
			for second := first; second < len(text); second++ {
				var s lineScanner
				s.scan([]byte(text[:first]))
				s.scan([]byte(text[first:second]))
				s.scan([]byte(text[second:]))
				must.Eq(t, folded, s.folded, must.Sprintf("%q, %q, %q", text[:first], text[first:second], text[second:]))
			}
		}
	}
}
