package config

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
)

// ShardCount is the number of shards that client blocks are divided into. With 230,000
// blocks a shard contains about 900, so that a change of one block transfers about
// 15 KB.
const ShardCount = 256

// Manifest contains the hashes of the sections of one document.
type Manifest struct {
	Base Hash `json:"base"` // the document without its client blocks
	// Shards contains the hashes of the shards of client blocks, indexed by ShardOf.
	// The zero hash means that the shard is empty.
	Shards [ShardCount]Hash `json:"shards"`
}

// Encode returns the canonical encoding of the manifest.
func (m Manifest) Encode() ([]byte, error) {
	data, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode manifest: %w", err)
	}
	return data, nil
}

// ParseManifest verifies that data has the hash want and decodes it. It returns
// *HashMismatchError or *SectionError.
func ParseManifest(data []byte, want Hash) (Manifest, error) {
	if err := VerifyHash(want, data); err != nil {
		return Manifest{}, err
	}
	var m Manifest
	if err := json.Unmarshal(data, &m); err != nil {
		return Manifest{}, &SectionError{Hash: want, Err: err}
	}
	return m, nil
}

// SectionHashes returns the hashes of the base section and of the non-empty shards.
func (m Manifest) SectionHashes() []Hash {
	hashes := []Hash{m.Base}
	for _, h := range m.Shards {
		if !h.IsZero() {
			hashes = append(hashes, h)
		}
	}
	return hashes
}

// SectionError reports a section or manifest that has the expected hash but invalid
// content.
type SectionError struct {
	Hash Hash
	Err  error
}

func (e *SectionError) Error() string { return fmt.Sprintf("section %s: %v", e.Hash, e.Err) }

// Unwrap returns the cause.
func (e *SectionError) Unwrap() error { return e.Err }

// ShardOf returns the index of the shard of a client block: the first byte of the
// SHA-256 of the prefix in text form.
func ShardOf(prefix netip.Prefix) int {
	return int(sha256.Sum256([]byte(prefix.String()))[0])
}

// shard contains the prefixes of client blocks by the name of their site. Since each
// site name occurs once, its encoding has a quarter of the size of that of a list of
// client blocks.
type shard map[string][]netip.Prefix

// Split returns the manifest and the encoded sections of a valid document, by hash.
// The order of the client blocks does not affect the result.
func Split(doc *Document) (Manifest, map[Hash][]byte, error) {
	var m Manifest
	sections := make(map[Hash][]byte)
	base := *doc
	base.ClientBlocks = nil
	data, err := base.Marshal()
	if err != nil {
		return Manifest{}, nil, err
	}
	m.Base = addSection(sections, data)
	for i, s := range groupIntoShards(doc.ClientBlocks) {
		if len(s) == 0 {
			continue
		}
		data, err := encodeShard(s)
		if err != nil {
			return Manifest{}, nil, err
		}
		m.Shards[i] = addSection(sections, data)
	}
	return m, sections, nil
}

// addSection adds a section to sections and returns its hash.
func addSection(sections map[Hash][]byte, data []byte) Hash {
	h := HashOf(data)
	sections[h] = data
	return h
}

func groupIntoShards(blocks []ClientBlock) [ShardCount]shard {
	var shards [ShardCount]shard
	for _, b := range blocks {
		i := ShardOf(b.Prefix)
		if shards[i] == nil {
			shards[i] = make(shard)
		}
		shards[i][b.Site] = append(shards[i][b.Site], b.Prefix)
	}
	return shards
}

// encodeShard returns the canonical encoding of s: it sorts the prefixes of each site,
// and encoding/json sorts the sites.
func encodeShard(s shard) ([]byte, error) {
	for _, prefixes := range s {
		slices.SortFunc(prefixes, comparePrefixes)
	}
	data, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode client blocks: %w", err)
	}
	return data, nil
}

// FetchFunc returns the encoded section with the hash. The caller verifies the hash.
type FetchFunc func(Hash) ([]byte, error)

// Join fetches the sections of a manifest, verifies their hashes and returns the
// document, with its client blocks sorted by address. The document is not validated.
// It returns *HashMismatchError, *SectionError or the error of fetch.
func Join(m Manifest, fetch FetchFunc) (*Document, error) {
	data, err := fetchVerified(m.Base, fetch)
	if err != nil {
		return nil, err
	}
	doc := &Document{}
	if err := json.Unmarshal(data, doc); err != nil {
		return nil, &SectionError{Hash: m.Base, Err: err}
	}
	if len(doc.ClientBlocks) > 0 {
		return nil, &SectionError{Hash: m.Base, Err: &ValueError{Value: "client_blocks", Allowed: "client blocks in shards only"}}
	}
	blocks, err := joinShards(m, fetch)
	if err != nil {
		return nil, err
	}
	doc.ClientBlocks = blocks
	return doc, nil
}

// joinShards returns the client blocks of all shards, sorted by address.
func joinShards(m Manifest, fetch FetchFunc) ([]ClientBlock, error) {
	var shards [ShardCount]shard
	blockCount := 0
	for i, h := range m.Shards {
		if h.IsZero() {
			continue
		}
		var err error
		if shards[i], err = decodeShard(i, h, fetch); err != nil {
			return nil, err
		}
		blockCount += shards[i].blockCount()
	}
	if blockCount == 0 {
		return nil, nil
	}
	blocks := make([]ClientBlock, 0, blockCount)
	for _, s := range shards {
		for site, prefixes := range s {
			for _, prefix := range prefixes {
				blocks = append(blocks, ClientBlock{Prefix: prefix, Site: site})
			}
		}
	}
	slices.SortFunc(blocks, func(a, b ClientBlock) int { return comparePrefixes(a.Prefix, b.Prefix) })
	return blocks, nil
}

// blockCount returns the number of client blocks in the shard.
func (s shard) blockCount() int {
	total := 0
	for _, prefixes := range s {
		total += len(prefixes)
	}
	return total
}

// decodeShard fetches the shard with the index and checks that its blocks belong to it.
func decodeShard(index int, h Hash, fetch FetchFunc) (shard, error) {
	data, err := fetchVerified(h, fetch)
	if err != nil {
		return nil, err
	}
	var s shard
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, &SectionError{Hash: h, Err: err}
	}
	for _, prefixes := range s {
		for _, prefix := range prefixes {
			if ShardOf(prefix) != index {
				return nil, &SectionError{Hash: h, Err: &ValueError{Value: prefix.String(), Allowed: fmt.Sprintf("a block of shard %d", index)}}
			}
		}
	}
	return s, nil
}

// fetchVerified fetches the section with the hash and verifies the hash.
func fetchVerified(h Hash, fetch FetchFunc) ([]byte, error) {
	data, err := fetch(h)
	if err != nil {
		return nil, fmt.Errorf("fetch section %s: %w", h, err)
	}
	if err := VerifyHash(h, data); err != nil {
		return nil, err
	}
	return data, nil
}
