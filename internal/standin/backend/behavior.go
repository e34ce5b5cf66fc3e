package backend

import (
	"time"

	"github.com/jacinthrack/jacinthrack/config"
)

// Behavior is how a server treats requests. The zero value is healthy. It is
// switched at run time; requests in progress keep the behavior they started
// with.
type Behavior struct {
	// Shed refuses all work with 503.
	Shed bool `json:"shed,omitempty"`
	// CloseConnections sends "Connection: close" with every answer.
	CloseConnections bool `json:"close_connections,omitempty"`
	// Every limits the answer and upload faults below to each nth request.
	// Zero and one mean all requests.
	Every int `json:"every,omitempty"`
	// Truncate ends the connection after half of the answer.
	Truncate bool `json:"truncate,omitempty"`
	// ExtraAnswer sends a second, unrequested answer on the same connection,
	// as a server does whose answers are late by one request.
	ExtraAnswer bool `json:"extra_answer,omitempty"`
	// SlowAnswer is the pause between the halves of the answer.
	SlowAnswer config.Duration `json:"slow_answer,omitempty"`
	// StallUpload is the pause before the request body is read.
	StallUpload config.Duration `json:"stall_upload,omitempty"`
	// ServiceTimeFactor multiplies the service time. Zero means 1.
	ServiceTimeFactor float64 `json:"service_time_factor,omitempty"`
	// Health forces the answer of the health endpoint.
	Health HealthMode `json:"health,omitempty"`
	// FreezeLoad makes the load endpoint repeat its last report.
	FreezeLoad bool `json:"freeze_load,omitempty"`
}

// HealthMode forces the answer of the health endpoint, so that it misleads.
type HealthMode string

// Health modes.
const (
	HealthTruthful HealthMode = ""
	HealthFine     HealthMode = "fine"
	HealthBad      HealthMode = "bad"
)

// answerFaults returns b without its answer and upload faults unless the nth
// request is to have them.
func (b Behavior) answerFaults(nth uint64) Behavior {
	if b.Every <= 1 || nth%uint64(b.Every) == 0 {
		return b
	}
	b.Truncate = false
	b.ExtraAnswer = false
	b.SlowAnswer = 0
	b.StallUpload = 0
	return b
}

// coldFactor returns the factor of the service time at an age since the start.
// It falls linearly from initial to 1 over the duration.
func coldFactor(age, duration time.Duration, initial float64) float64 {
	if duration <= 0 || initial <= 1 || age >= duration {
		return 1
	}
	rest := 1 - float64(age)/float64(duration)
	return 1 + (initial-1)*rest
}
