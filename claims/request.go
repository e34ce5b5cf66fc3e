package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
	"net/url"
)

// Fingerprint identifies the content of a request: the SHA-256 of its method,
// path and body.
type Fingerprint [sha256.Size]byte

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, f[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It returns *FormatError if
// text is not a fingerprint in hexadecimal.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(f)) {
		return &FormatError{What: "fingerprint"}
	}
	if _, err := hex.Decode(f[:], text); err != nil {
		return &FormatError{What: "fingerprint", Err: err}
	}
	return nil
}

// FingerprintOf returns the fingerprint of a request whose body is in memory.
func FingerprintOf(method, path string, body []byte) Fingerprint {
	f := NewFingerprinter(method, path)
	_, _ = f.Write(body)
	return f.Sum()
}

// Fingerprinter computes the fingerprint of a request incrementally while its
// body is read.
type Fingerprinter struct{ hash hash.Hash }

var _ io.Writer = (*Fingerprinter)(nil)

// NewFingerprinter returns a Fingerprinter for a request whose body is still to be
// written.
func NewFingerprinter(method, path string) *Fingerprinter {
	f := &Fingerprinter{hash: sha256.New()}
	f.writeLengthPrefixed(method)
	f.writeLengthPrefixed(path)
	return f
}

// writeLengthPrefixed adds a string with its length to the hash, so that no two
// pairs of method and path yield the same input.
func (f *Fingerprinter) writeLengthPrefixed(s string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(s)))
	f.hash.Write(length[:])
	f.hash.Write([]byte(s))
}

// Write adds bytes of the body. It never returns an error.
func (f *Fingerprinter) Write(p []byte) (int, error) { return f.hash.Write(p) }

// Sum returns the fingerprint of the method, the path and the body bytes written
// so far.
func (f *Fingerprinter) Sum() Fingerprint {
	var sum Fingerprint
	f.hash.Sum(sum[:0])
	return sum
}

// Request identifies a non-idempotent request and its content.
type Request struct {
	Customer       string
	Route          string
	IdempotencyKey string
	Fingerprint    Fingerprint
}

// Validate returns *InvalidRequestError if the customer, the route or the
// idempotency key is missing.
func (r Request) Validate() error {
	switch {
	case r.Customer == "":
		return &InvalidRequestError{Field: "customer"}
	case r.Route == "":
		return &InvalidRequestError{Field: "route"}
	case r.IdempotencyKey == "":
		return &InvalidRequestError{Field: "idempotency key"}
	}
	return nil
}

// RowKey returns the key of the claim row. The idempotency key is hashed because
// callers choose its length and characters freely.
func (r Request) RowKey() string {
	sum := sha256.Sum256([]byte(r.IdempotencyKey))
	return rowKeyPrefix + url.PathEscape(r.Customer) + "/" + url.PathEscape(r.Route) + "/" + hex.EncodeToString(sum[:])
}
