// Package recordcodec encodes and decodes the records kept in the store. Records are msgpack with structs encoded as
// arrays, so new fields can only be added at the end of a struct.
package recordcodec

import (
	"bytes"
	"sync"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxPooledBytes is the size of the largest buffer that is kept for reuse.
const maxPooledBytes = 64 << 10

// buffers holds the buffers in which records are encoded.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Encode returns the msgpack encoding of a record.
func Encode(record any) ([]byte, error) {
	buffer := buffers.Get().(*bytes.Buffer)
	encoder := msgpack.GetEncoder()
	defer func() {
		msgpack.PutEncoder(encoder)
		if buffer.Cap() <= maxPooledBytes {
			buffers.Put(buffer)
		}
	}()
	buffer.Reset()
	encoder.Reset(buffer)
	encoder.UseArrayEncodedStructs(true)
	if err := encoder.Encode(record); err != nil {
		return nil, trace.Wrap(err)
	}
	return bytes.Clone(buffer.Bytes()), nil
}

// maxDepth is the deepest nesting of arrays and maps in a record. Records of this program nest less than half as deep.
const maxDepth = 32

// Decode decodes value into record, which must be a pointer. It fails before it decodes anything if value is shorter than the
// lengths that it contains or nested deeper than maxDepth: the library allocates an array by its length, of which a few bytes can
// name gigabytes, and calls itself for each level, which ends the process when the stack is full.
func Decode(value []byte, record any) error {
	if err := check(value); err != nil {
		return trace.Wrap(err, "malformed record")
	}
	return trace.Wrap(msgpack.Unmarshal(value, record))
}

// check reads the first value in the bytes, without a recursion.
func check(value []byte) error {
	decoder := msgpack.GetDecoder()
	defer msgpack.PutDecoder(decoder)
	decoder.Reset(bytes.NewReader(value))
	var open [maxDepth]int // number of values that each open array or map still has
	depth := 0
	for {
		count, err := readHeader(decoder)
		if err != nil {
			return err
		}
		if count > 0 {
			if depth == maxDepth {
				return trace.LimitExceeded("nested deeper than %d levels", maxDepth)
			}
			open[depth] = count
			depth++
		}
		for depth > 0 && open[depth-1] == 0 {
			depth--
		}
		if depth == 0 {
			return nil
		}
		open[depth-1]--
	}
}

// readHeader reads a value, or the header of an array or map, and returns the number of values that follow as its contents.
func readHeader(decoder *msgpack.Decoder) (count int, err error) {
	code, err := decoder.PeekCode()
	if err != nil {
		return 0, err
	}
	switch {
	case msgpcode.IsFixedArray(code), code == msgpcode.Array16, code == msgpcode.Array32:
		return decoder.DecodeArrayLen()
	case msgpcode.IsFixedMap(code), code == msgpcode.Map16, code == msgpcode.Map32:
		count, err = decoder.DecodeMapLen()
		return 2 * count, err
	}
	return 0, decoder.Skip()
}
