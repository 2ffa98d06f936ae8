package transport

import (
	"encoding/json"
	"fmt"

	"github.com/klauspost/compress/zstd"
	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// Large messages between processes are compressed: lists and configurations that one process sends to all others at the same
// time would otherwise fill its link for longer than the others wait.

const (
	minCompressedBytes = 8 << 10 // Smaller bodies are not worth the processor time.
	encodingZstd       = "zstd"
)

var (
	encoder = newEncoder() // EncodeAll is safe for concurrent use.
	decoder = newDecoder() // DecodeAll is safe for concurrent use.
)

func newEncoder() *zstd.Encoder {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(fmt.Sprintf("zstd encoder options are invalid: %v", err))
	}
	return e
}

func newDecoder() *zstd.Decoder {
	d, err := zstd.NewReader(nil, zstd.WithDecoderMaxMemory(defaultMaxResponse), zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true))
	if err != nil {
		panic(fmt.Sprintf("zstd decoder options are invalid: %v", err))
	}
	return d
}

// WriteCompressedJSON is like WriteJSON, but compresses a large body if the request accepts that.
func WriteCompressedJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		WriteError(ctx, api.Errorf(api.CodeBackendError, "encode response: %v", err))
		return
	}
	if len(data) >= minCompressedBytes && ctx.Request.Header.HasAcceptEncoding(encodingZstd) {
		data = encoder.EncodeAll(data, nil)
		ctx.Response.Header.Set(fasthttp.HeaderContentEncoding, encodingZstd)
	}
	writeJSONBody(ctx, status, data)
}

// body returns the body of a response, decompressed. Its decompressed size is limited like that of any response.
func body(resp *fasthttp.Response) ([]byte, error) {
	if string(resp.Header.Peek(fasthttp.HeaderContentEncoding)) != encodingZstd {
		return resp.Body(), nil
	}
	return decoder.DecodeAll(resp.Body(), nil)
}
