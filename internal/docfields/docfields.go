// Package docfields lists the fields of a document type with their JSON paths, their values and whether they
// are required. Tests use it to compare the documentation and the examples with the code.
package docfields

import (
	"encoding/json"
	"reflect"
	"strings"
)

// Field is a leaf field of a document, that is, one without fields of its own.
type Field struct {
	// Path is the JSON path of the field, for instance "services[].slots".
	Path string
	// Value is the value of the field, encoded as JSON.
	Value string
	// Required is set when a document must contain the field.
	Required bool
}

// List returns the leaf fields of document, a struct, in the order of their declaration. For a slice of structs it
// returns the fields of the element type.
func List(document any) []Field {
	return structFields(reflect.ValueOf(document), "")
}

func structFields(v reflect.Value, path string) []Field {
	var fields []Field
	for i := range v.NumField() {
		tag := v.Type().Field(i).Tag
		name, _, _ := strings.Cut(tag.Get("json"), ",")
		fields = append(fields, leafFields(v.Field(i), path+name, isRequired(tag))...)
	}
	return fields
}

func leafFields(v reflect.Value, path string, required bool) []Field {
	switch {
	case v.Kind() == reflect.Struct:
		return structFields(v, path+".")
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct:
		return structFields(reflect.New(v.Type().Elem()).Elem(), path+"[].")
	default:
		value, _ := json.Marshal(v.Interface())
		return []Field{{Path: path, Value: string(value), Required: required}}
	}
}

// isRequired reports whether the validate tag of a field without a default rejects a document that lacks the field.
func isRequired(tag reflect.StructTag) bool {
	for _, rule := range strings.Split(tag.Get("validate"), ",") {
		switch {
		case rule == "dive", rule == "omitempty":
			return false
		case rule == "required", rule == "ipport", rule == "gt=0", strings.HasPrefix(rule, "oneof="), rule == "min=16", strings.HasPrefix(rule, "startswith="):
			return true
		}
	}
	return false
}
