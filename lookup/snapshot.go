package lookup

import (
	"fmt"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
)

// Snapshot contains all that an entry instance needs to answer look-ups. It is
// immutable.
type Snapshot struct {
	// Generation is the generation of the configuration that the table was built
	// from.
	Generation uint64
	Table      *Table
	Membership *MembershipView
	// MaxAge is how long a caller may cache an answer. Callers get it in whole
	// seconds, rounded down.
	MaxAge time.Duration
}

// NewSnapshot returns the snapshot of a configuration generation and the given
// members. doc is the document of the generation. It returns the errors of NewTable.
func NewSnapshot(generation uint64, doc *config.Document, members []Member) (*Snapshot, error) {
	table, err := NewTableFromDocument(doc)
	if err != nil {
		return nil, fmt.Errorf("build look-up table of generation %d: %w", generation, err)
	}
	return &Snapshot{Generation: generation, Table: table, Membership: NewMembershipView(doc, members), MaxAge: doc.Policy.EffectiveLookupMaxAge()}, nil
}

// WithMembers returns a snapshot of the same generation with other members. doc is
// the document of the generation. The two snapshots share the table.
func (s *Snapshot) WithMembers(doc *config.Document, members []Member) *Snapshot {
	next := *s
	next.Membership = NewMembershipView(doc, members)
	return &next
}

// Answer returns the answer to a query.
func (s *Snapshot) Answer(q Query) *Answer {
	location := Locate(s.Table, s.Membership, q)
	return &Answer{
		Version:   fmt.Sprintf("%d-%016x", s.Generation, s.Membership.InstancesHash()),
		Site:      location.Site,
		Block:     location.Block,
		Zone:      location.Zone,
		Instances: s.Membership.AppendInstances(make([]Instance, 0, MaxAnswerInstances), location),
	}
}
