package splitcompare

import (
	"cmp"
	"embed"
	"encoding/json"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
)

//go:embed testdata/*.json
var traceFiles embed.FS

// Trace is the recorded demand of one customer at several entry instances, with the
// customer's limit.
type Trace struct {
	Name          string          `json:"name"`
	Instances     int             `json:"instances"`
	RatePerSecond float64         `json:"rate_per_second"` // of the limit
	Burst         float64         `json:"burst"`           // of the limit, in requests
	Duration      config.Duration `json:"duration"`
	WarmUp        config.Duration `json:"warm_up"` // length of the first part of the trace, which results exclude
	Seed          uint64          `json:"seed"`    // of the random arrival times
	Segments      []Segment       `json:"segments"`
	CutOff        *CutOff         `json:"cut_off,omitempty"`
}

// Segment is a period in which the listed instances get random arrivals at a constant rate.
type Segment struct {
	From          config.Duration `json:"from"`
	To            config.Duration `json:"to"`
	Instances     []int           `json:"instances"`
	RatePerSecond float64         `json:"rate_per_second"` // at each instance
}

// CutOff is a period in which the listed instances cannot reach the table.
type CutOff struct {
	From      config.Duration `json:"from"`
	To        config.Duration `json:"to"`
	Instances []int           `json:"instances"`
}

// covers reports whether the instance is cut off at the time at since the start of the trace.
// A nil CutOff covers none.
func (c *CutOff) covers(instance int, at time.Duration) bool {
	return c != nil && at >= c.From.Std() && at < c.To.Std() && slices.Contains(c.Instances, instance)
}

// TraceError reports a recorded trace that cannot be read or simulated.
type TraceError struct {
	File string // file name, or the trace's name if the simulation failed
	Err  error
}

func (e *TraceError) Error() string { return fmt.Sprintf("trace %s: %v", e.File, e.Err) }

// Unwrap returns the cause.
func (e *TraceError) Unwrap() error { return e.Err }

// Traces returns the recorded traces in the order of their file names. Its error is a
// *TraceError.
func Traces() ([]Trace, error) {
	files, err := fs.Glob(traceFiles, "testdata/*.json")
	if err != nil {
		return nil, &TraceError{File: "testdata", Err: err}
	}
	traces := make([]Trace, len(files))
	for i, file := range files {
		data, err := traceFiles.ReadFile(file)
		if err != nil {
			return nil, &TraceError{File: file, Err: err}
		}
		if err := json.Unmarshal(data, &traces[i]); err != nil {
			return nil, &TraceError{File: file, Err: err}
		}
	}
	return traces, nil
}

// arrival is the arrival of one request.
type arrival struct {
	at       time.Duration // since the start of the trace
	instance int
}

// arrivals returns the requests of the trace in order of time.
func (t Trace) arrivals() []arrival {
	r := rand.New(rand.NewPCG(t.Seed, 0))
	var all []arrival
	for _, s := range t.Segments {
		for _, instance := range s.Instances {
			all = s.appendArrivals(all, instance, r)
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return all
}

// appendArrivals appends the segment's requests at the instance to all, with exponentially
// distributed times between them.
func (s Segment) appendArrivals(all []arrival, instance int, r *rand.Rand) []arrival {
	at := s.From.Std()
	for {
		at += time.Duration(r.ExpFloat64() / s.RatePerSecond * float64(time.Second))
		if at >= s.To.Std() {
			return all
		}
		all = append(all, arrival{at: at, instance: instance})
	}
}
