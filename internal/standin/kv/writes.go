package kv

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/ports/gateway"
)

// decodeRequest decodes the request body into v. If that fails, it writes the error response and returns false.
func decodeRequest(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		message := fmt.Sprintf("decode request body: %v", err)
		writeError(ctx, fasthttp.StatusBadRequest, gateway.CodeInvalidArgument, message)
		return false
	}
	return true
}

// checkPut checks the size of the value and that the lease exists. If a check fails, it writes the error response and
// returns false.
func (s *Server) checkPut(ctx *fasthttp.RequestCtx, in *gateway.PutRequest) bool {
	if len(in.Value) > s.options.MaxValueBytes {
		writeError(ctx, fasthttp.StatusBadRequest, gateway.CodeInvalidArgument, gateway.MessageTooLarge)
		return false
	}
	if !s.store.leaseExists(int64(in.Lease)) {
		writeError(ctx, fasthttp.StatusNotFound, gateway.CodeNotFound, gateway.MessageLeaseNotFound)
		return false
	}
	return true
}

func (s *Server) preparePut(ctx *fasthttp.RequestCtx) func() any {
	var in gateway.PutRequest
	if !decodeRequest(ctx, &in) || !s.checkPut(ctx, &in) {
		return nil
	}
	return func() any {
		out := s.store.txn(&gateway.TxnRequest{Success: []gateway.RequestOp{{Put: &in}}})
		return gateway.PutResponse{Header: out.Header}
	}
}

func (s *Server) prepareDelete(ctx *fasthttp.RequestCtx) func() any {
	var in gateway.DeleteRangeRequest
	if !decodeRequest(ctx, &in) {
		return nil
	}
	return func() any {
		out := s.store.txn(&gateway.TxnRequest{Success: []gateway.RequestOp{{DeleteRange: &in}}})
		return out.Responses[0].DeleteRange
	}
}

func (s *Server) prepareTxn(ctx *fasthttp.RequestCtx) func() any {
	var in gateway.TxnRequest
	if !decodeRequest(ctx, &in) {
		return nil
	}
	for _, c := range in.Compare {
		if c.Target != gateway.CompareMod || c.Result != gateway.CompareEqual {
			message := fmt.Sprintf("comparison with target %s and result %s is not supported", c.Target, c.Result)
			writeError(ctx, fasthttp.StatusBadRequest, gateway.CodeInvalidArgument, message)
			return nil
		}
	}
	ops := append(append([]gateway.RequestOp(nil), in.Success...), in.Failure...)
	if len(in.Success) > gateway.MaxTxnOps || len(in.Failure) > gateway.MaxTxnOps {
		writeError(ctx, fasthttp.StatusBadRequest, gateway.CodeInvalidArgument, "etcdserver: too many operations in txn request")
		return nil
	}
	for _, op := range ops {
		if op.Put != nil && !s.checkPut(ctx, op.Put) {
			return nil
		}
	}
	return func() any { return s.store.txn(&in) }
}

func (s *Server) prepareGrant(ctx *fasthttp.RequestCtx) func() any {
	var in gateway.LeaseGrantRequest
	if !decodeRequest(ctx, &in) {
		return nil
	}
	if in.TTL <= 0 {
		writeError(ctx, fasthttp.StatusBadRequest, gateway.CodeOutOfRange, "etcdserver: too small lease TTL")
		return nil
	}
	return func() any {
		id := s.store.grantLease(time.Duration(in.TTL) * time.Second)
		return gateway.LeaseGrantResponse{Header: s.header(), ID: gateway.Int(id), TTL: in.TTL}
	}
}
