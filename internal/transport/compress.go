package transport

import (
	"bytes"
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
	if data, ok := encodeCompressed(ctx, v); ok {
		writeJSONBody(ctx, status, data)
	}
}

// SentTracker is told of the memory that an answer takes.
type SentTracker interface {
	Encoded(bytes int) // The encoded answer has this size; what was needed to encode it is free.
	Sent()             // The answer has been sent, or cannot be.
}

// WriteTrackedJSON is like WriteCompressedJSON, and tells tracker when the answer needs less memory.
func WriteTrackedJSON(ctx *fasthttp.RequestCtx, status int, v any, tracker SentTracker) {
	data, ok := encodeCompressed(ctx, v)
	if !ok {
		tracker.Sent()
		return
	}
	tracker.Encoded(len(data))
	writeJSONBody(ctx, status, nil)
	ctx.SetBodyStream(&trackedBody{Reader: bytes.NewReader(data), tracker: tracker}, len(data))
}

// trackedBody is the body of an answer. fasthttp closes it when it has been written, or when writing has failed.
type trackedBody struct {
	*bytes.Reader
	tracker SentTracker
}

// Close implements io.Closer.
func (b *trackedBody) Close() error {
	b.tracker.Sent()
	return nil
}

// encodeCompressed returns v as JSON, compressed if it is large and the request accepts that. If it cannot be encoded, it writes an
// error and reports false.
func encodeCompressed(ctx *fasthttp.RequestCtx, v any) ([]byte, bool) {
	data, err := json.Marshal(v)
	if err != nil {
		WriteError(ctx, api.Errorf(api.CodeBackendError, "encode response: %v", err))
		return nil, false
	}
	if len(data) >= minCompressedBytes && ctx.Request.Header.HasAcceptEncoding(encodingZstd) {
		data = encoder.EncodeAll(data, nil)
		ctx.Response.Header.Set(fasthttp.HeaderContentEncoding, encodingZstd)
	}
	return data, true
}

// body returns the body of a response, decompressed. Its decompressed size is limited like that of any response.
func body(resp *fasthttp.Response) ([]byte, error) {
	if string(resp.Header.Peek(fasthttp.HeaderContentEncoding)) != encodingZstd {
		return resp.Body(), nil
	}
	return decoder.DecodeAll(resp.Body(), nil)
}
