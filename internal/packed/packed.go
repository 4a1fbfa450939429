// Package packed writes the records that the product keeps in the store: msgpack, with structs as arrays, so that a field
// can only be added at the end of its record.
package packed

import (
	"bytes"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
)

// Encode returns the stored form of a record.
func Encode(record any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseArrayEncodedStructs(true)
	if err := encoder.Encode(record); err != nil {
		return nil, trace.Wrap(err)
	}
	return buffer.Bytes(), nil
}

// Decode reads the stored form into record.
func Decode(value []byte, record any) error {
	return trace.Wrap(msgpack.Unmarshal(value, record))
}
