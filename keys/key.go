// Package keys grants, withdraws and verifies the keys of customers.
//
// A key is jr_<key id>_<secret>. Only an HMAC of the secret is stored. The
// package also decides whether an entry instance's key data is fresh enough to
// accept a key, and whether a withdrawal is in force everywhere.
package keys

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base32"
	"log/slog"
	"strings"
)

// Format of a key. Identifiers begin with idPrefix, so that a scan of the records
// does not return the other rows under keys/.
const (
	keyPrefix   = "jr_"
	idPrefix    = "k"
	idBytes     = 10
	secretBytes = 32
	saltBytes   = 16
)

// text is lower-case base32, which contains no underscore.
var text = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// Key is a key with its secret. It prints as its identifier only.
type Key struct {
	ID     string
	secret string
}

// NewKey returns a random key.
func NewKey() Key {
	return Key{ID: idPrefix + random(idBytes), secret: random(secretBytes)}
}

func random(bytes int) string {
	raw := make([]byte, bytes)
	_, _ = rand.Read(raw) // never fails, see crypto/rand
	return text.EncodeToString(raw)
}

// ParseKey returns the key that a caller presented, or *MalformedKeyError.
func ParseKey(presented string) (Key, error) {
	rest, ok := strings.CutPrefix(presented, keyPrefix)
	id, secret, found := strings.Cut(rest, "_")
	if !ok || !found || !ValidKeyID(id) || !isText(secret, secretBytes) {
		return Key{}, &MalformedKeyError{}
	}
	return Key{ID: id, secret: secret}, nil
}

// ValidKeyID reports whether id has the form of a key identifier.
func ValidKeyID(id string) bool {
	rest, ok := strings.CutPrefix(id, idPrefix)
	return ok && isText(rest, idBytes)
}

func isText(s string, bytes int) bool {
	raw, err := text.DecodeString(s)
	return err == nil && len(raw) == bytes
}

// Reveal returns the key with its secret, as the customer presents it.
func (k Key) Reveal() string { return keyPrefix + k.ID + "_" + k.secret }

// String returns the identifier.
func (k Key) String() string { return k.ID }

// GoString implements fmt.GoStringer, so that %#v does not print the secret.
func (k Key) GoString() string { return k.ID }

// LogValue implements slog.LogValuer.
func (k Key) LogValue() slog.Value { return slog.StringValue(k.ID) }

// AnyRoute in Record.Routes allows all routes.
const AnyRoute = "*"

// Record is what is stored of a key.
type Record struct {
	KeyID    string   `json:"key_id"`
	Customer string   `json:"customer,omitempty"` // empty when an unknown key was withdrawn
	Routes   []string `json:"routes,omitempty"`
	Salt     []byte   `json:"salt,omitempty"`
	HMAC     []byte   `json:"hmac_sha256,omitempty"` // of the secret, keyed with the salt
	// Withdrawn never returns to false.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// NewRecord returns the record of a new key.
func NewRecord(k Key, customer string, routes []string) Record {
	salt := make([]byte, saltBytes)
	_, _ = rand.Read(salt) // never fails, see crypto/rand
	return Record{KeyID: k.ID, Customer: customer, Routes: routes, Salt: salt, HMAC: digest(salt, k.secret)}
}

func digest(salt []byte, secret string) []byte {
	mac := hmac.New(sha256.New, salt)
	mac.Write([]byte(secret))
	return mac.Sum(nil)
}

// matches compares the secret in constant time.
func (r Record) matches(k Key) bool {
	return len(r.HMAC) == sha256.Size && hmac.Equal(r.HMAC, digest(r.Salt, k.secret))
}

// allows reports whether the key may be used on the route.
func (r Record) allows(route string) bool {
	for _, allowed := range r.Routes {
		if allowed == AnyRoute || allowed == route {
			return true
		}
	}
	return false
}

// Withdrawal is a withdrawn key. ChangeID names the operator's request.
type Withdrawal struct {
	KeyID    string `json:"key_id"`
	ChangeID string `json:"change_id"`
}

// NewWithdrawal returns a withdrawal with a new change id, or *InvalidIDError.
func NewWithdrawal(keyID string) (Withdrawal, error) {
	if !ValidKeyID(keyID) {
		return Withdrawal{}, &InvalidIDError{}
	}
	return Withdrawal{KeyID: keyID, ChangeID: newChangeID()}, nil
}

func newChangeID() string { return random(saltBytes) }
