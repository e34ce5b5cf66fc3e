// Package lookup finds the site of a client and the ordered list of entry
// instances that the client should use.
//
// Tables and views are immutable. Their owner builds a new one for each
// configuration generation or membership change and swaps it atomically. Apart
// from Handler, the package contains no I/O, clock or random source: instances
// with the same configuration and the same view give the same answers.
package lookup

import (
	"net/netip"

	"github.com/jacinthrack/jacinthrack/config"
)

// Table maps client blocks to sites by longest prefix. It is immutable and safe
// for concurrent use.
type Table struct {
	sites   []config.Site
	index   siteIndex
	ranges4 ranges4
	ranges6 ranges6
	// blocks4 and blocks6 hold the blocks themselves, sorted. Ranges do not show
	// a block that longer blocks cover completely, and removing one of those
	// makes it visible again.
	blocks4 []packed4
	blocks6 []block
}

// Match is the result of a look-up.
type Match struct {
	Site SiteID
	// Block is the longest block that contains the client.
	Block netip.Prefix
}

// NewTableFromDocument builds the table of a configuration document. It returns
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
		index:   index,
		ranges4: newRanges4(flatten(unpack4(v4))),
		ranges6: newRanges6(flatten(v6)),
		blocks4: v4,
		blocks6: v6,
	}, nil
}

// Lookup returns the longest block that contains the client and its site. An
// IPv4-mapped address is looked up as IPv4. It reports false if no block contains
// the client. It does not allocate.
func (t *Table) Lookup(client netip.Addr) (Match, bool) {
	client = client.Unmap()
	if !client.IsValid() {
		return Match{}, false
	}
	e := t.find(client)
	if e == gap {
		return Match{}, false
	}
	// The length fits the family, so Prefix cannot fail.
	block, _ := client.Prefix(int(e.bits()))
	return Match{Site: e.site(), Block: block}, true
}

func (t *Table) find(client netip.Addr) entry {
	addr := fromAddr(client)
	if client.Is4() {
		return t.ranges4.entries[t.ranges4.find(uint32(addr.hi>>32))]
	}
	return t.ranges6.entries[t.ranges6.find(addr)]
}

// Site returns the site with the given id.
func (t *Table) Site(id SiteID) config.Site { return t.sites[id] }

// Len returns the number of client blocks.
func (t *Table) Len() int { return len(t.blocks4) + len(t.blocks6) }

// SizeBytes returns the memory of the table's arrays.
func (t *Table) SizeBytes() int {
	return t.ranges4.bytes() + t.ranges6.bytes() + 8*len(t.blocks4) + blockBytes*len(t.blocks6)
}
