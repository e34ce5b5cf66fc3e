package upstream

import (
	"bytes"
	"fmt"
	"io"
)

// Limits on what a server may send before the response to a request.
const (
	// maxResponseHeadBytes is the largest head of a response, in bytes. net/http itself has no
	// limit when it reads a response from a connection.
	maxResponseHeadBytes = 256 << 10
	// maxInformationalResponses is the number of informational responses (1xx) before the
	// final one.
	maxInformationalResponses = 16
	// maxSkippedResponses is the number of responses to other requests that are skipped.
	maxSkippedResponses = 4
)

// ResponseHeadTooLargeError reports a response head of more than maxResponseHeadBytes.
type ResponseHeadTooLargeError struct{}

func (*ResponseHeadTooLargeError) Error() string {
	return fmt.Sprintf("the response head is larger than %d bytes", maxResponseHeadBytes)
}

// NoBufferError reports a response head for which no buffer is free.
type NoBufferError struct{}

func (*NoBufferError) Error() string { return "no buffer is free for the response head" }

// TooManyInformationalResponsesError reports more than maxInformationalResponses
// informational responses to a request.
type TooManyInformationalResponsesError struct{}

func (*TooManyInformationalResponsesError) Error() string {
	return fmt.Sprintf("the server sent more than %d informational responses", maxInformationalResponses)
}

// FoldedFieldError reports a header line that starts with white space and thereby continues the
// value of the line before. Folding is obsolete, and a response that uses it may be rejected
// (RFC 9112, section 5.2). In a response that is broken, such a line may be a field of its own.
type FoldedFieldError struct{}

func (*FoldedFieldError) Error() string { return "a line of the response head starts with white space" }

// headReader reads from a connection. While the head of a response is read, it limits the bytes and
// looks for folded lines. The buffer in front of it may hold a part of the body when the head is
// complete, so that the limit is exact only to the size of that buffer.
type headReader struct {
	source  io.Reader
	reading bool // a head is being read
	read    int  // bytes read for it
	buffers *Buffers
	lines   lineScanner
}

// begin starts the head of a response. buffered are the bytes that have already been read.
func (h *headReader) begin(buffered []byte, buffers *Buffers) {
	h.reading, h.read, h.buffers = true, 0, buffers
	h.lines = lineScanner{}
	h.lines.scan(buffered)
}

// end ends the head and returns a *FoldedFieldError if a line of it was folded.
func (h *headReader) end() error {
	h.reading = false
	if h.lines.folded {
		return &FoldedFieldError{}
	}
	return nil
}

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if h.reading && h.read >= maxResponseHeadBytes {
		return 0, &ResponseHeadTooLargeError{}
	}
	n, err := h.source.Read(p)
	if !h.reading {
		return n, err
	}
	h.lines.scan(p[:n])
	h.read += n
	if h.read > unreservedHeadBytes && !h.buffers.reserve(int64(headMemoryFactor*n)) {
		return 0, &NoBufferError{}
	}
	return n, err
}

// lineScanner looks for folded lines in a head that it gets in pieces, and stops at its end.
type lineScanner struct {
	lineStart bool // the next byte is the first one of a line, or follows a CR that is
	ended     bool
	folded    bool
}

// scan takes the next bytes of the response.
func (s *lineScanner) scan(p []byte) {
	for !s.ended && len(p) > 0 {
		if s.lineStart {
			if p[0] == '\r' {
				p = p[1:]
				continue
			}
			s.lineStart = false
			s.folded = s.folded || p[0] == ' ' || p[0] == '\t'
			if p[0] == '\n' {
				s.ended = true
				return
			}
		}
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			return
		}
		s.lineStart = true
		p = p[end+1:]
	}
}
