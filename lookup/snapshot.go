package lookup

import (
	"fmt"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
)

// Snapshot is what an entry instance answers look-ups from. It is immutable.
type Snapshot struct {
	// Generation is that of the configuration the table was built from.
	Generation uint64
	Table      *Table
	Membership       *MembershipView
	// MaxAge bounds how long a caller may use an answer. Whole seconds are
	// sent; a rest is cut off.
	MaxAge time.Duration
}

// NewSnapshot returns the snapshot of a configuration generation and a membership
// view. It returns the errors of Build.
func NewSnapshot(generation uint64, doc *config.Document, members []Member) (*Snapshot, error) {
	table, err := NewTableFromDocument(doc)
	if err != nil {
		return nil, fmt.Errorf("build look-up table of generation %d: %w", generation, err)
	}
	return &Snapshot{Generation: generation, Table: table, Membership: NewMembershipView(doc, members), MaxAge: doc.Policy.EffectiveLookupMaxAge()}, nil
}

// WithMembers returns a snapshot of the same generation with another membership
// view. doc is the document of the generation. The table is shared.
func (s *Snapshot) WithMembers(doc *config.Document, members []Member) *Snapshot {
	next := *s
	next.Membership = NewMembershipView(doc, members)
	return &next
}

// Answer returns the answer to a query.
func (s *Snapshot) Answer(q Query) *Answer {
	place := Locate(s.Table, s.Membership, q)
	return &Answer{
		Version:   fmt.Sprintf("%d-%016x", s.Generation, s.Membership.InstancesHash()),
		Site:      place.Site,
		Block:     place.Block,
		Zone:      place.Zone,
		Instances: s.Membership.AppendInstances(make([]Instance, 0, MaxAnswerInstances), place),
	}
}
