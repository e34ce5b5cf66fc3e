package keys

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
)

// State is the key data of an instance. Records are those of the platform at
// Generation and do not contain the pending withdrawals.
type State struct {
	Generation uint64
	Records    []Record
	PendingWithdrawals    []Withdrawal // not contained in Records
}

// KeySet holds the key data that requests are checked against. Checks read an
// immutable view without locking. A withdrawn key never becomes valid again, and
// the generation never decreases.
type KeySet struct {
	mu   sync.Mutex // held while a new view is made
	view atomic.Pointer[view]
}

// view is immutable.
type view struct {
	generation uint64
	records    map[string]Record
	pending    map[string]Withdrawal
}

// NewKeySet returns a set without keys.
func NewKeySet() *KeySet {
	s := &KeySet{}
	s.view.Store(&view{})
	return s
}

// Verify returns the customer of a presented key that may be used on the route.
// It returns *MalformedKeyError, *UnknownKeyError, *WrongSecretError,
// *WithdrawnError or *RouteNotAllowedError. It does not check freshness.
func (s *KeySet) Verify(presented string, route string) (customer string, err error) {
	k, err := ParseKey(presented)
	if err != nil {
		return "", err
	}
	v := s.view.Load()
	record, ok := v.records[k.ID]
	switch {
	case !ok && v.withdrawn(k.ID):
		return "", &WithdrawnError{KeyID: k.ID}
	case !ok:
		return "", &UnknownKeyError{KeyID: k.ID}
	case len(record.HMAC) > 0 && !record.matches(k):
		return "", &WrongSecretError{KeyID: k.ID}
	case v.withdrawn(k.ID):
		return "", &WithdrawnError{KeyID: k.ID}
	case !record.allows(route):
		return "", &RouteNotAllowedError{KeyID: k.ID, Route: route}
	default:
		return record.Customer, nil
	}
}

// withdrawn reports whether the key is withdrawn, confirmed or pending.
func (v *view) withdrawn(id string) bool {
	_, pending := v.pending[id]
	return pending || v.records[id].Withdrawn
}

// Withdrawn reports whether the instance knows that the key is withdrawn.
func (s *KeySet) Withdrawn(keyID string) bool { return s.view.Load().withdrawn(keyID) }

// Generation returns the key generation of the records.
func (s *KeySet) Generation() uint64 { return s.view.Load().generation }

// PendingWithdrawals returns the withdrawals that the platform has not
// confirmed, sorted by key identifier.
func (s *KeySet) PendingWithdrawals() []Withdrawal { return s.view.Load().pendingList() }

func (v *view) pendingList() []Withdrawal {
	return slices.SortedFunc(maps.Values(v.pending), func(a, b Withdrawal) int {
		return cmp.Compare(a.KeyID, b.KeyID)
	})
}

// Export returns the key data for a replacement, sorted by key identifier.
func (s *KeySet) Export() State {
	v := s.view.Load()
	records := slices.SortedFunc(maps.Values(v.records), func(a, b Record) int {
		return cmp.Compare(a.KeyID, b.KeyID)
	})
	return State{Generation: v.generation, Records: records, PendingWithdrawals: v.pendingList()}
}

// change stores a modified copy of the view.
func (s *KeySet) change(modify func(*view)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.view.Load()
	next := &view{generation: old.generation, records: maps.Clone(old.records), pending: maps.Clone(old.pending)}
	if next.records == nil {
		next.records = make(map[string]Record)
	}
	if next.pending == nil {
		next.pending = make(map[string]Withdrawal)
	}
	modify(next)
	maps.DeleteFunc(next.pending, func(id string, _ Withdrawal) bool { return next.records[id].Withdrawn })
	s.view.Store(next)
}

// ApplyWithdrawals makes keys invalid at once and keeps the withdrawals as
// pending until records of the platform contain them. It ignores malformed
// identifiers.
func (s *KeySet) ApplyWithdrawals(list []Withdrawal) {
	if !s.view.Load().lacks(list) {
		return
	}
	s.change(func(v *view) { v.withdraw(list) })
}

// lacks reports whether list has a withdrawal that is not known.
func (v *view) lacks(list []Withdrawal) bool {
	return slices.ContainsFunc(list, func(w Withdrawal) bool { return ValidKeyID(w.KeyID) && !v.withdrawn(w.KeyID) })
}

func (v *view) withdraw(list []Withdrawal) {
	for _, w := range list {
		if ValidKeyID(w.KeyID) && !v.withdrawn(w.KeyID) {
			v.pending[w.KeyID] = w
		}
	}
}

// ApplyChanges applies the changes after the current generation, in order. Changes
// that are already contained are skipped. It returns false at a gap, which the
// caller closes by loading all records.
func (s *KeySet) ApplyChanges(changes []KeyChange) bool {
	complete := true
	s.change(func(v *view) {
		for _, c := range changes {
			if c.Generation <= v.generation {
				continue
			}
			if c.Generation != v.generation+1 {
				complete = false
				return
			}
			v.merge(c.Record)
			v.generation = c.Generation
		}
	})
	return complete
}

// Import merges the key data of a peer or of a full load from the platform. Data
// of an older generation only adds withdrawals. A key that either side knows as
// withdrawn stays withdrawn.
func (s *KeySet) Import(state State) {
	s.change(func(v *view) {
		newer := state.Generation > v.generation
		for _, r := range state.Records {
			if newer {
				v.merge(r)
			} else if r.Withdrawn {
				// Kept as pending, because the records at the own generation do
				// not contain it.
				v.withdraw([]Withdrawal{{KeyID: r.KeyID, ChangeID: newChangeID()}})
			}
		}
		if newer {
			v.generation = state.Generation
		}
		v.withdraw(state.PendingWithdrawals)
	})
}

// merge takes over a record of a later generation.
func (v *view) merge(r Record) {
	old, known := v.records[r.KeyID]
	v.records[r.KeyID] = r
	if known && old.Withdrawn && !r.Withdrawn {
		// A later generation cannot contain this. The key stays invalid, and the
		// withdrawal is written to the platform again.
		v.pending[r.KeyID] = Withdrawal{KeyID: r.KeyID, ChangeID: newChangeID()}
	}
}
