// Package configstore publishes, loads and follows generations of the
// configuration.
//
// The row config/current names the newest generation and the rows
// config/history/<generation> keep all of them. Manifests and sections are
// content-addressed objects.
package configstore

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/tablestore"
)

// Rows and objects of the configuration.
const (
	currentKey    = "config/current"
	historyPrefix = "config/history/"
	objectPrefix  = "config/objects/"
)

// historyKey pads the generation so that keys sort by generation.
func historyKey(generation uint64) string {
	return fmt.Sprintf("%s%020d", historyPrefix, generation)
}

// objectName returns the name of a manifest or section.
func objectName(h config.Hash) string { return objectPrefix + h.String() }

// GenerationRecord describes one generation. Generation 0 is the state before the first
// publish.
type GenerationRecord struct {
	Generation uint64      `json:"generation"`
	ChangeID   string      `json:"change_id"`
	Author     string      `json:"author"`
	ManifestHash   config.Hash `json:"manifest"`
	// PublishedAt is the publisher's wall clock, for people to read. No decision
	// depends on it.
	PublishedAt time.Time `json:"published_at"`
}

func (p GenerationRecord) encode() ([]byte, error) {
	data, err := json.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("encode generation %d: %w", p.Generation, err)
	}
	return data, nil
}

// decodeRow returns the generation that a row describes. An absent row is
// generation 0.
func decodeRow(row tablestore.Row) (GenerationRecord, error) {
	if row.Version == 0 {
		return GenerationRecord{}, nil
	}
	var p GenerationRecord
	if err := json.Unmarshal(row.Value, &p); err != nil {
		return GenerationRecord{}, &RowDecodeError{Key: row.Key, Err: err}
	}
	return p, nil
}
