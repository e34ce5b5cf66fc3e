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
// its type. encoding/json stops at the first mistake, ignores duplicate fields
// and matches field names without regard to case.
type decoder struct {
	tokens *json.Decoder
	issues *issues
}

// decode reads data into target, which must be a pointer to a struct. It returns
// false when data is not JSON, so that nothing was read.
func decode(data []byte, target any, found *issues) bool {
	if issue, ok := syntaxIssue(data); !ok {
		found.list = append(found.list, issue)
		return false
	}
	tokens := json.NewDecoder(bytes.NewReader(data))
	tokens.UseNumber()
	d := &decoder{tokens: tokens, issues: found}
	d.value(root, reflect.ValueOf(target).Elem())
	return true
}

// syntaxIssue reports whether data is one JSON value, and where it is not.
func syntaxIssue(data []byte) (Issue, bool) {
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

// next returns the next token. The syntax was checked before.
func (d *decoder) next() json.Token {
	token, err := d.tokens.Token()
	if err != nil {
		return nil
	}
	return token
}

func (d *decoder) value(p *path, v reflect.Value) { d.token(p, v, d.next()) }

// token reads the value that starts with token into v.
func (d *decoder) token(p *path, v reflect.Value, token json.Token) {
	if text, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.text(p, text, token)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.object(p, v, token)
	case reflect.Slice:
		d.list(p, v, token)
	case reflect.Map:
		d.strings(p, v, token)
	default:
		d.scalar(p, v, token)
	}
}

// wrong reports a value of the wrong kind and skips the rest of it.
func (d *decoder) wrong(p *path, token json.Token, allowed string) {
	d.issues.add(p, describe(token), allowed)
	d.skip(token)
}

// skip reads up to the end of the value that starts with token.
func (d *decoder) skip(token json.Token) {
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
		token = d.next()
	}
}

func describe(token json.Token) string {
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

// object reads a struct. A field without omitempty in its tag is required.
func (d *decoder) object(p *path, v reflect.Value, token json.Token) {
	if token != json.Delim('{') {
		d.wrong(p, token, "an object")
		return
	}
	fields := fieldsOf(v.Type())
	seen := make(map[string]bool, len(fields))
	for d.tokens.More() {
		name, _ := d.next().(string)
		field, known := find(fields, name)
		switch {
		case !known:
			d.wrong(p.at(name), d.next(), "no field of this name; known fields: "+names(fields))
		case seen[name]:
			d.wrong(p.at(name), d.next(), "each field once")
		default:
			d.value(p.at(name), v.Field(field.index))
		}
		seen[name] = true
	}
	d.next()
	for _, f := range fields {
		if f.required && !seen[f.name] {
			d.issues.add(p.at(f.name), "", "a value; the field is required")
		}
	}
}

func (d *decoder) list(p *path, v reflect.Value, token json.Token) {
	if token != json.Delim('[') {
		d.wrong(p, token, "a list")
		return
	}
	for i := 0; d.tokens.More(); i++ {
		element := reflect.New(v.Type().Elem()).Elem()
		d.value(p.item(i), element)
		v.Set(reflect.Append(v, element))
	}
	d.next()
}

// strings reads an object of strings, such as labels.
func (d *decoder) strings(p *path, v reflect.Value, token json.Token) {
	if token != json.Delim('{') {
		d.wrong(p, token, "an object of strings")
		return
	}
	v.Set(reflect.MakeMap(v.Type()))
	for d.tokens.More() {
		name, _ := d.next().(string)
		value := d.next()
		text, ok := value.(string)
		key := reflect.ValueOf(name)
		switch {
		case !ok:
			d.wrong(p.at(name), value, "a string")
		case v.MapIndex(key).IsValid():
			d.wrong(p.at(name), value, "each field once")
		default:
			v.SetMapIndex(key, reflect.ValueOf(text))
		}
	}
	d.next()
}

func (d *decoder) scalar(p *path, v reflect.Value, token json.Token) {
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
	d.wrong(p, token, kindText(v.Kind()))
}

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

func kindText(kind reflect.Kind) string {
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

// text reads a value that has a text form.
func (d *decoder) text(p *path, target encoding.TextUnmarshaler, token json.Token) {
	got, ok := token.(string)
	if !ok {
		d.wrong(p, token, textForm(target, nil))
		return
	}
	if err := target.UnmarshalText([]byte(got)); err != nil {
		d.issues.add(p, got, textForm(target, err))
	}
}

// textForm describes the text form of target, and why err refused it.
func textForm(target encoding.TextUnmarshaler, err error) string {
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

// field is one JSON field of a struct.
type field struct {
	name     string
	index    int
	required bool
}

func fieldsOf(t reflect.Type) []field {
	fields := make([]field, 0, t.NumField())
	for i := range t.NumField() {
		name, options, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields = append(fields, field{name: name, index: i, required: options != "omitempty"})
	}
	return fields
}

func find(fields []field, name string) (field, bool) {
	for _, f := range fields {
		if f.name == name {
			return f, true
		}
	}
	return field{}, false
}

func names(fields []field) string {
	list := make([]string, len(fields))
	for i, f := range fields {
		list[i] = f.name
	}
	return strings.Join(list, ", ")
}
