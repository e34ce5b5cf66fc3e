package keys

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a key whose secret is printed when it is formatted or logged.
func TestSecretIsNotPrinted(t *testing.T) {
	k := NewKey()
	var out bytes.Buffer
	slog.New(slog.NewJSONHandler(&out, nil)).Info("granted", "key", k)
	fmt.Fprintf(&out, "%v %+v %#v %s %v", k, k, k, k, []any{k})
	must.StrNotContains(t, out.String(), k.secret)
	must.StrContains(t, out.String(), k.ID)
	parsed, err := ParseKey(k.Reveal())
	must.NoError(t, err)
	must.True(t, parsed == k)
	must.True(t, NewKey() != k)
}

// Guards against keys that are accepted with a wrong secret or on a route that is not
// allowed, and against error messages that contain the secret.
func TestVerify(t *testing.T) {
	valid, withdrawn, pending, unknown := NewKey(), NewKey(), NewKey(), NewKey()
	s := NewKeySet()
	withdrawnRecord := NewRecord(withdrawn, "c1", []string{AnyRoute})
	withdrawnRecord.Withdrawn = true
	s.Import(State{Generation: 3, Records: []Record{
		NewRecord(valid, "c1", []string{"check", "order"}), withdrawnRecord, NewRecord(pending, "c2", []string{AnyRoute}),
	}})
	s.ApplyWithdrawals([]Withdrawal{{KeyID: pending.ID}, {KeyID: "not an identifier"}})
	must.Eq(t, []Withdrawal{{KeyID: pending.ID}}, s.PendingWithdrawals())

	customer, err := s.Verify(valid.Reveal(), "order")
	must.NoError(t, err)
	must.Eq(t, "c1", customer)

	mixed := Key{ID: valid.ID, secret: unknown.secret}
	cases := []struct {
		name, presented, route string
		want                   any // error type
	}{
		{"secret of another key", mixed.Reveal(), "check", new(*WrongSecretError)},
		{"route not allowed", valid.Reveal(), "photos", new(*RouteNotAllowedError)},
		{"withdrawn", withdrawn.Reveal(), "check", new(*WithdrawnError)},
		{"pending withdrawal", pending.Reveal(), "check", new(*WithdrawnError)},
		{"unknown", unknown.Reveal(), "check", new(*UnknownKeyError)},
		{"empty", "", "check", new(*MalformedKeyError)},
		{"no prefix", strings.TrimPrefix(valid.Reveal(), "jr_"), "check", new(*MalformedKeyError)},
		{"no secret", "jr_" + valid.ID + "_", "check", new(*MalformedKeyError)},
		{"secret too short", valid.Reveal()[:60], "check", new(*MalformedKeyError)},
		{"secret too long", valid.Reveal() + "a", "check", new(*MalformedKeyError)},
		{"upper case", strings.ToUpper(valid.Reveal()), "check", new(*MalformedKeyError)},
		{"secret and key ID swapped", "jr_" + valid.secret + "_" + valid.ID, "check", new(*MalformedKeyError)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			customer, err := s.Verify(c.presented, c.route)
			must.True(t, errors.As(err, c.want), must.Sprintf("got %v", err))
			must.Eq(t, "", customer)
			must.StrNotContains(t, err.Error(), valid.secret)
			must.StrNotContains(t, err.Error(), unknown.secret)
		})
	}
}

// Guards against a withdrawn key that becomes valid again through the data of a stale
// peer or a lagging platform, in any order of arrival.
func TestWithdrawnKeyStaysWithdrawn(t *testing.T) {
	k := NewKey()
	granted := NewRecord(k, "c1", []string{AnyRoute})
	withdrawnRecord := granted
	withdrawnRecord.Withdrawn = true
	steps := map[string]func(*KeySet){
		"records":              func(s *KeySet) { s.Import(State{Generation: 2, Records: []Record{withdrawnRecord}}) },
		"older records":        func(s *KeySet) { s.Import(State{Generation: 1, Records: []Record{granted}}) },
		"wrong newer records":  func(s *KeySet) { s.Import(State{Generation: 9, Records: []Record{granted}}) },
		"older with withdrawn": func(s *KeySet) { s.Import(State{Generation: 1, Records: []Record{withdrawnRecord}}) },
		"pending at a peer":    func(s *KeySet) { s.Import(State{Generation: 1, PendingWithdrawals: []Withdrawal{{KeyID: k.ID}}}) },
		"announcement":         func(s *KeySet) { s.ApplyWithdrawals([]Withdrawal{{KeyID: k.ID}}) },
		"log":                  func(s *KeySet) { s.ApplyChanges([]KeyChange{{Generation: s.Generation() + 1, Record: granted}}) },
	}
	withdraws := []string{"records", "older with withdrawn", "pending at a peer", "announcement"}
	for _, first := range withdraws {
		for second := range steps {
			for third := range steps {
				s := NewKeySet()
				s.ApplyChanges([]KeyChange{{Generation: 1, Record: granted}})
				for _, step := range []string{first, second, third} {
					before := s.Generation()
					steps[step](s)
					must.GreaterEq(t, before, s.Generation())
					_, err := s.Verify(k.Reveal(), "check")
					var withdrawn *WithdrawnError
					must.True(t, errors.As(err, &withdrawn), must.Sprint(first, second, third))
				}
			}
		}
	}
}

// Guards against key data that takes the generation of a change although an earlier
// change is missing.
func TestAdvanceStopsAtGap(t *testing.T) {
	s := NewKeySet()
	record := NewRecord(NewKey(), "c", []string{AnyRoute})
	must.True(t, s.ApplyChanges([]KeyChange{{Generation: 1, Record: record}, {Generation: 2, Record: record}}))
	must.True(t, s.ApplyChanges([]KeyChange{{Generation: 2, Record: record}}))
	must.False(t, s.ApplyChanges([]KeyChange{{Generation: 3, Record: record}, {Generation: 5, Record: record}}))
	must.Eq(t, 3, s.Generation())
}
