// Package strictjson decodes JSON with comments into typed structs and reports every problem at once.
//
// Each problem names the path of its field. Unknown fields, fields given twice and values of the wrong
// type are problems. Struct tags of go-playground/validator are checked after decoding.
package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"reflect"
	"sort"
	"strings"
	"sync"
	"unicode/utf8"

	"github.com/go-playground/validator/v10"
	"github.com/tailscale/hujson"
)

// Problem is one fault of a document.
type Problem struct {
	// Path is the field, for instance "services[2].slots". It is empty for the document as a whole.
	Path string `json:"path"`
	// Message says what is wrong.
	Message string `json:"message"`
}

// String returns "path: message".
func (p Problem) String() string {
	if p.Path == "" {
		return p.Message
	}
	return p.Path + ": " + p.Message
}

// Problems is the list of all faults of a document. As an error it prints one problem a line.
type Problems []Problem

// Error implements error.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns ps as an error, or nil when there is no problem.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// Add appends a problem with a formatted message.
func (ps *Problems) Add(path, format string, args ...any) {
	*ps = append(*ps, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

// Has reports whether one of the problems is with the field at path or with a part of it or with the whole.
func (ps Problems) Has(path string) bool {
	for _, p := range ps {
		if p.Path == "" || within(p.Path, path) || within(path, p.Path) {
			return true
		}
	}
	return false
}

// Decode reads data, JSON with comments and trailing commas, into the struct that into points to.
// It decodes as much as it can and returns every problem found.
func Decode(data []byte, into any) Problems {
	if len(bytes.TrimSpace(data)) == 0 {
		return Problems{{Message: "the document is empty"}}
	}
	standard, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return Problems{{Message: err.Error()}}
	}
	d := decoder{}
	d.value(standard, reflect.ValueOf(into).Elem(), "")
	problems := append(d.problems, d.without(check(into))...)
	sort.SliceStable(problems, func(i, j int) bool { return problems[i].Path < problems[j].Path })
	return problems
}

// without returns the problems whose field, or a part of it, did not already fail to decode.
func (d *decoder) without(problems Problems) Problems {
	var rest Problems
	for _, p := range problems {
		if !d.problems.Has(p.Path) {
			rest = append(rest, p)
		}
	}
	return rest
}

// within reports whether path is outer or a part of it.
func within(path, outer string) bool {
	rest, inside := strings.CutPrefix(path, outer)
	return inside && (rest == "" || rest[0] == '.' || rest[0] == '[')
}

type decoder struct {
	problems Problems
}

var unmarshaler = reflect.TypeFor[json.Unmarshaler]()

func (d *decoder) value(raw json.RawMessage, target reflect.Value, path string) {
	isNull := string(bytes.TrimSpace(raw)) == "null"
	if isNull && target.Kind() == reflect.Slice {
		return // the encoding of an empty list in Go
	}
	if isNull {
		d.problems.Add(path, "must not be null; leave the field out to get its default")
		return
	}
	if reflect.PointerTo(target.Type()).Implements(unmarshaler) {
		d.leaf(raw, target, path)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.object(raw, target, path)
	case reflect.Slice:
		d.array(raw, target, path)
	default:
		d.leaf(raw, target, path)
	}
}

func (d *decoder) leaf(raw json.RawMessage, target reflect.Value, path string) {
	err := json.Unmarshal(raw, target.Addr().Interface())
	if err == nil {
		return
	}
	if typeErr, ok := err.(*json.UnmarshalTypeError); ok {
		d.problems.Add(path, "found a JSON %s, want %s", typeErr.Value, kindName(typeErr.Type))
		return
	}
	d.problems.Add(path, "%v", err)
}

// kindName returns the JSON word for a type.
func kindName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "a whole number within range"
	}
}

func (d *decoder) object(raw json.RawMessage, target reflect.Value, path string) {
	members, err := objectMembers(raw)
	if err != nil {
		d.problems.Add(path, "want an object")
		return
	}
	fields := fieldIndex(target.Type())
	seen := make(map[string]bool, len(members))
	for _, m := range members {
		memberPath := join(path, m.name)
		if seen[m.name] {
			d.problems.Add(memberPath, "field given twice")
			continue
		}
		seen[m.name] = true
		i, known := fields[m.name]
		if !known {
			d.problems.Add(memberPath, "unknown field")
			continue
		}
		d.value(m.value, target.Field(i), memberPath)
	}
}

func (d *decoder) array(raw json.RawMessage, target reflect.Value, path string) {
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		d.problems.Add(path, "want an array")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(items), len(items)))
	for i, item := range items {
		d.value(item, target.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

type member struct {
	name  string
	value json.RawMessage
}

// objectMembers returns the members of a JSON object in their order, duplicates included.
func objectMembers(raw json.RawMessage) ([]member, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	open, err := dec.Token()
	if err != nil {
		return nil, err
	}
	if open != json.Delim('{') {
		return nil, fmt.Errorf("not an object")
	}
	var members []member
	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			return nil, err
		}
		m := member{name: name.(string)}
		if err := dec.Decode(&m.value); err != nil {
			return nil, err
		}
		members = append(members, m)
	}
	return members, nil
}

func fieldIndex(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		fields[jsonName(t.Field(i))] = i
	}
	return fields
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

var newValidator = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	mustRegister(v, "ipport", isIPPort)
	return v
})

func mustRegister(v *validator.Validate, tag string, fn validator.Func) {
	if err := v.RegisterValidation(tag, fn); err != nil {
		panic(err)
	}
}

func isIPPort(f validator.FieldLevel) bool {
	address, err := netip.ParseAddrPort(f.Field().String())
	return err == nil && address.Port() != 0
}

func check(document any) Problems {
	err := newValidator().Struct(document)
	if err == nil {
		return nil
	}
	faults, ok := err.(validator.ValidationErrors)
	if !ok {
		return Problems{{Message: err.Error()}}
	}
	var problems Problems
	for _, fault := range faults {
		_, path, _ := strings.Cut(fault.Namespace(), ".")
		problems.Add(path, "%s", describe(fault))
	}
	sort.SliceStable(problems, func(i, j int) bool { return problems[i].Path < problems[j].Path })
	return problems
}

func describe(fault validator.FieldError) string {
	switch fault.Tag() {
	case "required":
		return "must be given"
	case "ipport":
		if fault.Value() == "" {
			return "must be given"
		}
		return fmt.Sprintf("%q is not an IP number with a port, such as 127.0.0.1:7000", fault.Value())
	case "gt":
		return fmt.Sprintf("must be greater than %s, is %v", fault.Param(), fault.Value())
	case "min", "gte", "max", "lte":
		return describeBound(fault)
	case "oneof":
		return fmt.Sprintf("must be one of [%s], is %q", fault.Param(), fault.Value())
	case "excludesall":
		return fmt.Sprintf("must not hold a space or a slash, is %q", fault.Value())
	case "unique":
		return "must not hold the same name twice"
	case "startswith":
		return fmt.Sprintf("must start with %q, is %q", fault.Param(), fault.Value())
	case "endswith":
		return fmt.Sprintf("must end with %q, is %q", fault.Param(), fault.Value())
	default:
		return fmt.Sprintf("fails the check %q, is %v", fault.Tag(), fault.Value())
	}
}

// describeBound says which bound was passed. It gives the length of a string and not the string, which
// may be a secret.
func describeBound(fault validator.FieldError) string {
	limit := "at least"
	if fault.Tag() == "max" || fault.Tag() == "lte" {
		limit = "at most"
	}
	if fault.Kind() == reflect.String {
		length := utf8.RuneCountInString(fault.Value().(string))
		return fmt.Sprintf("must have %s %s characters, has %d", limit, fault.Param(), length)
	}
	return fmt.Sprintf("must be %s %s, is %v", limit, fault.Param(), fault.Value())
}
