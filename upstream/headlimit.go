package upstream

import (
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

// headLimiter reads from a connection and limits the bytes that are read for the head of a
// response. The buffer in front of it may hold a part of the body when the head is complete,
// so that the limit is exact only to the size of that buffer.
type headLimiter struct {
	source  io.Reader
	limited bool
	left    int // bytes that may still be read while limited is set
	read    int // bytes read since limited was set
	buffers *Buffers
}

func (l *headLimiter) limit(bytes int, buffers *Buffers) {
	l.limited, l.left, l.read, l.buffers = true, bytes, 0, buffers
}

func (l *headLimiter) unlimit() { l.limited = false }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if l.limited && l.left <= 0 {
		return 0, &ResponseHeadTooLargeError{}
	}
	n, err := l.source.Read(p)
	l.left -= n
	l.read += n
	if l.limited && l.read > unreservedHeadBytes && !l.buffers.reserve(int64(headMemoryFactor*n)) {
		return 0, &NoBufferError{}
	}
	return n, err
}
