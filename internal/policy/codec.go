package policy

import (
	"encoding/json"
	"fmt"

	"github.com/klauspost/compress/zstd"
)

const zstdWindow = 1 << 20 // Window size of the compression, in bytes.

var (
	zstdEncoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(zstdWindow))
	zstdDecoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(4*MaxConfigBytes))
)

// compressJSON encodes v as JSON and compresses it. Equal values give equal bytes.
func compressJSON(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return zstdEncoder.EncodeAll(data, nil), nil
}

// decompressJSON decodes the output of compressJSON into v. A document larger than the decoder's memory limit is an
// error.
func decompressJSON(data []byte, v any) error {
	plain, err := zstdDecoder.DecodeAll(data, nil)
	if err != nil {
		return fmt.Errorf("decompress %T: %w", v, err)
	}
	if err := json.Unmarshal(plain, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}
