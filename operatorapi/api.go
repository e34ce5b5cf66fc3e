// Package operatorapi defines the HTTP API through which operators publish
// configurations, manage keys and query the state of an entry instance. It contains the
// message types, the handler and a client.
//
// Every request carries the operator token as a bearer token. Error responses are
// problem documents.
package operatorapi

import (
	"time"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/configstore"
)

// Paths of the API.
const (
	PathConfig        = "/v1/config"          // GET, PUT
	PathHistory       = "/v1/config/history"  // GET
	PathLabels        = "/v1/labels"          // POST
	PathKeys          = "/v1/keys"            // GET, POST
	PathKeyWithdrawal = "/v1/keys/withdrawal" // POST
	PathExplain       = "/v1/explain"         // GET
	PathStatus        = "/v1/status"          // GET
)

// HeaderAuthor is the request header with the name of the operator who makes a change.
const HeaderAuthor = "Jacinthrack-Author"

// Query parameters.
const (
	QueryGeneration     = "generation" // GET PathConfig: generation to load; 0 or absent for the current one
	QueryBaseGeneration = "base"       // PUT PathConfig: generation that the document is based on
	QueryLimit          = "limit"      // GET PathHistory: maximum number of generations
	QueryRoute          = "route"      // GET PathExplain: name of the route
)

// ConfigResponse contains a published configuration and its generation record.
type ConfigResponse struct {
	Published configstore.GenerationRecord `json:"published"`
	Document  *config.Document             `json:"document"`
}

// PropagationStatus lists the entry instances where a change is in force, and the listed instances
// that have not confirmed it.
type PropagationStatus struct {
	InForce    []string `json:"in_force"`
	NotReached []string `json:"not_reached,omitempty"`
}

// Complete reports whether all listed instances have confirmed the change.
func (r PropagationStatus) Complete() bool { return len(r.NotReached) == 0 }

// PublishResponse is the result of publishing a configuration or of changing labels.
type PublishResponse struct {
	Published   configstore.GenerationRecord `json:"published"`
	Propagation PropagationStatus            `json:"reach"`
}

// ConflictExtension is the extension of a conflict problem: the configuration was not
// published because another one has been published since the base generation.
type ConflictExtension struct {
	BaseGeneration uint64                       `json:"base"`    // generation that the document was based on
	Current        configstore.GenerationRecord `json:"other"`   // current generation
	Changes        []config.Change              `json:"changes"` // from the base generation to the current one
}

// IssuesExtension is the extension of an invalid-configuration problem. It lists the
// mistakes in the document.
type IssuesExtension struct {
	Issues []config.Issue `json:"issues"`
}

// HistoryResponse lists published generations, newest first.
type HistoryResponse struct {
	Generations []configstore.GenerationRecord `json:"generations"`
}

// ObjectKind is a kind of configuration object that has labels.
type ObjectKind string

// Values of ObjectKind.
const (
	KindBackendServer ObjectKind = "backend-server"
	KindCustomer      ObjectKind = "customer"
	KindRoute         ObjectKind = "route"
	KindService       ObjectKind = "service"
)

// LabelRequest changes the labels of one configuration object.
type LabelRequest struct {
	Kind  ObjectKind        `json:"kind"`
	Name  string            `json:"name"`
	Set   map[string]string `json:"set,omitempty"`
	Unset []string          `json:"unset,omitempty"` // names of labels to remove
}

// GrantRequest creates a key for a customer.
type GrantRequest struct {
	Customer string   `json:"customer"`
	Routes   []string `json:"routes"` // routes that the key may use; empty for all routes
}

// GrantResponse contains the new key, which cannot be read again later.
type GrantResponse struct {
	KeyID string `json:"key_id"`
	Key   string `json:"key"`
}

// WithdrawRequest withdraws a key.
type WithdrawRequest struct {
	KeyID string `json:"key_id"`
}

// WithdrawResponse is the result of withdrawing a key.
type WithdrawResponse struct {
	KeyID string `json:"key_id"`
	// Recorded reports whether the withdrawal is stored on the platform.
	Recorded bool `json:"recorded"`
	// InForce reports whether no instance accepts the key any more.
	InForce     bool              `json:"in_force"`
	Propagation PropagationStatus `json:"reach"`
}

// KeyInfo describes a key without its secret.
type KeyInfo struct {
	KeyID     string   `json:"key_id"`
	Customer  string   `json:"customer"`
	Routes    []string `json:"routes,omitempty"` // routes that the key may use
	Withdrawn bool     `json:"withdrawn"`
}

// KeysResponse lists all keys.
type KeysResponse struct {
	Keys []KeyInfo `json:"keys"`
}

// ExplainResponse says which backend server would get a request of a route now, and why.
type ExplainResponse struct {
	Route    string           `json:"route"`
	Service  string           `json:"service"`
	Server   string           `json:"server,omitempty"` // chosen backend server; empty if none
	Tier     string           `json:"tier,omitempty"`   // locality preference level of the server
	Reason   string           `json:"reason,omitempty"` // why the server was chosen
	Rejected []RejectedServer `json:"rejected"`
}

// RejectedServer is a backend server that was not chosen, and the reason.
type RejectedServer struct {
	Server string `json:"server"`
	Reason string `json:"reason"`
}

// StatusResponse describes the entry instance that answers, and its view of the other
// instances, the backend servers and the limits.
type StatusResponse struct {
	Name          string `json:"name"`
	Zone          string `json:"zone"`
	Ready         bool   `json:"ready"`
	Draining      bool   `json:"draining"`
	Generation    uint64 `json:"generation"`
	ManifestHash  string `json:"manifest,omitempty"`
	KeyGeneration uint64 `json:"key_generation"`
	KeysFresh     bool   `json:"keys_fresh"` // the key data is younger than its staleness bound
	// PlatformAge is the age of the key data read from the platform, in nanoseconds.
	// It is nil if none was read.
	PlatformAge *time.Duration `json:"platform_age_ns,omitempty"`
	Instances   []InstanceInfo `json:"instances"`
	Servers     []ServerInfo   `json:"servers"`
	Limits      []LimitInfo    `json:"limits"`
}

// InstanceInfo is an entry instance in the view of the instance that answers.
type InstanceInfo struct {
	Name            string `json:"name"`
	Zone            string `json:"zone"`
	State           string `json:"state"`
	CallerAddress   string `json:"caller_address"`
	SinceLastSeenMS int64  `json:"silent_ms"` // milliseconds since it was last seen
}

// ServerInfo is a backend server in the view of the instance that answers.
type ServerInfo struct {
	Name     string  `json:"name"`
	Service  string  `json:"service"`
	Zone     string  `json:"zone"`
	State    string  `json:"state"`
	Reason   string  `json:"reason"`
	Weight   float64 `json:"weight"`
	InFlight int     `json:"in_use"` // requests in flight from the instance that answers
}

// LimitInfo is the part of a fleet-wide limit that the instance that answers may use.
type LimitInfo struct {
	Name          string  `json:"name"`
	RatePerSecond float64 `json:"rate_per_second"` // requests per second
	Burst         float64 `json:"burst"`           // requests
}
