package config

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// fieldRows returns the first cells of the field tables of the page by heading,
// with the word "Optional" for fields that may be left out.
func fieldRows(t *testing.T) map[string]map[string]bool {
	t.Helper()
	page, err := os.ReadFile("../docs/configuration.md")
	must.NoError(t, err)
	rows, heading := map[string]map[string]bool{}, ""
	for line := range strings.Lines(string(page)) {
		if title, ok := strings.CutPrefix(line, "## "); ok {
			heading = strings.TrimSpace(title)
			rows[heading] = map[string]bool{}
		}
		if cells := strings.Split(line, "|"); len(cells) > 2 && strings.HasPrefix(cells[1], " `") {
			name := strings.Trim(cells[1], " `")
			must.MapNotContainsKey(t, rows[heading], name)
			rows[heading][name] = strings.HasPrefix(cells[2], " Optional. ")
		}
	}
	return rows
}

// Guards against a field reference that misses a field, names one that does not
// exist, or says wrongly whether it may be left out.
func TestFieldReferenceMatchesTypes(t *testing.T) {
	rows := fieldRows(t)
	document := reflect.TypeFor[Document]()
	types := map[string]reflect.Type{"Document": document, "`policy`": reflect.TypeFor[Policy]()}
	for i := range document.NumField() {
		if f := document.Field(i); f.Type.Kind() == reflect.Slice {
			types["Elements of `"+strings.Split(f.Tag.Get("json"), ",")[0]+"`"] = f.Type.Elem()
		}
	}
	must.MapLen(t, len(types), rows)
	for heading, typ := range types {
		want := map[string]bool{}
		for _, f := range fieldsOf(typ) {
			want[f.name] = !f.required
		}
		must.Eq(t, want, rows[heading], must.Sprint(heading))
	}
}
