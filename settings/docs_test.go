package settings

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const settingsPage = "../docs/settings.md"

// pageFields returns the fields of the tables on the page by heading, with
// whether they may be left out.
func pageFields(t *testing.T) map[string]map[string]bool {
	t.Helper()
	page, err := os.ReadFile(settingsPage)
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

// typeFields returns the JSON fields of a type, with whether they may be left out.
// Only one of tls and insecure_peers may be left out, so tls counts as required.
func typeFields(typ reflect.Type) map[string]bool {
	fields := map[string]bool{}
	for i := range typ.NumField() {
		name, rest, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
		fields[name] = strings.Contains(rest, "omitempty") && name != "tls"
	}
	return fields
}

// Guards against a field reference that misses a field, names one that does not
// exist, or says wrongly whether it may be left out.
func TestFieldReferenceMatchesTypes(t *testing.T) {
	page := pageFields(t)
	must.Eq(t, typeFields(reflect.TypeFor[Entry]()), page["Settings"])
	must.Eq(t, typeFields(reflect.TypeFor[TLS]()), page["`tls`"])
}

// Guards against an example on the page that the program refuses.
func TestExampleOnPageIsAccepted(t *testing.T) {
	page, err := os.ReadFile(settingsPage)
	must.NoError(t, err)
	block := regexp.MustCompile("(?s)```json\n(.*?)```").FindSubmatch(page)
	must.SliceLen(t, 2, block)
	_, err = ParseEntry(strings.NewReader(string(block[1])))
	must.NoError(t, err)
}
