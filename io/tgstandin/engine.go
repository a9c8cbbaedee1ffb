package tgstandin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Engine is a stand-in of a model engine whose answer is a fixed function of the prompt.
type Engine struct {
	Executions atomic.Int64  // valid requests received
	Interval   time.Duration // between tokens
	Name       string
	inFlight   atomic.Int64
	dead       atomic.Bool
}

// NewEngine returns an engine that takes interval for each token.
func NewEngine(name string, interval time.Duration) *Engine {
	return &Engine{Interval: interval, Name: name}
}

// InFlight returns the number of answers being generated.
func (e *Engine) InFlight() int64 { return e.inFlight.Load() }

// SetDead makes the engine close the connection of each new request without an answer, and end the streams in flight
// before their last token.
func (e *Engine) SetDead(dead bool) { e.dead.Store(dead) }

type chatRequest struct {
	MaxTokens int `json:"max_tokens"` //nolint:tagliatelle // OpenAI's name
	Messages  []struct {
		Content string `json:"content"`
		Role    string `json:"role"`
	} `json:"messages"`
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

const defaultMaxTokens = 16

// AnswerTokens returns the tokens with which every engine answers prompt.
func AnswerTokens(prompt string, maxTokens int) []string {
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	tokens := make([]string, maxTokens)
	for i := range tokens {
		tokens[i] = fmt.Sprintf("%s.%d ", prompt, i)
	}
	return tokens
}

// Handle serves the engine's HTTP interface.
func (e *Engine) Handle(ctx *fasthttp.RequestCtx) {
	if e.dead.Load() {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(closeConn)
		return
	}
	if string(ctx.Path()) != "/v1/chat/completions" {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	var req chatRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil || len(req.Messages) == 0 {
		ctx.Error(`{"error":{"message":"invalid request"}}`, fasthttp.StatusBadRequest)
		return
	}
	e.Executions.Add(1)
	tokens := AnswerTokens(req.Messages[len(req.Messages)-1].Content, req.MaxTokens)
	if !req.Stream {
		e.inFlight.Add(1)
		defer e.inFlight.Add(-1)
		time.Sleep(time.Duration(len(tokens)) * e.Interval)
		writeJSON(ctx, completion(req.Model, strings.Join(tokens, ""), len(tokens)))
		return
	}
	from := 0
	_, _ = fmt.Sscanf(string(ctx.Request.Header.Peek("X-Resume-From")), "%d", &from)
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { e.stream(w, req.Model, tokens, from) })
}

func (e *Engine) stream(w *bufio.Writer, model string, tokens []string, from int) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	for i := from; i < len(tokens); i++ {
		time.Sleep(e.Interval)
		if e.dead.Load() {
			return
		}
		data, err := json.Marshal(chunk(model, tokens[i]))
		if err != nil {
			return
		}
		fmt.Fprintf(w, "data: %s\n\n", data)
		if w.Flush() != nil {
			return
		}
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
	_ = w.Flush()
}

func completion(model, content string, tokens int) any {
	return map[string]any{
		"choices": []any{map[string]any{
			"finish_reason": "stop", "index": 0,
			"message": map[string]string{"content": content, "role": "assistant"},
		}},
		"id": "chatcmpl-standin", "model": model, "object": "chat.completion",
		"usage": map[string]int{"completion_tokens": tokens, "prompt_tokens": 1, "total_tokens": tokens + 1},
	}
}

func chunk(model, content string) any {
	return map[string]any{
		"choices": []any{map[string]any{"delta": map[string]string{"content": content}, "index": 0}},
		"id":      "chatcmpl-standin", "model": model, "object": "chat.completion.chunk",
	}
}
