// Package lookup finds the site of a client and the ordered list of entry
// instances that the client should use.
//
// Tables and views are immutable. Their owner builds new ones for each configuration
// generation or membership change and replaces the old ones atomically. Apart from
// Handler, the package contains no I/O, clock or random source: instances with the
// same configuration and the same view give the same answers.
package lookup

import (
	"net/netip"

	"github.com/jacinthrack/jacinthrack/config"
)

// Table maps client blocks to sites by longest prefix. It is immutable and safe
// for concurrent use.
type Table struct {
	sites   []config.Site
	siteIDs siteIndex
	ranges4 rangeTable4
	ranges6 rangeTable6
	// blocks4 and blocks6 contain all blocks in the order of compareBlocks. They
	// are needed for updates: a block that longer blocks cover completely has no
	// range, but gets one when one of the longer blocks is removed.
	blocks4 []packedBlock4
	blocks6 []clientBlock
}

// Match is the result of a look-up in a Table.
type Match struct {
	Site SiteID
	// Block is the longest block that contains the client.
	Block netip.Prefix
}

// NewTableFromDocument returns the table of a configuration document. It returns
// *BlockError, *UnknownSiteError or *InvalidSitesError.
func NewTableFromDocument(doc *config.Document) (*Table, error) {
	return NewTable(doc.Sites, doc.ClientBlocks)
}

// NewTable returns the table of the given sites and client blocks. It returns
// *BlockError, *UnknownSiteError or *InvalidSitesError.
func NewTable(sites []config.Site, blocks []config.ClientBlock) (*Table, error) {
	index, err := indexSites(sites)
	if err != nil {
		return nil, err
	}
	v4, v6, err := sortedBlocks(index, blocks)
	if err != nil {
		return nil, err
	}
	return &Table{
		sites:   append([]config.Site(nil), sites...),
		siteIDs: index,
		ranges4: newRangeTable4(flatten(unpackBlocks4(v4))),
		ranges6: newRangeTable6(flatten(v6)),
		blocks4: v4,
		blocks6: v6,
	}, nil
}

// Lookup returns the longest block that contains the client, and the site of the
// block, or false if no block contains the client. An IPv4-mapped address is looked
// up as IPv4. Lookup does not allocate.
func (t *Table) Lookup(client netip.Addr) (Match, bool) {
	client = client.Unmap()
	if !client.IsValid() {
		return Match{}, false
	}
	v := t.findValue(client)
	if v == noBlock {
		return Match{}, false
	}
	// The length fits the family, so Prefix cannot fail.
	block, _ := client.Prefix(int(v.prefixLen()))
	return Match{Site: v.site(), Block: block}, true
}

// findValue returns the value of the range that contains the client, which must not be
// an IPv4-mapped address.
func (t *Table) findValue(client netip.Addr) rangeValue {
	addr := alignAddr(client)
	if client.Is4() {
		return t.ranges4.values[t.ranges4.find(uint32(addr.hi>>32))]
	}
	return t.ranges6.values[t.ranges6.find(addr)]
}

// Site returns the site with the given ID, which must be from a Match of this table.
func (t *Table) Site(id SiteID) config.Site { return t.sites[id] }

// Len returns the number of client blocks.
func (t *Table) Len() int { return len(t.blocks4) + len(t.blocks6) }

// SizeBytes returns the size of the table's arrays in bytes.
func (t *Table) SizeBytes() int {
	return t.ranges4.sizeBytes() + t.ranges6.sizeBytes() + 8*len(t.blocks4) + clientBlockBytes*len(t.blocks6)
}
