// Command backend-standin simulates the backend servers of a configuration document on
// loopback addresses.
//
// Usage: backend-standin settings.json
//
// The settings file is described at the type settings. The control API is described at
// backend.Fleet.Control and listens on loopback only.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/internal/standin/backend"
)

// settings are the JSON settings of the program. Those without a comment are described
// at the fields of backend.Options of the same name.
type settings struct {
	// Config is the path of the configuration document whose backend servers are
	// simulated.
	Config string `json:"config"`
	// ControlAddress is the loopback IP:port of the control API.
	ControlAddress string          `json:"control_address"`
	ServiceTime    config.Duration `json:"service_time"`
	Jitter         float64         `json:"jitter"`
	ColdStart      config.Duration `json:"cold_start"`
	ColdFactor     float64         `json:"cold_factor"`
	ConnectTime    config.Duration `json:"connect_time"`
	ProbeTime      config.Duration `json:"probe_time"`
	LoadLag        config.Duration `json:"load_lag"`
	CrashDowntime  config.Duration `json:"crash_downtime"`
	Seed           uint64          `json:"seed"`
}

// argumentError reports a wrong number of arguments.
type argumentError struct{}

func (argumentError) Error() string { return "usage: backend-standin settings.json" }

func main() {
	log := slog.New(slog.NewJSONHandler(os.Stderr, nil))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, os.Args[1:], log); err != nil {
		log.Error("backend-standin failed", "error", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string, log *slog.Logger) error {
	if len(args) != 1 {
		return argumentError{}
	}
	var s settings
	if err := readJSON(args[0], &s); err != nil {
		return err
	}
	var document config.Document
	if err := readJSON(s.Config, &document); err != nil {
		return err
	}
	fleet, err := backend.Start(s.options(document.BackendServers, log))
	if err != nil {
		return err
	}
	defer fleet.Close()
	return serveControl(ctx, s.ControlAddress, fleet, log)
}

// readJSON decodes a JSON file into out. Unknown fields are errors.
func readJSON(path string, out any) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("open JSON file: %w", err)
	}
	defer file.Close()
	decoder := json.NewDecoder(file)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		return fmt.Errorf("decode JSON file %s: %w", path, err)
	}
	return nil
}

func (s settings) options(servers []config.BackendServer, log *slog.Logger) backend.Options {
	return backend.Options{
		Servers:       servers,
		ServiceTime:   s.ServiceTime.Std(),
		Jitter:        s.Jitter,
		ColdStart:     s.ColdStart.Std(),
		ColdFactor:    s.ColdFactor,
		ConnectTime:   s.ConnectTime.Std(),
		ProbeTime:     s.ProbeTime.Std(),
		LoadLag:       s.LoadLag.Std(),
		CrashDowntime: s.CrashDowntime.Std(),
		Seed:          s.Seed,
		Log:           log,
	}
}

// serveControl serves the control API until ctx ends.
func serveControl(ctx context.Context, address string, fleet *backend.Fleet, log *slog.Logger) error {
	listener, err := backend.ListenLoopback(address)
	if err != nil {
		return fmt.Errorf("listen for the control API: %w", err)
	}
	server := &http.Server{Handler: fleet.Control()}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	log.Info("simulating backend servers; control API is listening", "count", len(fleet.Servers()), "control", listener.Addr().String())
	if err := server.Serve(listener); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve the control API: %w", err)
	}
	return nil
}
