package backend

import "sync"

// maxJournalKeys bounds the idempotency keys that a journal counts. A test or
// benchmark that needs more would exhaust memory first.
const maxJournalKeys = 1 << 20

// Execution counts what happened to one idempotency key over all servers.
type Execution struct {
	Key string `json:"key"`
	// Runs counts how often the work was started.
	Runs int `json:"runs"`
	// Completed counts how often the work was finished.
	Completed int      `json:"completed"`
	Servers   []string `json:"servers"`
}

// Journal counts executions for each idempotency key, so that tests can prove
// that a key ran at most once.
type Journal struct {
	mu      sync.Mutex
	byKey   map[string]*Execution
	dropped int
	leaks   []KeyLeak
	leaked  int
}

// KeyLeak describes a request that carried a customer's key. The key itself is
// not kept.
type KeyLeak struct {
	Server string `json:"server"`
	Path   string `json:"path"`
	Header string `json:"header"`
}

// maxLeaks bounds the leaks that are kept in detail.
const maxLeaks = 100

func newJournal() *Journal { return &Journal{byKey: make(map[string]*Execution)} }

func (j *Journal) started(key, server string) {
	if key == "" {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	e := j.byKey[key]
	if e == nil {
		if len(j.byKey) >= maxJournalKeys {
			j.dropped++
			return
		}
		e = &Execution{Key: key}
		j.byKey[key] = e
	}
	e.Runs++
	e.Servers = append(e.Servers, server)
}

func (j *Journal) completed(key string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if e := j.byKey[key]; e != nil {
		e.Completed++
	}
}

func (j *Journal) leak(l KeyLeak) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.leaked++
	if len(j.leaks) < maxLeaks {
		j.leaks = append(j.leaks, l)
	}
}

// Execution returns the counts of a key. A key that never ran has zero counts.
func (j *Journal) Execution(key string) Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	e := j.byKey[key]
	if e == nil {
		return Execution{Key: key}
	}
	return e.clone()
}

func (e *Execution) clone() Execution {
	c := *e
	c.Servers = append([]string(nil), e.Servers...)
	return c
}

// Runs returns how often the work of a key was started.
func (j *Journal) Runs(key string) int { return j.Execution(key).Runs }

// Summary totals a journal.
type Summary struct {
	Keys int `json:"keys"`
	// Repeated holds the keys that ran more than once, at most 100 of them.
	Repeated []Execution `json:"repeated"`
	// Dropped counts executions that were not recorded because the journal was
	// full. Other counts are then incomplete.
	Dropped  int       `json:"dropped"`
	KeyLeaks int       `json:"key_leaks"`
	Leaks    []KeyLeak `json:"leaks"`
}

// maxRepeated bounds Summary.Repeated.
const maxRepeated = 100

// Summary returns the totals.
func (j *Journal) Summary() Summary {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := Summary{Keys: len(j.byKey), Dropped: j.dropped, KeyLeaks: j.leaked}
	s.Leaks = append(s.Leaks, j.leaks...)
	for _, e := range j.byKey {
		if e.Runs > 1 && len(s.Repeated) < maxRepeated {
			s.Repeated = append(s.Repeated, e.clone())
		}
	}
	return s
}
