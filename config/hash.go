package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Hash is the SHA-256 of a section or a manifest.
type Hash [sha256.Size]byte

// HashOf returns the hash of data.
func HashOf(data []byte) Hash { return sha256.Sum256(data) }

// HashFromBytes converts raw to a Hash. It returns a *ValueError when raw is not 32 bytes
// long.
func HashFromBytes(raw []byte) (Hash, error) {
	var h Hash
	if copy(h[:], raw) != len(h) || len(raw) != len(h) {
		return Hash{}, &ValueError{Value: hex.EncodeToString(raw), Allowed: "a SHA-256 of 32 bytes"}
	}
	return h, nil
}

// IsZero reports whether h is the zero value, which means that there is no section.
func (h Hash) IsZero() bool { return h == Hash{} }

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText implements encoding.TextMarshaler. The text form is hexadecimal; that of
// the zero value is empty.
func (h Hash) MarshalText() ([]byte, error) {
	if h.IsZero() {
		return nil, nil
	}
	return []byte(h.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(text []byte) error {
	*h = Hash{}
	if len(text) == 0 {
		return nil
	}
	raw, err := hex.DecodeString(string(text))
	if err != nil {
		return &ValueError{Value: string(text), Allowed: "a SHA-256 in hexadecimal"}
	}
	*h, err = HashFromBytes(raw)
	return err
}

// HashMismatchError reports content that does not have the hash under which it was
// requested.
type HashMismatchError struct {
	Want Hash
	Got  Hash
}

func (e *HashMismatchError) Error() string {
	return fmt.Sprintf("content has hash %s, want %s", e.Got, e.Want)
}

// VerifyHash returns a *HashMismatchError when the hash of data is not want.
func VerifyHash(want Hash, data []byte) error {
	if got := HashOf(data); got != want {
		return &HashMismatchError{Want: want, Got: got}
	}
	return nil
}
