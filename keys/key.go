// Package keys grants, withdraws and verifies the API keys of customers.
//
// A key is jr_<key id>_<secret>. Only a salted HMAC of the secret is stored. The
// package also decides whether an entry instance's key data is fresh enough to
// accept a key, and whether a withdrawal is in force at all instances.
package keys

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base32"
	"log/slog"
	"strings"
)

// Format of a key. Key IDs begin with idPrefix, so that a scan of the key records does
// not return the other rows under keys/. The lengths are in bytes before encoding.
const (
	keyPrefix   = "jr_"
	idPrefix    = "k"
	idBytes     = 10
	secretBytes = 32
	saltBytes   = 16
)

// keyEncoding is lower-case base32. It contains no underscore, the separator of a key.
var keyEncoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// Key is an API key with its secret. Formatting and logging it show only the ID.
type Key struct {
	ID     string // with idPrefix
	secret string
}

// NewKey returns a key with a random ID and secret.
func NewKey() Key {
	return Key{ID: idPrefix + randomText(idBytes), secret: randomText(secretBytes)}
}

func randomText(bytes int) string {
	raw := make([]byte, bytes)
	_, _ = rand.Read(raw) // never fails, see crypto/rand
	return keyEncoding.EncodeToString(raw)
}

// ParseKey parses a key that a caller presented. It returns *MalformedKeyError.
func ParseKey(presented string) (Key, error) {
	rest, ok := strings.CutPrefix(presented, keyPrefix)
	id, secret, found := strings.Cut(rest, "_")
	if !ok || !found || !ValidKeyID(id) || !isEncoded(secret, secretBytes) {
		return Key{}, &MalformedKeyError{}
	}
	return Key{ID: id, secret: secret}, nil
}

// ValidKeyID reports whether id has the format of a key ID.
func ValidKeyID(id string) bool {
	rest, ok := strings.CutPrefix(id, idPrefix)
	return ok && isEncoded(rest, idBytes)
}

func isEncoded(s string, bytes int) bool {
	raw, err := keyEncoding.DecodeString(s)
	return err == nil && len(raw) == bytes
}

// Reveal returns the key with its secret, as the customer presents it.
func (k Key) Reveal() string { return keyPrefix + k.ID + "_" + k.secret }

// String returns the key ID.
func (k Key) String() string { return k.ID }

// GoString implements fmt.GoStringer, so that %#v does not print the secret.
func (k Key) GoString() string { return k.ID }

// LogValue implements slog.LogValuer, so that logs contain only the key ID.
func (k Key) LogValue() slog.Value { return slog.StringValue(k.ID) }

// AnyRoute in Record.Routes allows the key on all routes.
const AnyRoute = "*"

// Record is the stored record of a key.
type Record struct {
	KeyID    string   `json:"key_id"`
	Customer string   `json:"customer,omitempty"` // empty when an unknown key was withdrawn
	Routes   []string `json:"routes,omitempty"`
	Salt     []byte   `json:"salt,omitempty"`
	HMAC     []byte   `json:"hmac_sha256,omitempty"` // of the secret, keyed with the salt
	// Withdrawn is never reset to false.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// NewRecord returns the record of a new key.
func NewRecord(k Key, customer string, routes []string) Record {
	salt := make([]byte, saltBytes)
	_, _ = rand.Read(salt) // never fails, see crypto/rand
	return Record{KeyID: k.ID, Customer: customer, Routes: routes, Salt: salt, HMAC: secretHMAC(salt, k.secret)}
}

func secretHMAC(salt []byte, secret string) []byte {
	mac := hmac.New(sha256.New, salt)
	mac.Write([]byte(secret))
	return mac.Sum(nil)
}

// secretMatches reports whether the key's secret matches the record. It compares in
// constant time.
func (r Record) secretMatches(k Key) bool {
	return len(r.HMAC) == sha256.Size && hmac.Equal(r.HMAC, secretHMAC(r.Salt, k.secret))
}

// allowsRoute reports whether the record allows the key on the route.
func (r Record) allowsRoute(route string) bool {
	for _, allowed := range r.Routes {
		if allowed == AnyRoute || allowed == route {
			return true
		}
	}
	return false
}

// Withdrawal is the request to make a key invalid.
type Withdrawal struct {
	KeyID    string `json:"key_id"`
	ChangeID string `json:"change_id"` // identifies the change, so that a repeated write is recognized
}

// NewWithdrawal returns a withdrawal with a new change ID. It returns *InvalidIDError.
func NewWithdrawal(keyID string) (Withdrawal, error) {
	if !ValidKeyID(keyID) {
		return Withdrawal{}, &InvalidIDError{}
	}
	return Withdrawal{KeyID: keyID, ChangeID: newChangeID()}, nil
}

func newChangeID() string { return randomText(saltBytes) }
