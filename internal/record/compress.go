package record

import (
	"sync"

	"github.com/gravitational/trace"
	"github.com/klauspost/compress/zstd"
)

// MaxPlainBytes bounds the decompressed form of a document or of a state.
const MaxPlainBytes = 64 << 20

var encoder = sync.OnceValues(func() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
})

var decoder = sync.OnceValues(func() (*zstd.Decoder, error) {
	return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxPlainBytes), zstd.WithDecoderLowmem(true))
})

// Compress returns data compressed with zstd.
func Compress(data []byte) ([]byte, error) {
	e, err := encoder()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return e.EncodeAll(data, nil), nil
}

// Decompress reads what Compress has written. It fails when the result is longer than MaxPlainBytes.
func Decompress(data []byte) ([]byte, error) {
	d, err := decoder()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	plain, err := d.DecodeAll(data, nil)
	if err != nil {
		return nil, trace.BadParameter("the data cannot be decompressed: %v", err)
	}
	return plain, nil
}
