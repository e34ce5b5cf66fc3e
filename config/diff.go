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
	// Path is the JSON path of the value. List elements are identified by their
	// name instead of their position, as in $.routes["stock-check"].deadline.
	Path string          `json:"path"`
	Old  json.RawMessage `json:"old,omitempty"` // absent when the value was added
	New  json.RawMessage `json:"new,omitempty"` // absent when the value was removed
}

// Diff returns the differences between two documents in a fixed order. A different
// order of list elements is not a difference. A nil document counts as empty.
func Diff(before, after *Document) []Change {
	if before == nil {
		before = &Document{}
	}
	if after == nil {
		after = &Document{}
	}
	var d changeCollector
	diffLists(&d, "$.regions", before.Regions, after.Regions, func(r Region) string { return r.Name })
	diffLists(&d, "$.zones", before.Zones, after.Zones, func(z Zone) string { return z.Name })
	diffLists(&d, "$.links", before.Links, after.Links, linkName)
	diffLists(&d, "$.services", before.Services, after.Services, func(s Service) string { return s.Name })
	diffLists(&d, "$.backend_servers", before.BackendServers, after.BackendServers, func(s BackendServer) string { return s.Name })
	diffLists(&d, "$.customers", before.Customers, after.Customers, func(c Customer) string { return c.Name })
	diffLists(&d, "$.routes", before.Routes, after.Routes, func(r Route) string { return r.Name })
	diffLists(&d, "$.shifts", before.Shifts, after.Shifts, func(s Shift) string { return s.Name })
	diffLists(&d, "$.sites", before.Sites, after.Sites, func(s Site) string { return s.Name })
	diffLists(&d, "$.client_blocks", before.ClientBlocks, after.ClientBlocks, func(b ClientBlock) string { return b.Prefix.String() })
	d.diffFields("$.policy", reflect.ValueOf(before.Policy), reflect.ValueOf(after.Policy))
	return d.changes
}

// linkName returns a name for a link, made of the names of its regions.
func linkName(l Link) string {
	pair := sortedRegionPair(l.From, l.To)
	return pair[0] + "/" + pair[1]
}

// changeCollector collects the differences between two documents.
type changeCollector struct{ changes []Change }

// addChange records a difference. A nil value means that the value is absent.
func (d *changeCollector) addChange(path string, before, after any) {
	d.changes = append(d.changes, Change{Path: path, Old: encodeOptional(before), New: encodeOptional(after)})
}

// encodeOptional returns the JSON form of value, or nil when value is nil.
func encodeOptional(value any) json.RawMessage {
	if value == nil {
		return nil
	}
	data, err := json.Marshal(value)
	if err != nil {
		// Only a document that was not validated can contain a number, such as
		// NaN, that has no JSON form.
		return json.RawMessage(strconv.Quote(err.Error()))
	}
	return data
}

// diffLists compares two lists whose elements are identified by name.
func diffLists[T any](d *changeCollector, path string, before, after []T, name func(T) string) {
	oldElements, newElements := elementsByName(before, name), elementsByName(after, name)
	for _, key := range sortedUnion(oldElements, newElements) {
		elementPath := path + "[" + strconv.Quote(key) + "]"
		oldElement, inOld := oldElements[key]
		newElement, inNew := newElements[key]
		switch {
		case !inOld:
			d.addChange(elementPath, nil, newElement)
		case !inNew:
			d.addChange(elementPath, oldElement, nil)
		default:
			d.diffFields(elementPath, reflect.ValueOf(*oldElement), reflect.ValueOf(*newElement))
		}
	}
}

func elementsByName[T any](list []T, name func(T) string) map[string]*T {
	byName := make(map[string]*T, len(list))
	for i := range list {
		byName[name(list[i])] = &list[i]
	}
	return byName
}

// sortedUnion returns the keys of both maps, sorted.
func sortedUnion[V any](a, b map[string]V) []string {
	keys := slices.AppendSeq(make([]string, 0, len(a)), maps.Keys(a))
	for key := range b {
		if _, ok := a[key]; !ok {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// diffFields compares two structs of the same type.
func (d *changeCollector) diffFields(path string, before, after reflect.Value) {
	for _, f := range jsonFieldsOf(before.Type()) {
		fieldPath := path + fieldSuffix(f.name)
		oldValue, newValue := before.Field(f.position).Interface(), after.Field(f.position).Interface()
		if oldLabels, ok := oldValue.(selector.Labels); ok {
			d.diffLabels(fieldPath, oldLabels, newValue.(selector.Labels))
			continue
		}
		if reflect.DeepEqual(oldValue, newValue) || bytes.Equal(encodeOptional(oldValue), encodeOptional(newValue)) {
			continue
		}
		d.addChange(fieldPath, oldValue, newValue)
	}
}

func (d *changeCollector) diffLabels(path string, before, after selector.Labels) {
	for _, name := range sortedUnion(before, after) {
		oldValue, inOld := before[name]
		newValue, inNew := after[name]
		labelPath := path + fieldSuffix(name)
		switch {
		case !inOld:
			d.addChange(labelPath, nil, newValue)
		case !inNew:
			d.addChange(labelPath, oldValue, nil)
		case oldValue != newValue:
			d.addChange(labelPath, oldValue, newValue)
		}
	}
}
