package config

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strconv"
	"strings"

	"github.com/jacinthrack/jacinthrack/selector"
)

// decoder reads JSON into a Go value and reports every value that does not fit
// its type. It replaces json.Unmarshal, which stops at the first mistake, accepts
// duplicate fields and matches field names regardless of case.
type decoder struct {
	input  *json.Decoder
	issues *issueCollector
}

// decode reads data into target, which must be a pointer to a struct, and adds the
// mistakes in data to collector. It returns false when data is not JSON; target is
// unchanged then.
func decode(data []byte, target any, collector *issueCollector) bool {
	if issue, ok := checkSyntax(data); !ok {
		collector.issues = append(collector.issues, issue)
		return false
	}
	jsonDecoder := json.NewDecoder(bytes.NewReader(data))
	jsonDecoder.UseNumber()
	d := &decoder{input: jsonDecoder, issues: collector}
	d.decodeValue(rootPath, reflect.ValueOf(target).Elem())
	return true
}

// checkSyntax reports whether data is one JSON value. If it is not, the issue
// contains the position of the syntax error.
func checkSyntax(data []byte) (Issue, bool) {
	var raw json.RawMessage
	err := json.Unmarshal(data, &raw)
	if err == nil {
		return Issue{}, true
	}
	issue := Issue{Path: "$", Value: err.Error(), Allowed: "a JSON document"}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		before := data[:min(int(syntax.Offset), len(data))]
		line := bytes.Count(before, []byte("\n")) + 1
		column := len(before) - bytes.LastIndexByte(before, '\n') - 1
		issue.Value = fmt.Sprintf("line %d, column %d: %s", line, column, syntax.Error())
	}
	return issue, false
}

// nextToken returns the next token, which is nil for a JSON null. Reading it cannot
// fail because checkSyntax has accepted the input.
func (d *decoder) nextToken() json.Token {
	token, err := d.input.Token()
	if err != nil {
		return nil
	}
	return token
}

// decodeValue reads the next JSON value into v.
func (d *decoder) decodeValue(p *path, v reflect.Value) { d.decodeToken(p, v, d.nextToken()) }

// decodeToken reads the JSON value that starts with token into v.
func (d *decoder) decodeToken(p *path, v reflect.Value, token json.Token) {
	if text, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(p, text, token)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(p, v, token)
	case reflect.Slice:
		d.decodeSlice(p, v, token)
	case reflect.Map:
		d.decodeStringMap(p, v, token)
	default:
		d.decodeScalar(p, v, token)
	}
}

// reportAndSkip reports the value that starts with token as not allowed and skips
// the rest of it.
func (d *decoder) reportAndSkip(p *path, token json.Token, allowed string) {
	d.issues.add(p, tokenText(token), allowed)
	d.skipValue(token)
}

// skipValue reads up to the end of the JSON value that starts with token.
func (d *decoder) skipValue(token json.Token) {
	depth := 0
	for {
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return
		}
		token = d.nextToken()
	}
}

// tokenText returns the text of the value that starts with token for an issue.
// Objects and lists are abbreviated.
func tokenText(token json.Token) string {
	switch token {
	case nil:
		return "null"
	case json.Delim('{'):
		return "{...}"
	case json.Delim('['):
		return "[...]"
	}
	return fmt.Sprint(token)
}

// decodeStruct reads a JSON object into a struct. A field without omitempty in its
// tag is required.
func (d *decoder) decodeStruct(p *path, v reflect.Value, token json.Token) {
	if token != json.Delim('{') {
		d.reportAndSkip(p, token, "an object")
		return
	}
	fields := jsonFieldsOf(v.Type())
	seen := make(map[string]bool, len(fields))
	for d.input.More() {
		name, _ := d.nextToken().(string)
		field, known := findJSONField(fields, name)
		switch {
		case !known:
			d.reportAndSkip(p.field(name), d.nextToken(), "no field of this name; known fields: "+joinFieldNames(fields))
		case seen[name]:
			d.reportAndSkip(p.field(name), d.nextToken(), "each field once")
		default:
			d.decodeValue(p.field(name), v.Field(field.position))
		}
		seen[name] = true
	}
	d.nextToken()
	for _, f := range fields {
		if f.required && !seen[f.name] {
			d.issues.add(p.field(f.name), "", "a value; the field is required")
		}
	}
}

// decodeSlice reads a JSON list into a slice.
func (d *decoder) decodeSlice(p *path, v reflect.Value, token json.Token) {
	if token != json.Delim('[') {
		d.reportAndSkip(p, token, "a list")
		return
	}
	for i := 0; d.input.More(); i++ {
		element := reflect.New(v.Type().Elem()).Elem()
		d.decodeValue(p.element(i), element)
		v.Set(reflect.Append(v, element))
	}
	d.nextToken()
}

// decodeStringMap reads a JSON object whose values are strings, such as labels.
func (d *decoder) decodeStringMap(p *path, v reflect.Value, token json.Token) {
	if token != json.Delim('{') {
		d.reportAndSkip(p, token, "an object of strings")
		return
	}
	v.Set(reflect.MakeMap(v.Type()))
	for d.input.More() {
		name, _ := d.nextToken().(string)
		value := d.nextToken()
		text, ok := value.(string)
		key := reflect.ValueOf(name)
		switch {
		case !ok:
			d.reportAndSkip(p.field(name), value, "a string")
		case v.MapIndex(key).IsValid():
			d.reportAndSkip(p.field(name), value, "each field once")
		default:
			v.SetMapIndex(key, reflect.ValueOf(text))
		}
	}
	d.nextToken()
}

// decodeScalar reads a string, a boolean or a number.
func (d *decoder) decodeScalar(p *path, v reflect.Value, token json.Token) {
	switch got := token.(type) {
	case string:
		if v.Kind() == reflect.String {
			v.SetString(got)
			return
		}
	case bool:
		if v.Kind() == reflect.Bool {
			v.SetBool(got)
			return
		}
	case json.Number:
		if setNumber(v, got.String()) {
			return
		}
	}
	d.reportAndSkip(p, token, allowedForKind(v.Kind()))
}

// setNumber stores the number in text in v. It returns false when v cannot represent
// it.
func setNumber(v reflect.Value, text string) bool {
	switch v.Kind() {
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(text, 10, 64)
		v.SetInt(n)
		return err == nil
	case reflect.Float64:
		n, err := strconv.ParseFloat(text, 64)
		v.SetFloat(n)
		return err == nil
	default:
		return false
	}
}

// allowedForKind describes the JSON values that a Go value of the kind accepts.
func allowedForKind(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number of at most 63 bits"
	}
}

// decodeText reads a JSON string into a value that implements
// encoding.TextUnmarshaler.
func (d *decoder) decodeText(p *path, target encoding.TextUnmarshaler, token json.Token) {
	got, ok := token.(string)
	if !ok {
		d.reportAndSkip(p, token, allowedTextForm(target, nil))
		return
	}
	if err := target.UnmarshalText([]byte(got)); err != nil {
		d.issues.add(p, got, allowedTextForm(target, err))
	}
}

// allowedTextForm describes the text form that target accepts. If err is a syntax
// error of a selector, the description includes its reason.
func allowedTextForm(target encoding.TextUnmarshaler, err error) string {
	switch target.(type) {
	case *netip.Prefix:
		return `an address block such as "10.1.0.0/24"`
	case *selector.Selector:
		form := `a selector such as "tier=stable,rack in (a,b)"`
		var syntax *selector.SyntaxError
		if errors.As(err, &syntax) {
			form += fmt.Sprintf(" (%q: %s)", syntax.Requirement, syntax.Reason)
		}
		return form
	default:
		return `a duration such as "250ms"`
	}
}

// jsonField describes a struct field by its JSON tag.
type jsonField struct {
	name     string // in JSON
	position int    // in the struct
	required bool   // the tag has no omitempty
}

func jsonFieldsOf(t reflect.Type) []jsonField {
	fields := make([]jsonField, 0, t.NumField())
	for i := range t.NumField() {
		name, options, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields = append(fields, jsonField{name: name, position: i, required: options != "omitempty"})
	}
	return fields
}

func findJSONField(fields []jsonField, name string) (jsonField, bool) {
	for _, f := range fields {
		if f.name == name {
			return f, true
		}
	}
	return jsonField{}, false
}

func joinFieldNames(fields []jsonField) string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.name
	}
	return strings.Join(names, ", ")
}
