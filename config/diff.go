package config

import (
	"bytes"
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strconv"

	"github.com/jacinthrack/jacinthrack/selector"
)

// Change is one difference between two documents.
type Change struct {
	// Path names list elements by their name instead of their position, for
	// example $.routes["stock-check"].deadline.
	Path string          `json:"path"`
	Old  json.RawMessage `json:"old,omitempty"` // absent when the value was added
	New  json.RawMessage `json:"new,omitempty"` // absent when the value was removed
}

// Diff returns the differences between two documents in a fixed order. The order
// of list elements is not a difference. A nil document is an empty one.
func Diff(before, after *Document) []Change {
	if before == nil {
		before = &Document{}
	}
	if after == nil {
		after = &Document{}
	}
	var d differ
	diffList(&d, "$.regions", before.Regions, after.Regions, func(r Region) string { return r.Name })
	diffList(&d, "$.zones", before.Zones, after.Zones, func(z Zone) string { return z.Name })
	diffList(&d, "$.links", before.Links, after.Links, linkName)
	diffList(&d, "$.services", before.Services, after.Services, func(s Service) string { return s.Name })
	diffList(&d, "$.backend_servers", before.BackendServers, after.BackendServers, func(s BackendServer) string { return s.Name })
	diffList(&d, "$.customers", before.Customers, after.Customers, func(c Customer) string { return c.Name })
	diffList(&d, "$.routes", before.Routes, after.Routes, func(r Route) string { return r.Name })
	diffList(&d, "$.shifts", before.Shifts, after.Shifts, func(s Shift) string { return s.Name })
	diffList(&d, "$.sites", before.Sites, after.Sites, func(s Site) string { return s.Name })
	diffList(&d, "$.client_blocks", before.ClientBlocks, after.ClientBlocks, func(b ClientBlock) string { return b.Prefix.String() })
	d.fields("$.policy", reflect.ValueOf(before.Policy), reflect.ValueOf(after.Policy))
	return d.changes
}

// linkName names a link by its pair of regions.
func linkName(l Link) string {
	pair := linkPair(l.From, l.To)
	return pair[0] + "/" + pair[1]
}

type differ struct{ changes []Change }

// add records a difference. A nil value is absent.
func (d *differ) add(path string, before, after any) {
	d.changes = append(d.changes, Change{Path: path, Old: encode(before), New: encode(after)})
}

// encode returns the JSON of a value, or nil for an absent one.
func encode(value any) json.RawMessage {
	if value == nil {
		return nil
	}
	data, err := json.Marshal(value)
	if err != nil {
		// A number that JSON cannot hold, in a document that was not validated.
		return json.RawMessage(strconv.Quote(err.Error()))
	}
	return data
}

func diffList[T any](d *differ, path string, before, after []T, name func(T) string) {
	was, is := byName(before, name), byName(after, name)
	for _, key := range union(was, is) {
		at := path + "[" + strconv.Quote(key) + "]"
		old, had := was[key]
		current, has := is[key]
		switch {
		case !had:
			d.add(at, nil, current)
		case !has:
			d.add(at, old, nil)
		default:
			d.fields(at, reflect.ValueOf(*old), reflect.ValueOf(*current))
		}
	}
}

func byName[T any](list []T, name func(T) string) map[string]*T {
	found := make(map[string]*T, len(list))
	for i := range list {
		found[name(list[i])] = &list[i]
	}
	return found
}

// union returns the keys of both maps, sorted.
func union[V any](a, b map[string]V) []string {
	keys := slices.AppendSeq(make([]string, 0, len(a)), maps.Keys(a))
	for key := range b {
		if _, ok := a[key]; !ok {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// fields compares two structs of the same type.
func (d *differ) fields(path string, before, after reflect.Value) {
	for _, f := range fieldsOf(before.Type()) {
		at := path + fieldStep(f.name)
		was, is := before.Field(f.index).Interface(), after.Field(f.index).Interface()
		if old, ok := was.(selector.Labels); ok {
			d.labels(at, old, is.(selector.Labels))
			continue
		}
		if reflect.DeepEqual(was, is) || bytes.Equal(encode(was), encode(is)) {
			continue
		}
		d.add(at, was, is)
	}
}

func (d *differ) labels(path string, before, after selector.Labels) {
	for _, name := range union(before, after) {
		old, had := before[name]
		current, has := after[name]
		at := path + fieldStep(name)
		switch {
		case !had:
			d.add(at, nil, current)
		case !has:
			d.add(at, old, nil)
		case old != current:
			d.add(at, old, current)
		}
	}
}
