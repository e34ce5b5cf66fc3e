package settings

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const settingsPagePath = "../docs/settings.md"

// documentedFields returns the fields in the tables of the settings page: by heading and
// field name, whether the field is optional.
func documentedFields(t *testing.T) map[string]map[string]bool {
	t.Helper()
	page, err := os.ReadFile(settingsPagePath)
	must.NoError(t, err)
	fields, heading := map[string]map[string]bool{}, ""
	for line := range strings.Lines(string(page)) {
		if title, ok := strings.CutPrefix(line, "## "); ok {
			heading = strings.TrimSpace(title)
			fields[heading] = map[string]bool{}
		}
		if cells := strings.Split(line, "|"); len(cells) > 2 && strings.HasPrefix(cells[1], " `") {
			name := strings.Trim(cells[1], " `")
			must.MapNotContainsKey(t, fields[heading], name)
			fields[heading][name] = strings.HasPrefix(cells[2], " Optional. ")
		}
	}
	return fields
}

// jsonFields returns the JSON fields of a type: by field name, whether the field is optional.
// tls counts as required, since only one of tls and insecure_peers may be omitted.
func jsonFields(typ reflect.Type) map[string]bool {
	fields := map[string]bool{}
	for i := range typ.NumField() {
		name, rest, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
		fields[name] = strings.Contains(rest, "omitempty") && name != "tls"
	}
	return fields
}

// Guards against a field reference that lacks a field, has a field that does not exist, or is
// wrong about whether a field is optional.
func TestFieldReferenceMatchesTypes(t *testing.T) {
	page := documentedFields(t)
	must.Eq(t, jsonFields(reflect.TypeFor[Entry]()), page["Settings"])
	must.Eq(t, jsonFields(reflect.TypeFor[TLS]()), page["`tls`"])
}

// Guards against an example on the settings page that ParseEntry rejects.
func TestExampleOnPageIsAccepted(t *testing.T) {
	page, err := os.ReadFile(settingsPagePath)
	must.NoError(t, err)
	block := regexp.MustCompile("(?s)```json\n(.*?)```").FindSubmatch(page)
	must.SliceLen(t, 2, block)
	_, err = ParseEntry(strings.NewReader(string(block[1])))
	must.NoError(t, err)
}
