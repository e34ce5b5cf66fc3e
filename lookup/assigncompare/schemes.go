package main

import (
	"cmp"
	"slices"

	"github.com/jacinthrack/jacinthrack/internal/mix"
)

// scheme assigns client blocks to entry instances, which are numbered from 0.
type scheme interface {
	// assign returns the instance for the block with the given hash.
	assign(blockHash uint64) int
	// stateBytes returns the size in bytes of the state that all entry instances
	// must agree on in addition to the list of live instances.
	stateBytes() int
}

// schemeBuilder creates the schemes of one kind.
type schemeBuilder struct {
	name string
	// build returns the scheme for the live instances. previous is the scheme that
	// it replaces, nil for the first one.
	build func(live []int, previous scheme) scheme
}

// Sizes of the compared schemes: slots of a slot table and nodes of a hash ring.
const (
	slotCount               = 4096
	virtualNodesPerInstance = 160
)

func schemeBuilders() []schemeBuilder {
	return []schemeBuilder{
		{"slots, recomputed", func(live []int, _ scheme) scheme { return newSlotTable(live) }},
		{"slots, redirected", newRedirectedSlotTable},
		{"ring, 160 virtual nodes", func(live []int, _ scheme) scheme { return newHashRing(live) }},
		{"rendezvous", func(live []int, _ scheme) scheme { return newRendezvousScheme(live) }},
	}
}

// nodeHash returns the hash of one of the virtual nodes of an instance.
func nodeHash(instance, replica int) uint64 {
	return mix.Bits(uint64(instance+1)*0x9e3779b97f4a7c15 + mix.Bits(uint64(replica)+1))
}

// slotTable assigns blocks to a fixed number of slots by hash, and slots to instances.
type slotTable struct{ owners []int }

// newSlotTable assigns the slots to the live instances round-robin.
func newSlotTable(live []int) *slotTable {
	s := &slotTable{owners: make([]int, slotCount)}
	for i := range s.owners {
		s.owners[i] = live[i%len(live)]
	}
	return s
}

// newRedirectedSlotTable keeps the owners that are still live and assigns the other
// slots to the live instances round-robin. The result depends on the previous table,
// so the entry instances must agree on the table. Callers with an old answer would be
// redirected.
func newRedirectedSlotTable(live []int, previous scheme) scheme {
	old, ok := previous.(*slotTable)
	if !ok {
		return newSlotTable(live)
	}
	s := &slotTable{owners: slices.Clone(old.owners)}
	next := 0
	for i, owner := range s.owners {
		if slices.Contains(live, owner) {
			continue
		}
		s.owners[i] = live[next%len(live)]
		next++
	}
	return s
}

func (s *slotTable) assign(blockHash uint64) int { return s.owners[blockHash%slotCount] }

// stateBytes counts two bytes for the owner of each slot.
func (s *slotTable) stateBytes() int { return 2 * len(s.owners) }

// hashRing is a consistent-hashing ring: a block belongs to the first node whose hash is
// not less than that of the block, and past the last node to the first.
type hashRing struct{ nodes []virtualNode }

type virtualNode struct {
	hash     uint64
	instance int
}

func newHashRing(live []int) *hashRing {
	r := &hashRing{}
	for _, instance := range live {
		for replica := range virtualNodesPerInstance {
			r.nodes = append(r.nodes, virtualNode{nodeHash(instance, replica), instance})
		}
	}
	slices.SortFunc(r.nodes, func(a, b virtualNode) int { return cmp.Compare(a.hash, b.hash) })
	return r
}

func (r *hashRing) assign(blockHash uint64) int {
	i, _ := slices.BinarySearchFunc(r.nodes, blockHash, func(n virtualNode, h uint64) int { return cmp.Compare(n.hash, h) })
	return r.nodes[i%len(r.nodes)].instance
}

func (r *hashRing) stateBytes() int { return 0 }

// rendezvousScheme assigns a block to the live instance with the highest score for it.
type rendezvousScheme struct {
	live   []int
	hashes []uint64 // of the instances in live
}

func newRendezvousScheme(live []int) *rendezvousScheme {
	r := &rendezvousScheme{live: live}
	for _, instance := range live {
		r.hashes = append(r.hashes, nodeHash(instance, 0))
	}
	return r
}

func (r *rendezvousScheme) assign(blockHash uint64) int {
	best, bestScore := 0, uint64(0)
	for i, h := range r.hashes {
		if s := mix.Bits(blockHash ^ h); s >= bestScore {
			best, bestScore = i, s
		}
	}
	return r.live[best]
}

func (r *rendezvousScheme) stateBytes() int { return 0 }
