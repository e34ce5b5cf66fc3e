package lookup

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"github.com/jacinthrack/jacinthrack/config"
)

// SiteID is the index of a site in the sites of a Table.
type SiteID uint16

// maxSites is the maximum number of sites in a table. The largest SiteID stays
// unused, since it is part of noBlock.
const maxSites = 1<<16 - 1

// rangeValue is what the table stores for a range of addresses: the site and the
// prefix length, in bits, of the client block that the range belongs to. The address
// of the block is not stored: it is the looked-up address with the bits after the
// prefix length cleared.
type rangeValue uint32

// noBlock is the value of addresses that no block contains.
const noBlock = ^rangeValue(0)

func newRangeValue(site SiteID, prefixLen uint8) rangeValue {
	return rangeValue(site)<<8 | rangeValue(prefixLen)
}

func (v rangeValue) site() SiteID     { return SiteID(v >> 8) }
func (v rangeValue) prefixLen() uint8 { return uint8(v) }

// clientBlock is a client block as a table stores it: its first address, with its
// site and prefix length in value.
type clientBlock struct {
	start alignedAddr
	value rangeValue
}

func (b clientBlock) lastAddr() alignedAddr { return b.start.lastInPrefix(b.value.prefixLen()) }

// compareBlocks orders by first address and then by prefix length, so that a block
// follows the blocks that contain it.
func compareBlocks(a, b clientBlock) int {
	if c := a.start.compare(b.start); c != 0 {
		return c
	}
	return cmp.Compare(a.value.prefixLen(), b.value.prefixLen())
}

// BlockError reports a client block that cannot be added to a table, or one that
// cannot be removed because the table does not contain it.
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

// InvalidSitesError reports a list of sites that a table cannot be built from.
type InvalidSitesError struct{ Reason string }

func (e *InvalidSitesError) Error() string { return "invalid list of sites: " + e.Reason }

// checkPrefix returns a *BlockError if p cannot be the prefix of a client block.
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

// siteIndex maps the names of sites to their indexes in a Table.
type siteIndex map[string]SiteID

func indexSites(sites []config.Site) (siteIndex, error) {
	if len(sites) > maxSites {
		return nil, &InvalidSitesError{Reason: fmt.Sprintf("%d sites, the maximum is %d", len(sites), maxSites)}
	}
	index := make(siteIndex, len(sites))
	for i, s := range sites {
		if _, duplicate := index[s.Name]; duplicate {
			return nil, &InvalidSitesError{Reason: fmt.Sprintf("site %q is defined twice", s.Name)}
		}
		index[s.Name] = SiteID(i)
	}
	return index, nil
}

// newBlock returns the block with the given prefix and site. It returns *BlockError
// or *UnknownSiteError.
func (x siteIndex) newBlock(p netip.Prefix, site string) (clientBlock, error) {
	if err := checkPrefix(p); err != nil {
		return clientBlock{}, err
	}
	id, ok := x[site]
	if !ok {
		return clientBlock{}, &UnknownSiteError{Prefix: p, Site: site}
	}
	return clientBlock{start: alignAddr(p.Addr()), value: newRangeValue(id, uint8(p.Bits()))}, nil
}

// sortedBlocks checks the blocks and returns those of each address family in the
// order of compareBlocks.
func sortedBlocks(index siteIndex, blocks []config.ClientBlock) (v4 []packedBlock4, v6 []clientBlock, err error) {
	v4 = make([]packedBlock4, 0, len(blocks))
	for _, configured := range blocks {
		b, err := index.newBlock(configured.Prefix, configured.Site)
		if err != nil {
			return nil, nil, err
		}
		if configured.Prefix.Addr().Is4() {
			v4 = append(v4, packBlock4(b))
			continue
		}
		v6 = append(v6, b)
	}
	if err := sortBlocks4(v4); err != nil {
		return nil, nil, err
	}
	return slices.Clip(v4), slices.Clip(v6), sortBlocks6(v6)
}

// sortBlocks4 sorts the blocks in place and returns a *BlockError if two of them have
// the same prefix. Sorting by the packed value is several times faster than with a
// comparison function.
func sortBlocks4(blocks []packedBlock4) error {
	slices.Sort(blocks)
	for i := 1; i < len(blocks); i++ {
		if blocks[i-1].samePrefix(blocks[i]) {
			return duplicateBlockError(blocks[i].unpack().prefix(true))
		}
	}
	return nil
}

// sortBlocks6 is like sortBlocks4 for IPv6.
func sortBlocks6(blocks []clientBlock) error {
	slices.SortFunc(blocks, compareBlocks)
	for i := 1; i < len(blocks); i++ {
		if compareBlocks(blocks[i-1], blocks[i]) == 0 {
			return duplicateBlockError(blocks[i].prefix(false))
		}
	}
	return nil
}

func duplicateBlockError(p netip.Prefix) error {
	return &BlockError{Prefix: p, Reason: "defined twice"}
}
