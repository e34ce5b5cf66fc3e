package lookup

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"github.com/jacinthrack/jacinthrack/config"
)

// SiteID is the index of a site in a Table.
type SiteID uint16

// maxSites leaves room for the entry value of a gap.
const maxSites = 1<<16 - 1

// entry is the value of a range: the site and the length of the block that the
// range belongs to. The block is the address with the other bits cleared, so it
// needs no memory of its own.
type entry uint32

// gap is the entry of addresses that no block contains.
const gap = ^entry(0)

func newEntry(site SiteID, bits uint8) entry { return entry(site)<<8 | entry(bits) }

func (e entry) site() SiteID { return SiteID(e >> 8) }
func (e entry) bits() uint8  { return uint8(e) }

// block is a client block with its site.
type block struct {
	start u128
	entry entry
}

func (b block) last() u128 { return b.start.last(b.entry.bits()) }

// compareBlocks sorts by address and then by length, so that a block follows the
// blocks that contain it.
func compareBlocks(a, b block) int {
	if c := a.start.compare(b.start); c != 0 {
		return c
	}
	return cmp.Compare(a.entry.bits(), b.entry.bits())
}

// BlockError reports a client block that cannot be in a table.
type BlockError struct {
	Prefix netip.Prefix
	Reason string
}

func (e *BlockError) Error() string {
	return fmt.Sprintf("client block %s: %s", e.Prefix, e.Reason)
}

// UnknownSiteError reports a client block whose site is not configured.
type UnknownSiteError struct {
	Prefix netip.Prefix
	Site   string
}

func (e *UnknownSiteError) Error() string {
	return fmt.Sprintf("client block %s: unknown site %q", e.Prefix, e.Site)
}

// InvalidSitesError reports sites that cannot be in a table.
type InvalidSitesError struct{ Reason string }

func (e *InvalidSitesError) Error() string { return "sites: " + e.Reason }

func checkPrefix(p netip.Prefix) error {
	switch {
	case !p.IsValid():
		return &BlockError{Prefix: p, Reason: "not a valid prefix"}
	case p.Masked() != p:
		return &BlockError{Prefix: p, Reason: "bits after the prefix length are set"}
	case p.Addr().Is4In6():
		return &BlockError{Prefix: p, Reason: "IPv4-mapped; write it as an IPv4 prefix"}
	default:
		return nil
	}
}

// siteIndex maps the names of sites to their places in a Table.
type siteIndex map[string]SiteID

func indexSites(sites []config.Site) (siteIndex, error) {
	if len(sites) > maxSites {
		return nil, &InvalidSitesError{Reason: fmt.Sprintf("there are %d, the maximum is %d", len(sites), maxSites)}
	}
	index := make(siteIndex, len(sites))
	for i, s := range sites {
		if _, double := index[s.Name]; double {
			return nil, &InvalidSitesError{Reason: fmt.Sprintf("%q is defined twice", s.Name)}
		}
		index[s.Name] = SiteID(i)
	}
	return index, nil
}

func (x siteIndex) block(p netip.Prefix, site string) (block, error) {
	if err := checkPrefix(p); err != nil {
		return block{}, err
	}
	id, ok := x[site]
	if !ok {
		return block{}, &UnknownSiteError{Prefix: p, Site: site}
	}
	return block{start: fromAddr(p.Addr()), entry: newEntry(id, uint8(p.Bits()))}, nil
}

// sortedBlocks checks the blocks and returns them sorted, by family.
func sortedBlocks(index siteIndex, blocks []config.ClientBlock) (v4 []packed4, v6 []block, err error) {
	v4 = make([]packed4, 0, len(blocks))
	for _, cb := range blocks {
		b, err := index.block(cb.Prefix, cb.Site)
		if err != nil {
			return nil, nil, err
		}
		if cb.Prefix.Addr().Is4() {
			v4 = append(v4, pack(b))
			continue
		}
		v6 = append(v6, b)
	}
	if err := sort4(v4); err != nil {
		return nil, nil, err
	}
	return slices.Clip(v4), slices.Clip(v6), sort6(v6)
}

// sort4 sorts by the packed value, which is several times faster than a
// comparison function.
func sort4(blocks []packed4) error {
	slices.Sort(blocks)
	for i := 1; i < len(blocks); i++ {
		if blocks[i-1].samePrefix(blocks[i]) {
			return defined(blocks[i].block().prefix(true))
		}
	}
	return nil
}

func sort6(blocks []block) error {
	slices.SortFunc(blocks, compareBlocks)
	for i := 1; i < len(blocks); i++ {
		if compareBlocks(blocks[i-1], blocks[i]) == 0 {
			return defined(blocks[i].prefix(false))
		}
	}
	return nil
}

func defined(p netip.Prefix) error { return &BlockError{Prefix: p, Reason: "defined twice"} }
