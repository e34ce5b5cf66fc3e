package config

import (
	"encoding/json"
	"fmt"
)

// Parse returns the document in data. It refuses unknown and duplicate fields
// and reports every mistake in one *ValidationError.
func Parse(data []byte) (*Document, error) {
	var found issues
	doc := &Document{}
	if decode(data, doc, &found) {
		validate(doc, &found)
	}
	if err := found.err(); err != nil {
		return nil, err
	}
	return doc, nil
}

// Validate checks a document that was built in code. It returns a
// *ValidationError with every mistake.
func Validate(doc *Document) error {
	var found issues
	validate(doc, &found)
	return found.err()
}

// Marshal returns the canonical JSON form of the document, which Parse accepts.
func (d *Document) Marshal() ([]byte, error) {
	canonical := *d
	canonical.Regions = listOf(d.Regions)
	canonical.Zones = listOf(d.Zones)
	canonical.Services = listOf(d.Services)
	canonical.BackendServers = listOf(d.BackendServers)
	canonical.Customers = listOf(d.Customers)
	canonical.Routes = listOf(d.Routes)
	data, err := json.Marshal(&canonical)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return data, nil
}

// listOf returns an empty list for a nil one, so that a required list is never
// written as null.
func listOf[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
