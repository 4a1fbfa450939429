package record

import (
	"github.com/gravitational/trace"
	"github.com/klauspost/compress/zstd"
)

// MaxPlainBytes bounds the decompressed form of a document or of a state.
const MaxPlainBytes = 64 << 20

// The coders are made once, when the program starts, and are safe for concurrent use.
var (
	encoder = newEncoder()
	decoder = newDecoder()
)

// newEncoder returns an encoder that has been used once, since it sets itself up on its first use.
func newEncoder() *zstd.Encoder {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(err) // the options are constant
	}
	e.EncodeAll(nil, nil)
	return e
}

func newDecoder() *zstd.Decoder {
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxPlainBytes), zstd.WithDecoderLowmem(true))
	if err != nil {
		panic(err) // the options are constant
	}
	return d
}

// Compress returns data compressed with zstd.
func Compress(data []byte) []byte { return encoder.EncodeAll(data, nil) }

// Decompress reads what Compress has written. It fails when the result is longer than MaxPlainBytes.
func Decompress(data []byte) ([]byte, error) {
	plain, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, trace.BadParameter("the data cannot be decompressed: %v", err)
	}
	return plain, nil
}
