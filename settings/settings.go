// Package settings reads the JSON settings of a process. Settings say where a
// process runs and whom it talks to; steering is in package config.
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
	// Name identifies the instance in the platform's list. A replacement may
	// reuse it.
	Name string `json:"name"`
	// Zone is the availability zone that the instance runs in.
	Zone string `json:"zone"`
	// CallerAddress serves look-ups and requests, as IP:port.
	CallerAddress string `json:"caller_address"`
	// OperatorAddress serves the operator API, metrics and health, as IP:port.
	OperatorAddress string `json:"operator_address"`
	// PeerAddress serves other entry instances, as IP:port.
	PeerAddress string `json:"peer_address"`
	// PlatformURL is the URL of the platform.
	PlatformURL string `json:"platform"`
	// Seeds are peer addresses to ask while the platform is down.
	Seeds []string `json:"seeds,omitempty"`
	// TLS secures the traffic between instances.
	TLS *TLS `json:"tls,omitempty"`
	// InsecurePeers allows traffic between instances without TLS.
	InsecurePeers bool `json:"insecure_peers,omitempty"`
	// OperatorToken is the bearer token of the operator API.
	OperatorToken string `json:"operator_token"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level,omitempty"`
}

// TLS names the certificate files, which are read again when they change.
type TLS struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	CAFile   string `json:"ca_file"`
}

// Issue is one mistake.
type Issue struct {
	Path    string // JSON path, for example $.zone
	Value   string
	Allowed string
}

// ValidationError lists every mistake in a settings file.
type ValidationError struct{ Issues []Issue }

func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Issues))
	for i, issue := range e.Issues {
		lines[i] = fmt.Sprintf("%s: value %s, allowed: %s", issue.Path, issue.Value, issue.Allowed)
	}
	return fmt.Sprintf("settings have %d mistakes:\n%s", len(e.Issues), strings.Join(lines, "\n"))
}

// ParseEntry reads the settings of an entry instance. It returns a
// *ValidationError with every mistake.
func ParseEntry(r io.Reader) (*Entry, error) {
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	var e Entry
	if err := decoder.Decode(&e); err != nil {
		return nil, decodeIssue(err)
	}
	if issues := e.issues(); len(issues) > 0 {
		return nil, &ValidationError{Issues: issues}
	}
	return &e, nil
}

func decodeIssue(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return &ValidationError{Issues: []Issue{{Path: "$." + typeErr.Field, Value: typeErr.Value, Allowed: typeErr.Type.String()}}}
	}
	return &ValidationError{Issues: []Issue{{Path: "$", Value: err.Error(), Allowed: "a JSON object with the documented fields"}}}
}

func (e *Entry) issues() []Issue {
	var c checker
	c.required("$.name", e.Name)
	c.required("$.zone", e.Zone)
	c.address("$.caller_address", e.CallerAddress)
	c.address("$.operator_address", e.OperatorAddress)
	c.address("$.peer_address", e.PeerAddress)
	c.url("$.platform", e.PlatformURL)
	c.required("$.operator_token", e.OperatorToken)
	for i, seed := range e.Seeds {
		c.address(fmt.Sprintf("$.seeds[%d]", i), seed)
	}
	if e.TLS == nil && !e.InsecurePeers {
		c.add("$.tls", "null", "certificate files, or insecure_peers set to true")
	}
	if e.TLS != nil {
		c.required("$.tls.cert_file", e.TLS.CertFile)
		c.required("$.tls.key_file", e.TLS.KeyFile)
		c.required("$.tls.ca_file", e.TLS.CAFile)
	}
	switch e.LogLevel {
	case "", "debug", "info", "warn", "error":
	default:
		c.add("$.log_level", e.LogLevel, "debug, info, warn or error")
	}
	return c.found
}

type checker struct{ found []Issue }

func (c *checker) add(path, value, allowed string) {
	c.found = append(c.found, Issue{Path: path, Value: fmt.Sprintf("%q", value), Allowed: allowed})
}

func (c *checker) required(path, value string) {
	if value == "" {
		c.add(path, value, "a non-empty string")
	}
}

func (c *checker) address(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(path, value, "an IP address and port such as 127.0.0.1:7100")
	}
}

func (c *checker) url(path, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme == "" || u.Host == "" {
		c.add(path, value, "a URL such as http://127.0.0.1:7000")
	}
}
