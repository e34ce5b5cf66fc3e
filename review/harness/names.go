package main

import (
	_ "embed"
	"encoding/json"
)

// names are the names of the platform that the stand-ins use, read from names.json.
var names struct {
	ID               string `json:"id"`
	Deadline         string `json:"deadline"`
	Key              string `json:"key"`
	Expect           string `json:"expect"`
	Seal             string `json:"seal"`
	NotRun           string `json:"not_run"`
	Load             string `json:"load"`
	Instance         string `json:"instance"`
	SettingsVariable string `json:"settings_variable"`
}

//go:embed names.json
var namesFile []byte

//go:embed settings.json
var settingsTemplate string

//go:embed config.json
var configFile []byte

func init() {
	if err := json.Unmarshal(namesFile, &names); err != nil {
		panic(err)
	}
}
