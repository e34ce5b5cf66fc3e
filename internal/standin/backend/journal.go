package backend

import "sync"

// maxJournalKeys bounds the number of idempotency keys in a journal. A test or benchmark
// with more keys would run out of memory anyway.
const maxJournalKeys = 1 << 20

// Execution counts the runs of the requests with one idempotency key, over all servers.
type Execution struct {
	Key string `json:"key"`
	// Runs is the number of times that a request with the key started to run.
	Runs int `json:"runs"`
	// Completed is the number of runs that finished.
	Completed int `json:"completed"`
	// Servers names the server of each run, in the order of their starts.
	Servers []string `json:"servers"`
}

// Journal counts the runs for each idempotency key, so that tests can verify that a
// request ran at most once.
type Journal struct {
	mu             sync.Mutex
	byKey          map[string]*Execution
	unrecordedRuns int
	recordedLeaks  []KeyLeak
	leakCount      int
}

// KeyLeak describes a request header that contained a customer's key. The key itself is
// not recorded.
type KeyLeak struct {
	Server string `json:"server"`
	Path   string `json:"path"`
	Header string `json:"header"`
}

// maxRecordedLeaks bounds the leaks that are recorded in detail; the rest is only counted.
const maxRecordedLeaks = 100

func newJournal() *Journal { return &Journal{byKey: make(map[string]*Execution)} }

func (j *Journal) recordStart(key, server string) {
	if key == "" {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	e := j.byKey[key]
	if e == nil {
		if len(j.byKey) >= maxJournalKeys {
			j.unrecordedRuns++
			return
		}
		e = &Execution{Key: key}
		j.byKey[key] = e
	}
	e.Runs++
	e.Servers = append(e.Servers, server)
}

func (j *Journal) recordCompletion(key string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if e := j.byKey[key]; e != nil {
		e.Completed++
	}
}

func (j *Journal) recordLeak(l KeyLeak) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.leakCount++
	if len(j.recordedLeaks) < maxRecordedLeaks {
		j.recordedLeaks = append(j.recordedLeaks, l)
	}
}

// Execution returns the counts of a key. They are zero for a key that never ran.
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

// Runs returns the number of times that a request with the key started to run.
func (j *Journal) Runs(key string) int { return j.Execution(key).Runs }

// Summary holds the totals of a journal.
type Summary struct {
	Keys int `json:"keys"`
	// Repeated holds keys that ran more than once, at most 100 of them.
	Repeated []Execution `json:"repeated"`
	// Dropped counts runs that were not recorded because the journal was full. If it is
	// not 0, the other counts are incomplete.
	Dropped int `json:"dropped"`
	// KeyLeaks counts all leaks of customer keys. Leaks describes at most 100 of them.
	KeyLeaks int       `json:"key_leaks"`
	Leaks    []KeyLeak `json:"leaks"`
}

// maxRepeatedInSummary bounds the length of Summary.Repeated.
const maxRepeatedInSummary = 100

// Summary returns the totals of the journal.
func (j *Journal) Summary() Summary {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := Summary{Keys: len(j.byKey), Dropped: j.unrecordedRuns, KeyLeaks: j.leakCount}
	s.Leaks = append(s.Leaks, j.recordedLeaks...)
	for _, e := range j.byKey {
		if e.Runs > 1 && len(s.Repeated) < maxRepeatedInSummary {
			s.Repeated = append(s.Repeated, e.clone())
		}
	}
	return s
}
