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

// Guards against a program that does not start from its settings, does not stop
// with its context, or accepts misspelled settings.
func TestRun(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	document := config.Document{BackendServers: []config.BackendServer{{Name: "a", Address: "127.0.0.1:0", Slots: 1}}}
	path := writeFile(t, "config.json", document)
	good := writeFile(t, "settings.json", settings{Config: path, ControlAddress: "127.0.0.1:0"})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	must.NoError(t, run(ctx, []string{good}, log))
	cases := map[string][]string{
		"no arguments":     nil,
		"no file":          {filepath.Join(t.TempDir(), "absent.json")},
		"misspelled":       {writeFile(t, "bad.json", map[string]string{"config": path, "control_address": "127.0.0.1:0", "jiter": "1"})},
		"public address":   {writeFile(t, "public.json", settings{Config: path, ControlAddress: "0.0.0.0:0"})},
		"no configuration": {writeFile(t, "none.json", settings{ControlAddress: "127.0.0.1:0"})},
	}
	for name, args := range cases {
		must.Error(t, run(ctx, args, log), must.Sprint(name))
	}
}
