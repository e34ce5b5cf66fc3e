package main

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/config"
)

func writeFile(t *testing.T, name string, content any) string {
	t.Helper()
	data, err := json.Marshal(content)
	must.NoError(t, err)
	path := filepath.Join(t.TempDir(), name)
	must.NoError(t, os.WriteFile(path, data, 0o600))
	return path
}

// The program starts from a valid settings file, stops when its context ends, and
// rejects missing arguments and files, unknown settings and a control address that is not
// a loopback address.
func TestRun(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	document := config.Document{BackendServers: []config.BackendServer{{Name: "a", Address: "127.0.0.1:0", Slots: 1}}}
	configPath := writeFile(t, "config.json", document)
	settingsPath := writeFile(t, "settings.json", settings{Config: configPath, ControlAddress: "127.0.0.1:0"})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	must.NoError(t, run(ctx, []string{settingsPath}, log))
	cases := map[string][]string{
		"no arguments":     nil,
		"no file":          {filepath.Join(t.TempDir(), "absent.json")},
		"misspelled":       {writeFile(t, "bad.json", map[string]string{"config": configPath, "control_address": "127.0.0.1:0", "jiter": "1"})},
		"public address":   {writeFile(t, "public.json", settings{Config: configPath, ControlAddress: "0.0.0.0:0"})},
		"no configuration": {writeFile(t, "none.json", settings{ControlAddress: "127.0.0.1:0"})},
	}
	for name, args := range cases {
		must.Error(t, run(ctx, args, log), must.Sprint(name))
	}
}
