// Package recordcodec encodes and decodes the records kept in the store. Records are msgpack with structs encoded as
// arrays, so new fields can only be added at the end of a struct.
package recordcodec

import (
	"bytes"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
)

// Encode returns the msgpack encoding of a record.
func Encode(record any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseArrayEncodedStructs(true)
	if err := encoder.Encode(record); err != nil {
		return nil, trace.Wrap(err)
	}
	return buffer.Bytes(), nil
}

// Decode decodes value into record, which must be a pointer.
func Decode(value []byte, record any) error {
	return trace.Wrap(msgpack.Unmarshal(value, record))
}
