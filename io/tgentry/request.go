package tgentry

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"

	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgframe"
)

// Header fields of the callers' interface.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerOutcome        = "Tanagergrade-Outcome"
	headerRequestID      = "Tanagergrade-Request-Id"
)

// authenticate returns the name of the caller's account.
func (e *Entry) authenticate(c fiber.Ctx, cfg *tgconfig.Config) (string, *tgcall.Failure) {
	key, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !ok {
		return "", tgcall.NotRunFailure(tgcall.CodeAccountUnknown, "the Authorization header has no bearer key")
	}
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	for name, a := range cfg.Accounts {
		if a.KeyHash == hash {
			return name, nil
		}
	}
	return "", tgcall.NotRunFailure(tgcall.CodeAccountUnknown, "the bearer key belongs to no account")
}

// newExecute returns the part of a request that does not depend on its pool.
func (e *Entry) newExecute(c fiber.Ctx, cfg *tgconfig.Config) (*tgframe.Execute, *tgcall.Failure) {
	account, failure := e.authenticate(c, cfg)
	if failure != nil {
		return nil, failure
	}
	body := c.Body()
	if len(body) > cfg.Settings.MaxRequestBytes {
		return nil, tgcall.NotRunFailure(tgcall.CodeRequestTooLarge,
			"request body has %d bytes, limit is %d", len(body), cfg.Settings.MaxRequestBytes)
	}
	x := &tgframe.Execute{
		Account:  account,
		Body:     append([]byte(nil), body...),
		Deadline: time.Now().Add(cfg.Settings.RequestTimeout),
		Method:   strings.Clone(c.Method()),
		Path:     strings.Clone(c.OriginalURL()),
		Priority: tgcall.Priority(cfg.Accounts[account].Priority),
		Request:  requestID(c),
	}
	if v := c.Get(fiber.HeaderContentType); v != "" {
		x.Headers = append(x.Headers, tgframe.Header{Name: fiber.HeaderContentType, Value: strings.Clone(v)})
	}
	return x, nil
}

// requestID returns the ID of the request, which is in the header of its answer.
func requestID(c fiber.Ctx) string {
	if id := string(c.Response().Header.Peek(headerRequestID)); id != "" {
		return id
	}
	id := uuid.NewString()
	c.Set(headerRequestID, id)
	return id
}

type chatRequest struct {
	MaxTokens int    `json:"max_tokens"` //nolint:tagliatelle // OpenAI's name
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
}

const defaultWork = 256 // tokens, if the caller gives no max_tokens

func (e *Entry) handleChat(c fiber.Ctx) error {
	cfg := e.node.Config()
	x, failure := e.newExecute(c, cfg)
	if failure != nil {
		return e.fail(c, failure)
	}
	var req chatRequest
	if err := json.Unmarshal(x.Body, &req); err != nil {
		return e.fail(c, tgcall.NotRunFailure(tgcall.CodeRequestInvalid, "request body: %v", err))
	}
	x.Idempotent, x.Stream, x.Work = true, req.Stream, req.MaxTokens
	if x.Work <= 0 {
		x.Work = defaultWork
	}
	for name, p := range cfg.Pools {
		if p.Kind == tgconfig.ModelPool && slices.Contains(p.Models, req.Model) {
			x.Pool = name
			return e.serve(c, x)
		}
	}
	return e.fail(c, tgcall.NotRunFailure(tgcall.CodeModelUnknown, "model %q does not exist", req.Model))
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
	return c.JSON(fiber.Map{"data": models, "object": "list"})
}

func (e *Entry) handlePlain(c fiber.Ctx) error {
	cfg := e.node.Config()
	path := c.Path()
	for name, p := range cfg.Pools {
		if p.Kind != tgconfig.PlainPool || !strings.HasPrefix(path, p.PathPrefix) {
			continue
		}
		x, failure := e.newExecute(c, cfg)
		if failure != nil {
			return e.fail(c, failure)
		}
		x.Pool, x.Work = name, 1
		if failure := classify(c, p, x); failure != nil {
			return e.fail(c, failure)
		}
		return e.serve(c, x)
	}
	return e.fail(c, tgcall.NotRunFailure(tgcall.CodeRouteUnknown, "no pool serves %s", path))
}

// classify sets whether x is idempotent and takes its idempotency key.
func classify(c fiber.Ctx, p tgconfig.Pool, x *tgframe.Execute) *tgcall.Failure {
	if op, ok := p.Operation(x.Method, c.Path()); ok {
		x.Idempotent = op.Idempotent
		if op.Priority != "" {
			x.Priority = tgcall.Priority(op.Priority)
		}
	}
	if x.Idempotent {
		return nil
	}
	x.IdempotencyKey = strings.Clone(c.Get(headerIdempotencyKey))
	if x.IdempotencyKey == "" {
		return tgcall.NotRunFailure(tgcall.CodeIdempotencyKeyRequired, "this request needs an Idempotency-Key header")
	}
	if id, err := uuid.Parse(x.IdempotencyKey); err != nil || id.Version() != 7 {
		return tgcall.NotRunFailure(tgcall.CodeIdempotencyKeyInvalid, "Idempotency-Key is not a UUIDv7")
	}
	return nil
}
