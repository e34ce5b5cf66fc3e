package keys

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
)

// State is the key data of an instance. Records are the platform's records at
// Generation.
type State struct {
	Generation         uint64 // key generation; 0 when no records have been read
	Records            []Record
	PendingWithdrawals []Withdrawal // not yet contained in Records
}

// KeySet contains the key data that requests are checked against. Checks read an
// immutable snapshot without locking. A withdrawn key never becomes valid again, and
// the generation never decreases. It is safe for concurrent use.
type KeySet struct {
	mu       sync.Mutex // serializes updateSnapshot
	snapshot atomic.Pointer[snapshot]
}

// snapshot is one version of the key data. It must not be modified after it has been
// stored in a KeySet. Both maps are indexed by key ID.
type snapshot struct {
	generation         uint64
	records            map[string]Record
	pendingWithdrawals map[string]Withdrawal // not yet contained in records
}

// NewKeySet returns a set that contains no keys.
func NewKeySet() *KeySet {
	s := &KeySet{}
	s.snapshot.Store(&snapshot{})
	return s
}

// Verify returns the customer of a presented key if the key is valid for the route.
// Otherwise it returns *MalformedKeyError, *UnknownKeyError, *WrongSecretError,
// *WithdrawnError or *RouteNotAllowedError. It does not check freshness.
func (s *KeySet) Verify(presented string, route string) (customer string, err error) {
	k, err := ParseKey(presented)
	if err != nil {
		return "", err
	}
	v := s.snapshot.Load()
	record, ok := v.records[k.ID]
	switch {
	case !ok && v.isWithdrawn(k.ID):
		return "", &WithdrawnError{KeyID: k.ID}
	case !ok:
		return "", &UnknownKeyError{KeyID: k.ID}
	case len(record.HMAC) > 0 && !record.secretMatches(k):
		return "", &WrongSecretError{KeyID: k.ID}
	case v.isWithdrawn(k.ID):
		return "", &WithdrawnError{KeyID: k.ID}
	case !record.allowsRoute(route):
		return "", &RouteNotAllowedError{KeyID: k.ID, Route: route}
	default:
		return record.Customer, nil
	}
}

// isWithdrawn reports whether the key is withdrawn, by its record or by a pending
// withdrawal.
func (v *snapshot) isWithdrawn(id string) bool {
	_, pending := v.pendingWithdrawals[id]
	return pending || v.records[id].Withdrawn
}

// Withdrawn reports whether the key is withdrawn according to this key data.
func (s *KeySet) Withdrawn(keyID string) bool { return s.snapshot.Load().isWithdrawn(keyID) }

// Generation returns the key generation of the records.
func (s *KeySet) Generation() uint64 { return s.snapshot.Load().generation }

// PendingWithdrawals returns the withdrawals that have not yet been seen in the
// platform's records, sorted by key ID.
func (s *KeySet) PendingWithdrawals() []Withdrawal { return s.snapshot.Load().sortedPending() }

func (v *snapshot) sortedPending() []Withdrawal {
	return slices.SortedFunc(maps.Values(v.pendingWithdrawals), func(a, b Withdrawal) int {
		return cmp.Compare(a.KeyID, b.KeyID)
	})
}

// Export returns a copy of the key data, sorted by key ID, for a peer that needs newer
// records or has just started.
func (s *KeySet) Export() State {
	v := s.snapshot.Load()
	records := slices.SortedFunc(maps.Values(v.records), func(a, b Record) int {
		return cmp.Compare(a.KeyID, b.KeyID)
	})
	return State{Generation: v.generation, Records: records, PendingWithdrawals: v.sortedPending()}
}

// updateSnapshot replaces the snapshot with a modified copy, without the pending
// withdrawals that its records contain.
func (s *KeySet) updateSnapshot(modify func(*snapshot)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.snapshot.Load()
	next := &snapshot{generation: old.generation, records: maps.Clone(old.records), pendingWithdrawals: maps.Clone(old.pendingWithdrawals)}
	if next.records == nil {
		next.records = make(map[string]Record)
	}
	if next.pendingWithdrawals == nil {
		next.pendingWithdrawals = make(map[string]Withdrawal)
	}
	modify(next)
	maps.DeleteFunc(next.pendingWithdrawals, func(id string, _ Withdrawal) bool { return next.records[id].Withdrawn })
	s.snapshot.Store(next)
}

// ApplyWithdrawals makes keys invalid immediately. The withdrawals stay pending until
// the platform's records contain them. Malformed key IDs are ignored.
func (s *KeySet) ApplyWithdrawals(list []Withdrawal) {
	if !s.snapshot.Load().containsNew(list) {
		return
	}
	s.updateSnapshot(func(v *snapshot) { v.addPending(list) })
}

// containsNew reports whether list contains the withdrawal of a key that is not
// withdrawn yet.
func (v *snapshot) containsNew(list []Withdrawal) bool {
	return slices.ContainsFunc(list, func(w Withdrawal) bool { return ValidKeyID(w.KeyID) && !v.isWithdrawn(w.KeyID) })
}

func (v *snapshot) addPending(list []Withdrawal) {
	for _, w := range list {
		if ValidKeyID(w.KeyID) && !v.isWithdrawn(w.KeyID) {
			v.pendingWithdrawals[w.KeyID] = w
		}
	}
}

// ApplyChanges applies the changes that follow the current generation. changes must be
// ordered by generation; those already contained are skipped. ApplyChanges stops and
// returns false at a missing generation, and the caller must load all records.
func (s *KeySet) ApplyChanges(changes []KeyChange) bool {
	complete := true
	s.updateSnapshot(func(v *snapshot) {
		for _, c := range changes {
			if c.Generation <= v.generation {
				continue
			}
			if c.Generation != v.generation+1 {
				complete = false
				return
			}
			v.mergeRecord(c.Record)
			v.generation = c.Generation
		}
	})
	return complete
}

// Import merges the key data of a peer or of a full load from the platform. From a
// state that is not newer than the current generation it takes only withdrawals. A
// key that is withdrawn on either side is withdrawn afterwards.
func (s *KeySet) Import(state State) {
	s.updateSnapshot(func(v *snapshot) {
		newer := state.Generation > v.generation
		for _, r := range state.Records {
			if newer {
				v.mergeRecord(r)
			} else if r.Withdrawn {
				// Pending, because the platform's records at the current
				// generation may not contain it.
				v.addPending([]Withdrawal{{KeyID: r.KeyID, ChangeID: newChangeID()}})
			}
		}
		if newer {
			v.generation = state.Generation
		}
		v.addPending(state.PendingWithdrawals)
	})
}

// mergeRecord replaces a record with that of a later generation.
func (v *snapshot) mergeRecord(r Record) {
	old, known := v.records[r.KeyID]
	v.records[r.KeyID] = r
	if known && old.Withdrawn && !r.Withdrawn {
		// Withdrawn keys never become valid again, so the later record is wrong.
		// The pending withdrawal keeps the key invalid and is written to the
		// platform again.
		v.pendingWithdrawals[r.KeyID] = Withdrawal{KeyID: r.KeyID, ChangeID: newChangeID()}
	}
}
