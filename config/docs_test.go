package config

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// documentedFields reads the field tables of docs/configuration.md. It returns the
// field names in the first column of each table by the heading above it, and whether
// the description of the field begins with "Optional".
func documentedFields(t *testing.T) map[string]map[string]bool {
	t.Helper()
	page, err := os.ReadFile("../docs/configuration.md")
	must.NoError(t, err)
	optionalByField, heading := map[string]map[string]bool{}, ""
	for line := range strings.Lines(string(page)) {
		if title, ok := strings.CutPrefix(line, "## "); ok {
			heading = strings.TrimSpace(title)
			optionalByField[heading] = map[string]bool{}
		}
		if cells := strings.Split(line, "|"); len(cells) > 2 && strings.HasPrefix(cells[1], " `") {
			name := strings.Trim(cells[1], " `")
			must.MapNotContainsKey(t, optionalByField[heading], name)
			optionalByField[heading][name] = strings.HasPrefix(cells[2], " Optional. ")
		}
	}
	return optionalByField
}

// Checks that the field reference lists exactly the fields of the types and marks the
// optional ones.
func TestFieldReferenceMatchesTypes(t *testing.T) {
	documented := documentedFields(t)
	document := reflect.TypeFor[Document]()
	types := map[string]reflect.Type{"Document": document, "`policy`": reflect.TypeFor[Policy]()}
	for i := range document.NumField() {
		if f := document.Field(i); f.Type.Kind() == reflect.Slice {
			types["Elements of `"+strings.Split(f.Tag.Get("json"), ",")[0]+"`"] = f.Type.Elem()
		}
	}
	must.MapLen(t, len(types), documented)
	for heading, typ := range types {
		want := map[string]bool{}
		for _, f := range jsonFieldsOf(typ) {
			want[f.name] = !f.required
		}
		must.Eq(t, want, documented[heading], must.Sprint(heading))
	}
}
