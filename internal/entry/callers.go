package entry

import (
	"bufio"
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/eventlog"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

const programsPath = "/v1/programs"

// serveCallers handles requests at the callers' port.
func (e *Entry) serveCallers(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if e.serveHealth(ctx, path) {
		return
	}
	if path == programsPath || strings.HasPrefix(path, programsPath+"/") {
		e.serveProgram(ctx, path, true)
		return
	}
	transport.WriteError(ctx, api.Errorf(api.CodeNotFound, "path %s does not exist", path))
}

// serveProgram handles a request for programsPath or a path below it. forward says whether the request may be forwarded to
// another entry.
func (e *Entry) serveProgram(ctx *fasthttp.RequestCtx, path string, forward bool) {
	parts := strings.Split(strings.TrimPrefix(strings.TrimPrefix(path, programsPath), "/"), "/")
	switch {
	case len(parts) == 1 && parts[0] == "":
		e.serveCreate(ctx, forward)
	case len(parts) == 1:
		e.serveProgramPath(ctx, parts[0], "", forward)
	case len(parts) == 2 && parts[1] == "history":
		e.serveProgramPath(ctx, parts[0], "history", forward)
	case len(parts) >= 4 && parts[1] == "calls" && forward:
		e.serveCall(ctx, parts[0], parts[2], parts[3:])
	default:
		transport.WriteError(ctx, api.Errorf(api.CodeNotFound, "path %s does not exist", path))
	}
}

// serveCall handles one call of a program.
func (e *Entry) serveCall(ctx *fasthttp.RequestCtx, program, seqText string, rest []string) {
	seq, err := strconv.ParseUint(seqText, 10, 64)
	if err != nil {
		transport.WriteError(ctx, api.Errorf(api.CodeBadRequest, "seq %q is not a positive whole number", seqText))
		return
	}
	if e.isDraining() {
		transport.WriteError(ctx, api.Errorf(api.CodeDraining, "entry %s is shutting down", e.settings.ID))
		return
	}
	call := api.OwnerCall{
		Program: program,
		Seq:     seq,
		Digest:  requestDigest(string(ctx.Method()), strings.Join(rest, "/")+"?"+string(ctx.QueryArgs().QueryString()), ctx.PostBody()),
	}
	switch {
	case len(rest) == 2 && rest[0] == "chat" && rest[1] == "completions":
		e.serveChat(ctx, call)
	case len(rest) >= 2 && rest[0] == "services":
		e.serveService(ctx, call, rest[1], strings.Join(rest[2:], "/"))
	default:
		transport.WriteError(ctx, api.Errorf(api.CodeNotFound, "calls are chat/completions or services/{service}/{path}, not %s", strings.Join(rest, "/")))
	}
}

// serveChat handles a model call.
func (e *Entry) serveChat(ctx *fasthttp.RequestCtx, call api.OwnerCall) {
	if !ctx.IsPost() {
		transport.WriteError(ctx, api.Errorf(api.CodeMethodNotAllowed, "chat/completions accepts POST, not %s", ctx.Method()))
		return
	}
	chat, err := parseChat(ctx.PostBody())
	if err == nil {
		err = e.admit(api.KindModel, chat.model)
	}
	if err == nil && chat.maxTokens == 0 {
		chat.maxTokens = e.maxTokensOf(chat.model)
	}
	if err != nil {
		transport.WriteError(ctx, err)
		return
	}
	call.Model = &api.ModelCall{Model: chat.model, Messages: chat.messages, MaxTokens: chat.maxTokens, Params: chat.params}
	log := e.startRelay(call)
	id := "chatcmpl-" + call.Program + "-" + strconv.FormatUint(call.Seq, 10)
	created := time.Now().Unix()
	if chat.stream {
		e.streamChat(ctx, log, id, chat, created)
		return
	}
	last := e.waitForLastEvent(log)
	if last.Kind == api.EventError {
		transport.WriteError(ctx, last.Error)
		return
	}
	transport.WriteJSON(ctx, fasthttp.StatusOK, fullCompletion(id, chat.model, created, log.Text(), last.Result))
}

// streamChat waits for the first event and then answers with a stream. If the first event is an error, it answers with an
// error response instead.
func (e *Entry) streamChat(ctx *fasthttp.RequestCtx, log *eventlog.Log, id string, chat *chatRequest, created int64) {
	first, _, err := log.Next(context.Background(), 0)
	if err == nil && len(first) > 0 && first[0].Kind == api.EventError {
		transport.WriteError(ctx, first[0].Error)
		return
	}
	transport.WriteStream(ctx, "text/event-stream", func(w *bufio.Writer) {
		writeChat(newChatWriter(w, id, chat.model, created, chat.includeUsage), log)
	})
}

// writeChat writes the events of a log as a chat stream until the log ends or the caller disconnects.
func writeChat(c *chatWriter, log *eventlog.Log) {
	for offset := 0; ; {
		events, ended, err := log.Next(context.Background(), offset)
		if err != nil {
			return
		}
		offset += len(events)
		for i := range events {
			if c.writeEvent(&events[i]) != nil {
				return
			}
		}
		if ended {
			return
		}
	}
}

// writeEvent writes text, the end of the answer or an error. It ignores events of other kinds.
func (c *chatWriter) writeEvent(event *api.Event) error {
	switch event.Kind {
	case api.EventDelta:
		return c.writeDelta(event.Text)
	case api.EventDone:
		return c.writeDone(event.Result)
	case api.EventError:
		return c.writeError(event.Error)
	default:
		return nil
	}
}

// waitForLastEvent waits for the end of the log and returns its last event.
func (e *Entry) waitForLastEvent(log *eventlog.Log) api.Event {
	for offset := 0; ; {
		events, ended, _ := log.Next(context.Background(), offset)
		offset += len(events)
		if ended {
			last, _ := log.Last()
			return last
		}
	}
}

// serveService handles a call of a plain HTTP service.
func (e *Entry) serveService(ctx *fasthttp.RequestCtx, call api.OwnerCall, service, path string) {
	if err := e.admit(api.KindService, service); err != nil {
		transport.WriteError(ctx, err)
		return
	}
	if query := ctx.QueryArgs().QueryString(); len(query) > 0 {
		path += "?" + string(query)
	}
	call.HTTP = &api.ServiceCall{
		Service:     service,
		Method:      string(ctx.Method()),
		Path:        path,
		ContentType: string(ctx.Request.Header.ContentType()),
		Body:        append([]byte(nil), ctx.PostBody()...),
	}
	last := e.waitForLastEvent(e.startRelay(call))
	if last.Kind == api.EventError {
		transport.WriteError(ctx, last.Error)
		return
	}
	transport.SetCode(ctx, api.CodeOK)
	ctx.SetStatusCode(last.Result.Status)
	ctx.SetContentType(last.Result.ContentType)
	ctx.SetBody(last.Result.Body)
}

// admit returns an error if this entry must not start the call: it has no configuration that it may serve with, or no
// listed sidecar serves the model or service.
func (e *Entry) admit(kind api.CallKind, service string) *api.Error {
	if _, err := e.servingConfig(); err != nil {
		return err
	}
	if !e.fleet.serves(kind, service) {
		return api.Errorf(api.CodeUnknownService, "no backend server serves %s %q", kind, service)
	}
	return nil
}
