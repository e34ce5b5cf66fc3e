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

// headReader reads from a connection. While the head of a response is read, it limits and keeps the
// bytes. The buffer in front of it may hold a part of the body when the head is complete, so that the
// limit is exact only to the size of that buffer.
type headReader struct {
	source  io.Reader
	reading bool   // a head is being read
	raw     []byte // read since the start of the head
	buffers *Buffers
}

// begin starts the head of a response. buffered are its bytes that have already been read.
func (h *headReader) begin(buffered []byte, buffers *Buffers) {
	h.reading, h.buffers = true, buffers
	h.raw = append(h.raw[:0], buffered...)
}

// end ends the head and returns its bytes, which are valid until the next head begins. unread is the
// number of bytes that were read after it.
func (h *headReader) end(unread int) []byte {
	h.reading = false
	head := h.raw[:len(h.raw)-unread]
	if cap(h.raw) > readBufferBytes {
		h.raw = nil // not kept while the connection is idle
	}
	return head
}

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if h.reading && len(h.raw) >= maxResponseHeadBytes {
		return 0, &ResponseHeadTooLargeError{}
	}
	n, err := h.source.Read(p)
	if !h.reading {
		return n, err
	}
	h.raw = append(h.raw, p[:n]...)
	if len(h.raw) > unreservedHeadBytes && !h.buffers.reserve(int64(headMemoryFactor*n)) {
		return 0, &NoBufferError{}
	}
	return n, err
}

// checkFolding returns a *FoldedFieldError if a line of a head is folded.
func checkFolding(head []byte) error {
	if bytes.Contains(head, []byte("\n ")) || bytes.Contains(head, []byte("\n\t")) {
		return &FoldedFieldError{}
	}
	return nil
}
