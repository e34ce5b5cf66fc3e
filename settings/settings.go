// Package settings reads the JSON settings of a process: its location, its addresses and
// those of the services that it connects to. The configuration of request routing is in
// package config.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"strings"
)

// Entry holds the settings of an entry instance.
type Entry struct {
	// Name identifies the instance in the platform's instance list. A replacement
	// instance may reuse it.
	Name string `json:"name"`
	// Zone is the availability zone in which the instance runs.
	Zone string `json:"zone"`
	// CallerAddress is the address that serves look-ups and requests, as IP:port.
	CallerAddress string `json:"caller_address"`
	// OperatorAddress is the address that serves the operator API, metrics and health
	// checks, as IP:port.
	OperatorAddress string `json:"operator_address"`
	// PeerAddress is the address that serves the other entry instances, as IP:port.
	PeerAddress string `json:"peer_address"`
	// PlatformURL is the base URL of the platform.
	PlatformURL string `json:"platform"`
	// Seeds are the addresses of peers to contact while the platform is down, as IP:port.
	Seeds []string `json:"seeds,omitempty"`
	// TLS configures TLS for the connections between instances.
	TLS *TLS `json:"tls,omitempty"`
	// InsecurePeers allows connections between instances without TLS.
	InsecurePeers bool `json:"insecure_peers,omitempty"`
	// OperatorToken is the bearer token of the operator API.
	OperatorToken string `json:"operator_token"`
	// LogLevel is debug, info, warn or error, or empty for the default.
	LogLevel string `json:"log_level,omitempty"`
}

// TLS names the PEM files for TLS, which are reloaded when they change.
type TLS struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	CAFile   string `json:"ca_file"`
}

// Issue is an invalid value in the settings.
type Issue struct {
	Path    string // JSON path, for example $.zone
	Value   string // the value found
	Allowed string // description of the allowed values
}

// ValidationError lists all issues of a settings file.
type ValidationError struct{ Issues []Issue }

func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Issues))
	for i, issue := range e.Issues {
		lines[i] = fmt.Sprintf("%s: value %s, allowed: %s", issue.Path, issue.Value, issue.Allowed)
	}
	return fmt.Sprintf("settings have %d issues:\n%s", len(e.Issues), strings.Join(lines, "\n"))
}

// ParseEntry reads and validates the settings of an entry instance. It returns a
// *ValidationError with all issues.
func ParseEntry(r io.Reader) (*Entry, error) {
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	var e Entry
	if err := decoder.Decode(&e); err != nil {
		return nil, decodeError(err)
	}
	if issues := e.issues(); len(issues) > 0 {
		return nil, &ValidationError{Issues: issues}
	}
	return &e, nil
}

func decodeError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return &ValidationError{Issues: []Issue{{Path: "$." + typeErr.Field, Value: typeErr.Value, Allowed: typeErr.Type.String()}}}
	}
	return &ValidationError{Issues: []Issue{{Path: "$", Value: err.Error(), Allowed: "a JSON object with the documented fields"}}}
}

func (e *Entry) issues() []Issue {
	var c issueCollector
	c.requireNonEmpty("$.name", e.Name)
	c.requireNonEmpty("$.zone", e.Zone)
	c.requireAddress("$.caller_address", e.CallerAddress)
	c.requireAddress("$.operator_address", e.OperatorAddress)
	c.requireAddress("$.peer_address", e.PeerAddress)
	c.requireURL("$.platform", e.PlatformURL)
	c.requireNonEmpty("$.operator_token", e.OperatorToken)
	for i, seed := range e.Seeds {
		c.requireAddress(fmt.Sprintf("$.seeds[%d]", i), seed)
	}
	if e.TLS == nil && !e.InsecurePeers {
		c.add("$.tls", "null", "certificate files, or insecure_peers set to true")
	}
	if e.TLS != nil {
		c.requireNonEmpty("$.tls.cert_file", e.TLS.CertFile)
		c.requireNonEmpty("$.tls.key_file", e.TLS.KeyFile)
		c.requireNonEmpty("$.tls.ca_file", e.TLS.CAFile)
	}
	switch e.LogLevel {
	case "", "debug", "info", "warn", "error":
	default:
		c.add("$.log_level", e.LogLevel, "debug, info, warn or error")
	}
	return c.issues
}

type issueCollector struct{ issues []Issue }

func (c *issueCollector) add(path, value, allowed string) {
	c.issues = append(c.issues, Issue{Path: path, Value: fmt.Sprintf("%q", value), Allowed: allowed})
}

func (c *issueCollector) requireNonEmpty(path, value string) {
	if value == "" {
		c.add(path, value, "a non-empty string")
	}
}

func (c *issueCollector) requireAddress(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(path, value, "an IP address and port such as 127.0.0.1:7100")
	}
}

func (c *issueCollector) requireURL(path, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme == "" || u.Host == "" {
		c.add(path, value, "a URL such as http://127.0.0.1:7000")
	}
}
