package config

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
)

// ShardCount is the number of shards of client blocks. At 230,000 blocks a shard
// holds about 900, so one changed block transfers about 15 KB.
const ShardCount = 256

// Manifest names the sections of one document by their content.
type Manifest struct {
	Base Hash `json:"base"` // the document without its client blocks
	// Shards are the client blocks by ShardOf. The zero hash is an empty shard.
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

// ParseManifest decodes a manifest that has the hash want. It returns
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

// SectionHashes returns the hashes of all sections, each once.
func (m Manifest) SectionHashes() []Hash {
	list := []Hash{m.Base}
	for _, h := range m.Shards {
		if !h.IsZero() {
			list = append(list, h)
		}
	}
	return list
}

// SectionError reports a section with the right hash that cannot be used.
type SectionError struct {
	Hash Hash
	Err  error
}

func (e *SectionError) Error() string { return fmt.Sprintf("section %s: %v", e.Hash, e.Err) }

// Unwrap returns the cause.
func (e *SectionError) Unwrap() error { return e.Err }

// ShardOf returns the shard of a client block, the first byte of the SHA-256 of
// its text form.
func ShardOf(prefix netip.Prefix) int {
	return int(sha256.Sum256([]byte(prefix.String()))[0])
}

// shard holds client blocks by site. It names each site once, which makes it a
// quarter of the size of a list of blocks.
type shard map[string][]netip.Prefix

// Split returns the sections of a valid document. Equal documents have equal
// sections, whatever the order of their client blocks.
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
	for i, s := range shards(doc.ClientBlocks) {
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

func addSection(sections map[Hash][]byte, data []byte) Hash {
	h := HashOf(data)
	sections[h] = data
	return h
}

func shards(blocks []ClientBlock) [ShardCount]shard {
	var all [ShardCount]shard
	for _, b := range blocks {
		i := ShardOf(b.Prefix)
		if all[i] == nil {
			all[i] = make(shard)
		}
		all[i][b.Site] = append(all[i][b.Site], b.Prefix)
	}
	return all
}

// encodeShard returns the encoding of s. Blocks are sorted, and encoding/json
// sorts the sites, so that equal shards have equal encodings.
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

// FetchFunc returns the section with the hash.
type FetchFunc func(Hash) ([]byte, error)

// Join returns the document of a manifest, with its client blocks in order of
// address. It verifies the hash of each section. It returns *HashMismatchError,
// *SectionError or the error of fetch. The document is not validated.
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

// joinShards returns the client blocks of all shards in order of address.
func joinShards(m Manifest, fetch FetchFunc) ([]ClientBlock, error) {
	var decoded [ShardCount]shard
	count := 0
	for i, h := range m.Shards {
		if h.IsZero() {
			continue
		}
		var err error
		if decoded[i], err = decodeShard(i, h, fetch); err != nil {
			return nil, err
		}
		count += decoded[i].size()
	}
	if count == 0 {
		return nil, nil
	}
	blocks := make([]ClientBlock, 0, count)
	for _, s := range decoded {
		for site, prefixes := range s {
			for _, prefix := range prefixes {
				blocks = append(blocks, ClientBlock{Prefix: prefix, Site: site})
			}
		}
	}
	slices.SortFunc(blocks, func(a, b ClientBlock) int { return comparePrefixes(a.Prefix, b.Prefix) })
	return blocks, nil
}

// size returns the number of client blocks.
func (s shard) size() int {
	total := 0
	for _, prefixes := range s {
		total += len(prefixes)
	}
	return total
}

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
