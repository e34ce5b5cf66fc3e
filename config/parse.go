package config

import (
	"encoding/json"
	"fmt"
)

// Parse decodes and validates the JSON document in data. Unknown and duplicate fields
// are mistakes. It reports all mistakes in one *ValidationError.
func Parse(data []byte) (*Document, error) {
	var collector issueCollector
	doc := &Document{}
	if decode(data, doc, &collector) {
		validate(doc, &collector)
	}
	if err := collector.err(); err != nil {
		return nil, err
	}
	return doc, nil
}

// Validate checks a document that was not read by Parse. It returns a
// *ValidationError with all mistakes.
func Validate(doc *Document) error {
	var collector issueCollector
	validate(doc, &collector)
	return collector.err()
}

// Marshal returns the canonical JSON form of the document. If the document is valid,
// Parse accepts it.
func (d *Document) Marshal() ([]byte, error) {
	canonical := *d
	canonical.Regions = nonNilList(d.Regions)
	canonical.Zones = nonNilList(d.Zones)
	canonical.Services = nonNilList(d.Services)
	canonical.BackendServers = nonNilList(d.BackendServers)
	canonical.Customers = nonNilList(d.Customers)
	canonical.Routes = nonNilList(d.Routes)
	data, err := json.Marshal(&canonical)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return data, nil
}

// nonNilList returns list, or an empty list when it is nil, so that a required list is
// never encoded as null.
func nonNilList[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
