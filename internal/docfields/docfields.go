// Package docfields lists the fields of a document type, so that tests can compare pages and examples
// with the code.
package docfields

import (
	"encoding/json"
	"reflect"
	"strings"
)

// Field is one field of a document that holds no further fields.
type Field struct {
	// Path is the path of the field, for instance "services[].slots".
	Path string
	// Value is the field's value as JSON.
	Value string
	// Required is set when the document must give the field.
	Required bool
}

// Of returns the fields of document, a struct, in the order of its type. Slices of structs are listed
// by the fields of their element type.
func Of(document any) []Field {
	return list(reflect.ValueOf(document), "")
}

func list(v reflect.Value, path string) []Field {
	var fields []Field
	for i := range v.NumField() {
		tag := v.Type().Field(i).Tag
		name, _, _ := strings.Cut(tag.Get("json"), ",")
		fields = append(fields, describe(v.Field(i), path+name, isRequired(tag))...)
	}
	return fields
}

func describe(v reflect.Value, path string, required bool) []Field {
	switch {
	case v.Kind() == reflect.Struct:
		return list(v, path+".")
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct:
		return list(reflect.New(v.Type().Elem()).Elem(), path+"[].")
	default:
		value, _ := json.Marshal(v.Interface())
		return []Field{{Path: path, Value: string(value), Required: required}}
	}
}

// isRequired reports whether a document without the field is refused when the field has no default.
func isRequired(tag reflect.StructTag) bool {
	for _, check := range strings.Split(tag.Get("validate"), ",") {
		switch {
		case check == "dive", check == "omitempty":
			return false
		case check == "required", check == "ipport", check == "gt=0", strings.HasPrefix(check, "oneof="), check == "min=16", strings.HasPrefix(check, "startswith="):
			return true
		}
	}
	return false
}
