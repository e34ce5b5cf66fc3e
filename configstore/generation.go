// Package configstore publishes generations of the configuration to the platform and
// keeps an entry instance up to date with the newest one.
//
// The row config/current describes the newest generation, and the rows
// config/history/<generation> describe all of them. Manifests and sections are
// content-addressed objects in the object store.
package configstore

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/tablestore"
)

// Row keys and object names.
const (
	currentRowKey    = "config/current"
	historyRowPrefix = "config/history/"
	objectNamePrefix = "config/objects/"
)

// historyRowKey returns the key of a generation's history row. It pads the number with
// zeros, so that the keys sort by generation.
func historyRowKey(generation uint64) string {
	return fmt.Sprintf("%s%020d", historyRowPrefix, generation)
}

// objectName returns the object name of the manifest or section with the hash.
func objectName(h config.Hash) string { return objectNamePrefix + h.String() }

// GenerationRecord is the stored description of one generation. Generation 0 stands for the
// state before the first publish.
type GenerationRecord struct {
	Generation   uint64      `json:"generation"`
	ChangeID     string      `json:"change_id"`
	Author       string      `json:"author"`
	ManifestHash config.Hash `json:"manifest"`
	// PublishedAt is the wall-clock time at the publishing instance. It is for
	// information only; no decision depends on it.
	PublishedAt time.Time `json:"published_at"`
}

func (p GenerationRecord) encode() ([]byte, error) {
	data, err := json.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("encode generation %d: %w", p.Generation, err)
	}
	return data, nil
}

// decodeGenerationRow decodes the description of a generation in a row. An absent row
// means generation 0.
func decodeGenerationRow(row tablestore.Row) (GenerationRecord, error) {
	if row.Version == 0 {
		return GenerationRecord{}, nil
	}
	var p GenerationRecord
	if err := json.Unmarshal(row.Value, &p); err != nil {
		return GenerationRecord{}, &RowDecodeError{Key: row.Key, Err: err}
	}
	return p, nil
}
