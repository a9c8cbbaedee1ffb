package tgentry

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"

	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgframe"
)

// chatRequest has the fields of OpenAI's chat completion request that the entry reads.
//
//nolint:tagliatelle // OpenAI's names
type chatRequest struct {
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	MaxTokens           int           `json:"max_tokens"`
	Messages            []chatMessage `json:"messages"`
	Model               string        `json:"model"`
	Stream              bool          `json:"stream"`
}

type chatMessage struct {
	Role string `json:"role"`
}

const defaultExpectedTokens = 256 // of a request without a token limit

// parseChat decodes and checks the fields of a chat request that the entry reads; upstreams check the others.
func parseChat(body []byte) (*chatRequest, *tgcall.Failure) {
	var req chatRequest
	var wrongType *json.UnmarshalTypeError
	err := json.Unmarshal(body, &req)
	invalid := func(format string, args ...any) (*chatRequest, *tgcall.Failure) {
		return nil, tgcall.NotRunFailure(tgcall.CodeRequestInvalid, format, args...)
	}
	switch {
	case errors.As(err, &wrongType) && wrongType.Field == "":
		return invalid("request body must be a JSON object, not %s", wrongType.Value)
	case errors.As(err, &wrongType):
		return invalid("%q has the wrong type %s", wrongType.Field, wrongType.Value)
	case err != nil:
		return invalid("request body is not JSON: %v", err)
	case req.Model == "":
		return invalid("%q is missing", "model")
	case len(req.Messages) == 0:
		return invalid("%q must have at least one message", "messages")
	case req.MaxTokens < 0 || req.MaxCompletionTokens < 0:
		return invalid("the token limit is negative")
	}
	for i, m := range req.Messages {
		if m.Role == "" {
			return invalid("message %d has no role", i)
		}
	}
	return &req, nil
}

func (e *Entry) handleChat(c fiber.Ctx) error {
	cfg := e.node.Config()
	x, failure := e.newExecute(c, cfg)
	if failure != nil {
		return e.fail(c, failure)
	}
	req, failure := parseChat(x.Body)
	if failure != nil {
		return e.fail(c, failure)
	}
	x.Idempotent, x.Stream = true, req.Stream
	if x.ExpectedTokens = max(req.MaxTokens, req.MaxCompletionTokens); x.ExpectedTokens == 0 {
		x.ExpectedTokens = defaultExpectedTokens
	}
	x.Headers = withContentType(x.Headers)
	if x.Pool = modelPool(cfg, req.Model); x.Pool == "" {
		return e.fail(c, tgcall.NotRunFailure(tgcall.CodeModelUnknown, "model %q does not exist", req.Model))
	}
	return e.serve(c, x)
}

// withContentType replaces the content type of a chat request by JSON, whatever its caller declared.
func withContentType(headers []tgframe.Header) []tgframe.Header {
	headers = slices.DeleteFunc(headers, func(h tgframe.Header) bool { return h.Name == fiber.HeaderContentType })
	return append(headers, tgframe.Header{Name: fiber.HeaderContentType, Value: fiber.MIMEApplicationJSON})
}

// modelPool returns the name of the pool that serves a model, or "" if there is none.
func modelPool(cfg *tgconfig.Config, model string) string {
	for name, p := range cfg.Pools {
		if p.Kind == tgconfig.ModelPool && slices.Contains(p.Models, model) {
			return name
		}
	}
	return ""
}

func (e *Entry) handleModels(c fiber.Ctx) error {
	cfg := e.node.Config()
	if _, failure := e.authenticate(c, cfg); failure != nil {
		return e.fail(c, failure)
	}
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"` //nolint:tagliatelle // OpenAI's name
	}
	models := []model{}
	for name, p := range cfg.Pools {
		for _, id := range p.Models {
			models = append(models, model{ID: id, Object: "model", OwnedBy: name})
		}
	}
	slices.SortFunc(models, func(a, b model) int { return strings.Compare(a.ID, b.ID) })
	requestID(c)
	return c.JSON(fiber.Map{"data": models, "object": "list"})
}
