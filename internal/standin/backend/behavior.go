package backend

import (
	"time"

	"github.com/jacinthrack/jacinthrack/config"
)

// Behavior configures the faults of a server. The zero value has none. It can be changed
// at run time; in-flight requests keep the behavior with which they started.
type Behavior struct {
	// Shed rejects every request except health and load requests with status 503.
	Shed bool `json:"shed,omitempty"`
	// CloseConnections sends "Connection: close" with every response.
	CloseConnections bool `json:"close_connections,omitempty"`
	// Every limits the response and upload faults (Truncate, ExtraAnswer, SlowAnswer,
	// StallUpload) to each request whose number is a multiple of Every. 0 and 1 mean
	// every request.
	Every int `json:"every,omitempty"`
	// Truncate closes the connection after half of the response body.
	Truncate bool `json:"truncate,omitempty"`
	// ExtraAnswer sends a second, unrequested response on the same connection, like a
	// server whose responses lag one request behind.
	ExtraAnswer bool `json:"extra_answer,omitempty"`
	// SlowAnswer is the pause between the two halves of the response body.
	SlowAnswer config.Duration `json:"slow_answer,omitempty"`
	// StallUpload is the pause before the request body is read.
	StallUpload config.Duration `json:"stall_upload,omitempty"`
	// ServiceTimeFactor multiplies the service time. Zero means 1.
	ServiceTimeFactor float64 `json:"service_time_factor,omitempty"`
	// Health overrides the result of the health endpoint.
	Health HealthMode `json:"health,omitempty"`
	// FreezeLoad makes the load endpoint repeat its last report, however old.
	FreezeLoad bool `json:"freeze_load,omitempty"`
}

// HealthMode selects whether the health endpoint reports the server's true health or a
// fixed result.
type HealthMode string

// Health modes.
const (
	HealthTruthful HealthMode = ""
	HealthFine     HealthMode = "fine"
	HealthBad      HealthMode = "bad"
)

// forRequest returns the behavior for the server's nth request: b, without its response
// and upload faults if Every excludes the request.
func (b Behavior) forRequest(nth uint64) Behavior {
	if b.Every <= 1 || nth%uint64(b.Every) == 0 {
		return b
	}
	b.Truncate = false
	b.ExtraAnswer = false
	b.SlowAnswer = 0
	b.StallUpload = 0
	return b
}

// coldFactor returns the factor by which the service time is raised at the given age
// since the server's start. It falls linearly from initial to 1 over duration.
func coldFactor(age, duration time.Duration, initial float64) float64 {
	if duration <= 0 || initial <= 1 || age >= duration {
		return 1
	}
	remaining := 1 - float64(age)/float64(duration)
	return 1 + (initial-1)*remaining
}
