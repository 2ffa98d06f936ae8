package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/standin"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// ChatRequest is the body of a chat completion request, including the engine's extensions to the OpenAI API.
type ChatRequest struct {
	Model               string        `json:"model"`
	Messages            []api.Message `json:"messages"`
	Stream              bool          `json:"stream,omitempty"`
	StreamOptions       StreamOptions `json:"stream_options,omitzero"`
	MaxTokens           int           `json:"max_tokens,omitempty"`
	MaxCompletionTokens int           `json:"max_completion_tokens,omitempty"`

	Priority   int    `json:"priority,omitempty"`    // Requests of higher priority start first.
	RequestID  string `json:"request_id,omitempty"`  // Identifies the request for /v1/cancel.
	ResumeText string `json:"resume_text,omitempty"` // Beginning of the answer, already delivered; the response continues after it.
	Program    string `json:"program,omitempty"`     // Program to which the cached prefix belongs.
}

// StreamOptions are the options of a streamed completion.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage,omitempty"`
}

// ChatUsage counts the tokens of a completion.
type ChatUsage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails breaks down the prompt tokens.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type toolFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

type toolCall struct {
	Index    int          `json:"index"`
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function toolFunction `json:"function"`
}

type chatMessage struct {
	Role      string     `json:"role,omitempty"`
	Content   string     `json:"content"`
	ToolCalls []toolCall `json:"tool_calls,omitempty"`
}

type chatChoice struct {
	Index        int          `json:"index"`
	Delta        *chatMessage `json:"delta,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *ChatUsage   `json:"usage,omitempty"`
}

// apiError is the error response body of the OpenAI API.
type apiError struct {
	Error apiErrorDetail `json:"error"`
}

type apiErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

// writeError responds with an error. kind is the error type of the OpenAI API.
func writeError(ctx *fasthttp.RequestCtx, status int, kind, format string, args ...any) {
	body := apiError{Error: apiErrorDetail{Message: fmt.Sprintf(format, args...), Type: kind}}
	data, err := json.Marshal(body)
	if err != nil {
		data = []byte("{}")
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

func (s *Server) serveChat(ctx *fasthttp.RequestCtx) {
	var in ChatRequest
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "invalid_request_error", "decode request body: %v", err)
		return
	}
	var fail bool
	s.faults.Update(func(f *Faults) { fail = standin.DecrementIfPositive(&f.FailNext) })
	if fail {
		writeError(ctx, fasthttp.StatusInternalServerError, "server_error", "injected engine failure")
		return
	}
	if !s.serves(in.Model) {
		writeError(ctx, fasthttp.StatusNotFound, "invalid_request_error", "model %q is not loaded", in.Model)
		return
	}
	q, err := newSequence(&in)
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "invalid_request_error", "%v", err)
		return
	}
	s.enqueue(q)
	if in.Stream {
		transport.WriteStream(ctx, "text/event-stream", func(w *bufio.Writer) { s.streamCompletion(w, &in, q) })
		return
	}
	s.writeCompletion(ctx, &in, q)
}

// newSequence validates a request and determines its answer.
func newSequence(in *ChatRequest) (*sequence, error) {
	if len(in.Messages) == 0 {
		return nil, fmt.Errorf("messages must not be empty")
	}
	limit := in.MaxTokens
	if in.MaxCompletionTokens > 0 {
		limit = in.MaxCompletionTokens
	}
	q := &sequence{id: in.RequestID, program: in.Program, priority: in.Priority, resumeText: in.ResumeText}
	q.plan = planAnswer(in.Messages, limit)
	q.history = promptBytes(in.Messages)
	q.prompt = q.history
	if in.ResumeText != "" {
		if err := q.plan.skipDelivered(in.ResumeText); err != nil {
			return nil, err
		}
		q.prompt = append(append([]byte(nil), q.history...), "assistant\x00"+in.ResumeText...)
	}
	if q.plan.toolName != "" {
		q.plan.tokens = nil
	}
	q.tokens = make(chan string, len(q.plan.tokens))
	return q, nil
}

func (s *Server) serves(model string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.models) == 0 || s.models[model]
}

func (s *Server) enqueue(q *sequence) {
	s.mu.Lock()
	s.arrivals++
	s.totals.Requests++
	q.arrival = s.arrivals
	s.waiting = append(s.waiting, q)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// cancel aborts a sequence unless it has ended.
func (s *Server) cancel(q *sequence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !q.ended {
		s.totals.Cancelled++
		s.finish(q, finishAbort)
	}
}

// nextToken waits for the next token. It returns false when the sequence has ended or the engine has stopped.
func (s *Server) nextToken(q *sequence) (string, bool) {
	select {
	case token, ok := <-q.tokens:
		return token, ok
	case <-s.stop:
		return "", false
	}
}

// responseHeader returns a response with the fields that every chunk of a completion shares.
func (s *Server) responseHeader(in *ChatRequest, q *sequence, object string) chatResponse {
	id := fmt.Sprintf("chatcmpl-%s-%d", s.bootID[:8], q.arrival)
	return chatResponse{ID: id, Object: object, Created: time.Now().Unix(), Model: in.Model}
}

// streamCompletion writes the completion as server-sent events. It cancels the sequence when the client disconnects.
func (s *Server) streamCompletion(w *bufio.Writer, in *ChatRequest, q *sequence) {
	defer s.cancel(q)
	head := s.responseHeader(in, q, "chat.completion.chunk")
	role := "assistant"
	for {
		token, ok := s.nextToken(q)
		if !ok {
			break
		}
		head.Choices = []chatChoice{{Delta: &chatMessage{Role: role, Content: token}}}
		role = ""
		if !writeEvent(w, &head) {
			return
		}
	}
	reason, usage, ok := s.outcome(q)
	if !ok {
		return
	}
	if q.plan.toolName != "" && reason == finishToolCalls {
		head.Choices = []chatChoice{{Delta: &chatMessage{Role: role, ToolCalls: q.toolCalls()}}}
		if !writeEvent(w, &head) {
			return
		}
	}
	head.Choices = []chatChoice{{Delta: &chatMessage{}, FinishReason: &reason}}
	if !writeEvent(w, &head) {
		return
	}
	if in.StreamOptions.IncludeUsage {
		head.Choices, head.Usage = []chatChoice{}, &usage
		if !writeEvent(w, &head) {
			return
		}
	}
	_, _ = w.WriteString("data: [DONE]\n\n")
	_ = w.Flush()
}

// writeEvent writes one server-sent event and reports whether it was sent.
func writeEvent(w *bufio.Writer, v *chatResponse) bool {
	data, err := json.Marshal(v)
	if err != nil {
		return false
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, _ = w.WriteString("\n\n")
	return w.Flush() == nil
}

// outcome returns the finish reason and the usage of a sequence. It returns false if the engine stopped before the
// sequence ended.
func (s *Server) outcome(q *sequence) (string, ChatUsage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prompt := countTokens(len(q.prompt))
	usage := ChatUsage{
		PromptTokens:     prompt,
		CompletionTokens: q.emitted,
		TotalTokens:      prompt + q.emitted,
		Details:          PromptDetails{CachedTokens: q.cachedTokens},
	}
	return q.finishReason, usage, q.ended
}

// toolCalls returns the tool call of the answer.
func (q *sequence) toolCalls() []toolCall {
	call := toolCall{ID: fmt.Sprintf("call_%016x", q.plan.digest), Type: "function"}
	call.Function = toolFunction{Name: q.plan.toolName, Arguments: "{}"}
	return []toolCall{call}
}

// writeCompletion waits until the sequence ends and responds with the whole completion.
func (s *Server) writeCompletion(ctx *fasthttp.RequestCtx, in *ChatRequest, q *sequence) {
	var text strings.Builder
	for {
		token, ok := s.nextToken(q)
		if !ok {
			break
		}
		text.WriteString(token)
	}
	reason, usage, ok := s.outcome(q)
	if !ok {
		standin.CloseWithoutResponse(ctx)
		return
	}
	message := &chatMessage{Role: "assistant", Content: text.String()}
	if reason == finishToolCalls {
		message.ToolCalls = q.toolCalls()
	}
	response := s.responseHeader(in, q, "chat.completion")
	response.Choices = []chatChoice{{Message: message, FinishReason: &reason}}
	response.Usage = &usage
	transport.WriteJSON(ctx, fasthttp.StatusOK, response)
}
