package record

import (
	"github.com/gravitational/trace"
	"github.com/klauspost/compress/zstd"
)

// MaxDecompressedBytes is the maximum decompressed size of a manifest document, of changes to a manifest, or of
// a state snapshot.
const MaxDecompressedBytes = 64 << 20

// The encoder and the decoder are created at program start and are safe for concurrent use.
var (
	encoder = newEncoder()
	decoder = newDecoder()
)

// newEncoder returns an encoder. It compresses an empty input once, so that the encoder is initialized here and
// not at the first call of Compress.
func newEncoder() *zstd.Encoder {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(err) // the options are constant
	}
	enc.EncodeAll(nil, nil)
	return enc
}

func newDecoder() *zstd.Decoder {
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxDecompressedBytes), zstd.WithDecoderLowmem(true))
	if err != nil {
		panic(err) // the options are constant
	}
	return dec
}

// Compress returns data compressed with zstd.
func Compress(data []byte) []byte { return encoder.EncodeAll(data, nil) }

// Decompress returns the data that Compress was given. It fails if the result is longer than
// MaxDecompressedBytes.
func Decompress(data []byte) ([]byte, error) {
	decompressed, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, trace.BadParameter("failed to decompress manifest or state snapshot: %v", err)
	}
	return decompressed, nil
}
