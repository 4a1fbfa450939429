// Package strictjson decodes JSON with comments into structs and reports all problems at once.
//
// Each problem names the path of its field. Unknown fields, duplicate fields and values of the wrong type
// are problems. The decoded struct is validated by its go-playground/validator struct tags.
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

// Problem is one error in a document.
type Problem struct {
	// Path is the path of the field, for instance "services[2].slots", or empty for the whole document.
	Path string `json:"path"`
	// Message describes the error.
	Message string `json:"message"`
}

// String returns "path: message".
func (p Problem) String() string {
	if p.Path == "" {
		return p.Message
	}
	return p.Path + ": " + p.Message
}

// Problems is the list of all errors in a document. Its error text has one line for each problem.
type Problems []Problem

// Error implements error.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns ps as an error, or nil when ps is empty.
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

// Has reports whether a problem concerns the field at path, a field inside it, or a value that contains it.
func (ps Problems) Has(path string) bool {
	for _, p := range ps {
		if p.Path == "" || isWithin(p.Path, path) || isWithin(path, p.Path) {
			return true
		}
	}
	return false
}

// Decode decodes data, JSON with comments and trailing commas, into the struct that into points to. It
// continues after errors and returns all problems, sorted by path.
func Decode(data []byte, into any) Problems {
	if len(bytes.TrimSpace(data)) == 0 {
		return Problems{{Message: "the document is empty"}}
	}
	if tooDeep(data) {
		return Problems{{Message: fmt.Sprintf("the document is nested deeper than %d levels", maxDepth)}}
	}
	standard, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return Problems{{Message: err.Error()}}
	}
	d := decoder{}
	d.decodeValue(standard, reflect.ValueOf(into).Elem(), "")
	problems := append(d.problems, d.excludeFailed(validate(into))...)
	sort.SliceStable(problems, func(i, j int) bool { return problems[i].Path < problems[j].Path })
	return problems
}

// excludeFailed returns the problems without those of fields for which decoding has already reported a
// problem.
func (d *decoder) excludeFailed(problems Problems) Problems {
	var rest Problems
	for _, p := range problems {
		if !d.problems.Has(p.Path) {
			rest = append(rest, p)
		}
	}
	return rest
}

// isWithin reports whether path is outer or the path of a field inside it.
func isWithin(path, outer string) bool {
	rest, inside := strings.CutPrefix(path, outer)
	return inside && (rest == "" || rest[0] == '.' || rest[0] == '[')
}

type decoder struct {
	problems Problems
}

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

func (d *decoder) decodeValue(raw json.RawMessage, target reflect.Value, path string) {
	isNull := string(bytes.TrimSpace(raw)) == "null"
	if isNull && target.Kind() == reflect.Slice {
		return // encoding/json writes a nil slice as null
	}
	if isNull {
		d.problems.Add(path, "must not be null; omit the field to use its default")
		return
	}
	if reflect.PointerTo(target.Type()).Implements(unmarshalerType) {
		d.decodeScalar(raw, target, path)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeObject(raw, target, path)
	case reflect.Slice:
		d.decodeArray(raw, target, path)
	default:
		d.decodeScalar(raw, target, path)
	}
}

func (d *decoder) decodeScalar(raw json.RawMessage, target reflect.Value, path string) {
	err := json.Unmarshal(raw, target.Addr().Interface())
	if err == nil {
		return
	}
	if typeErr, ok := err.(*json.UnmarshalTypeError); ok {
		d.problems.Add(path, "found a JSON %s, expected %s", typeErr.Value, expectedJSON(typeErr.Type))
		return
	}
	d.problems.Add(path, "%v", err)
}

// expectedJSON describes the JSON values that decode into t.
func expectedJSON(t reflect.Type) string {
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

func (d *decoder) decodeObject(raw json.RawMessage, target reflect.Value, path string) {
	members, err := objectMembers(raw)
	if err != nil {
		d.problems.Add(path, "expected an object")
		return
	}
	fields := fieldIndexes(target.Type())
	seen := make(map[string]bool, len(members))
	for _, m := range members {
		memberPath := joinPath(path, m.name)
		if seen[m.name] {
			d.problems.Add(memberPath, "duplicate field")
			continue
		}
		seen[m.name] = true
		i, known := fields[m.name]
		if !known {
			d.problems.Add(memberPath, "unknown field")
			continue
		}
		d.decodeValue(m.value, target.Field(i), memberPath)
	}
}

func (d *decoder) decodeArray(raw json.RawMessage, target reflect.Value, path string) {
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		d.problems.Add(path, "expected an array")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(items), len(items)))
	for i, item := range items {
		d.decodeValue(item, target.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

type member struct {
	name  string
	value json.RawMessage
}

// objectMembers returns the members of a JSON object in document order, including duplicates.
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

func fieldIndexes(t reflect.Type) map[string]int {
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

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

var sharedValidator = sync.OnceValue(func() *validator.Validate {
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

func validate(document any) Problems {
	err := sharedValidator().Struct(document)
	if err == nil {
		return nil
	}
	fieldErrs, ok := err.(validator.ValidationErrors)
	if !ok {
		return Problems{{Message: err.Error()}}
	}
	var problems Problems
	for _, fieldErr := range fieldErrs {
		_, path, _ := strings.Cut(fieldErr.Namespace(), ".")
		problems.Add(path, "%s", describeFieldError(fieldErr))
	}
	sort.SliceStable(problems, func(i, j int) bool { return problems[i].Path < problems[j].Path })
	return problems
}

func describeFieldError(fieldErr validator.FieldError) string {
	switch fieldErr.Tag() {
	case "required":
		return "is required"
	case "ipport":
		if fieldErr.Value() == "" {
			return "is required"
		}
		return fmt.Sprintf("%q is not an IP address with a port, such as 127.0.0.1:7000", fieldErr.Value())
	case "gt":
		return fmt.Sprintf("must be greater than %s, is %v", fieldErr.Param(), fieldErr.Value())
	case "min", "gte", "max", "lte":
		return describeBoundError(fieldErr)
	case "oneof":
		return fmt.Sprintf("must be one of [%s], is %q", fieldErr.Param(), fieldErr.Value())
	case "excludesall":
		return fmt.Sprintf("must not contain a space or a slash, is %q", fieldErr.Value())
	case "unique":
		return "must not contain duplicate names"
	case "startswith":
		return fmt.Sprintf("must start with %q, is %q", fieldErr.Param(), fieldErr.Value())
	case "endswith":
		return fmt.Sprintf("must end with %q, is %q", fieldErr.Param(), fieldErr.Value())
	default:
		return fmt.Sprintf("fails the validation %q, is %v", fieldErr.Tag(), fieldErr.Value())
	}
}

// describeBoundError describes a value that is out of bounds. For a string it gives only the length, because
// the string may be a secret.
func describeBoundError(fieldErr validator.FieldError) string {
	limit := "at least"
	if fieldErr.Tag() == "max" || fieldErr.Tag() == "lte" {
		limit = "at most"
	}
	if fieldErr.Kind() == reflect.String {
		length := utf8.RuneCountInString(fieldErr.Value().(string))
		return fmt.Sprintf("must have %s %s characters, has %d", limit, fieldErr.Param(), length)
	}
	return fmt.Sprintf("must be %s %s, is %v", limit, fieldErr.Param(), fieldErr.Value())
}
