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
	currentRowKey    = "config/current"
	historyRowPrefix = "config/history/"
	objectNamePrefix  = "config/objects/"
)

// historyRowKey pads the generation so that keys sort by generation.
func historyRowKey(generation uint64) string {
	return fmt.Sprintf("%s%020d", historyRowPrefix, generation)
}

// objectName returns the name of a manifest or section.
func objectName(h config.Hash) string { return objectNamePrefix + h.String() }

// Published describes one generation. Generation 0 is the state before the first
// publish.
type Published struct {
	Generation uint64      `json:"generation"`
	ChangeID   string      `json:"change_id"`
	Author     string      `json:"author"`
	Manifest   config.Hash `json:"manifest"`
	// PublishedAt is the publisher's wall clock, for people to read. No decision
	// depends on it.
	PublishedAt time.Time `json:"published_at"`
}

func (p Published) encode() ([]byte, error) {
	data, err := json.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("encode generation %d: %w", p.Generation, err)
	}
	return data, nil
}

// decodeGenerationRow returns the generation that a row describes. An absent row is
// generation 0.
func decodeGenerationRow(row tablestore.Row) (Published, error) {
	if row.Version == 0 {
		return Published{}, nil
	}
	var p Published
	if err := json.Unmarshal(row.Value, &p); err != nil {
		return Published{}, &RowError{Key: row.Key, Err: err}
	}
	return p, nil
}
