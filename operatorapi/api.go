// Package operatorapi is the HTTP interface through which operators publish
// configurations, manage keys and look at an entry instance. It holds the
// messages, the handler and a client.
//
// Every request carries the operator token as a bearer token. Errors are problem
// documents.
package operatorapi

import (
	"time"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/configstore"
)

// Paths.
const (
	PathConfig   = "/v1/config"          // GET, PUT
	PathHistory  = "/v1/config/history"  // GET
	PathLabels   = "/v1/labels"          // POST
	PathKeys     = "/v1/keys"            // GET, POST
	PathKeyWithdrawal = "/v1/keys/withdrawal" // POST
	PathExplain  = "/v1/explain"         // GET
	PathStatus   = "/v1/status"          // GET
)

// HeaderAuthor names the operator who makes a change.
const HeaderAuthor = "Jacinthrack-Author"

// Query parameters.
const (
	QueryGeneration = "generation" // of PathConfig; 0 or absent for the current one
	QueryBaseGeneration       = "base"       // of a publish: the generation it was based on
	QueryLimit      = "limit"      // of PathHistory
	QueryRoute      = "route"      // of PathExplain
)

// ConfigResponse is a configuration and its generation.
type ConfigResponse struct {
	Published configstore.GenerationRecord `json:"published"`
	Document  *config.Document             `json:"document"`
}

// PropagationStatus says which entry instances have a change in force.
type PropagationStatus struct {
	InForce    []string `json:"in_force"`
	NotReached []string `json:"not_reached,omitempty"`
}

// Complete reports whether every known instance has the change in force.
func (r PropagationStatus) Complete() bool { return len(r.NotReached) == 0 }

// PublishResponse is the result of a publish.
type PublishResponse struct {
	Published configstore.GenerationRecord `json:"published"`
	Propagation     PropagationStatus                        `json:"reach"`
}

// ConflictExtension explains a conflict of two operators.
type ConflictExtension struct {
	BaseGeneration    uint64                       `json:"base"`
	Current   configstore.GenerationRecord `json:"other"`
	Changes []config.Change              `json:"changes"`
}

// IssuesExtension lists the mistakes in a document.
type IssuesExtension struct {
	Issues []config.Issue `json:"issues"`
}

// HistoryResponse lists generations, newest first.
type HistoryResponse struct {
	Generations []configstore.GenerationRecord `json:"generations"`
}

// ObjectKind is a kind of object with labels.
type ObjectKind string

// Object kinds.
const (
	KindBackendServer ObjectKind = "backend-server"
	KindCustomer      ObjectKind = "customer"
	KindRoute         ObjectKind = "route"
	KindService       ObjectKind = "service"
)

// LabelRequest changes the labels of one object.
type LabelRequest struct {
	Kind  ObjectKind        `json:"kind"`
	Name  string            `json:"name"`
	Set   map[string]string `json:"set,omitempty"`
	Unset []string          `json:"unset,omitempty"`
}

// GrantRequest asks for a new key.
type GrantRequest struct {
	Customer string   `json:"customer"`
	Routes   []string `json:"routes"` // empty for all routes
}

// GrantResponse holds the key, which cannot be read again.
type GrantResponse struct {
	KeyID string `json:"key_id"`
	Key   string `json:"key"`
}

// WithdrawRequest withdraws a key.
type WithdrawRequest struct {
	KeyID string `json:"key_id"`
}

// WithdrawResponse says where a withdrawal is in force.
type WithdrawResponse struct {
	KeyID string `json:"key_id"`
	// Recorded is set when the platform has the withdrawal.
	Recorded bool `json:"recorded"`
	// InForce is set when no instance accepts the key any more.
	InForce bool  `json:"in_force"`
	Propagation   PropagationStatus `json:"reach"`
}

// KeyInfo describes a key without its secret.
type KeyInfo struct {
	KeyID     string   `json:"key_id"`
	Customer  string   `json:"customer"`
	Routes    []string `json:"routes,omitempty"`
	Withdrawn bool     `json:"withdrawn"`
}

// KeysResponse lists keys.
type KeysResponse struct {
	Keys []KeyInfo `json:"keys"`
}

// ExplainResponse says where a request of a route would go, and why.
type ExplainResponse struct {
	Route    string          `json:"route"`
	Service  string          `json:"service"`
	Server   string          `json:"server,omitempty"`
	Tier     string          `json:"tier,omitempty"`
	Reason   string          `json:"reason,omitempty"`
	Rejected []RejectedServer `json:"rejected"`
}

// RejectedServer is a backend server that was not chosen.
type RejectedServer struct {
	Server string `json:"server"`
	Reason string `json:"reason"`
}

// StatusResponse describes one entry instance and what it knows.
type StatusResponse struct {
	Name          string         `json:"name"`
	Zone          string         `json:"zone"`
	Ready         bool           `json:"ready"`
	Draining      bool           `json:"draining"`
	Generation    uint64         `json:"generation"`
	ManifestHash      string         `json:"manifest,omitempty"`
	KeyGeneration uint64         `json:"key_generation"`
	KeysFresh     bool           `json:"keys_fresh"`
	PlatformAge   *time.Duration `json:"platform_age_ns,omitempty"`
	Instances     []InstanceInfo `json:"instances"`
	Servers       []ServerInfo   `json:"servers"`
	Limits        []LimitInfo    `json:"limits"`
}

// InstanceInfo is an entry instance as seen by the one that answers.
type InstanceInfo struct {
	Name          string `json:"name"`
	Zone          string `json:"zone"`
	State         string `json:"state"`
	CallerAddress string `json:"caller_address"`
	SinceLastSeenMS      int64  `json:"silent_ms"`
}

// ServerInfo is a backend server as seen by the instance that answers.
type ServerInfo struct {
	Name    string  `json:"name"`
	Service string  `json:"service"`
	Zone    string  `json:"zone"`
	State   string  `json:"state"`
	Reason  string  `json:"reason"`
	Weight  float64 `json:"weight"`
	InFlight   int     `json:"in_use"`
}

// LimitInfo is this instance's share of a fleet-wide limit.
type LimitInfo struct {
	Name          string  `json:"name"`
	RatePerSecond float64 `json:"rate_per_second"`
	Burst         float64 `json:"burst"`
}
