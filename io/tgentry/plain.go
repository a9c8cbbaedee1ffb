package tgentry

import (
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgclaim"
	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgframe"
)

// handlePlain serves requests to pools of plain HTTP upstreams, which are chosen by their path prefix.
func (e *Entry) handlePlain(c fiber.Ctx) error {
	cfg := e.node.Config()
	name, ok := cfg.PlainPool(c.Path())
	if !ok {
		return e.fail(c, tgcall.NotRunFailure(tgcall.CodeRouteUnknown, "no pool serves %s", c.Path()))
	}
	x, failure := e.newExecute(c, cfg)
	if failure != nil {
		return e.fail(c, failure)
	}
	x.Pool, x.ExpectedTokens = name, 1
	if failure := applyOperation(c, cfg.Pools[name], x); failure != nil {
		return e.fail(c, failure)
	}
	return e.serve(c, x)
}

// applyOperation sets whether x is idempotent, and its priority, from the pool's operation that matches the request. A
// request that is not idempotent needs a valid idempotency key.
func applyOperation(c fiber.Ctx, p tgconfig.Pool, x *tgframe.Execute) *tgcall.Failure {
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
	return checkIdempotencyKey(x.IdempotencyKey, time.Now())
}

// checkIdempotencyKey refuses keys that have no creation time or one in the future, since their claims could not be
// expired by age. It also refuses a key that is so old that its claim may have been dropped: whether an earlier request
// with that key ran is then unknown.
func checkIdempotencyKey(key string, now time.Time) *tgcall.Failure {
	keyTime, err := tgclaim.KeyTime(key)
	switch {
	case err != nil:
		return tgcall.NotRunFailure(tgcall.CodeIdempotencyKeyInvalid, "Idempotency-Key is not a UUIDv7")
	case now.Sub(keyTime) > tgclaim.MaxKeyAge:
		return tgcall.UnknownFailure(tgcall.CodeIdempotencyKeyExpired, "Idempotency-Key is older than %s", tgclaim.MaxKeyAge)
	case keyTime.Sub(now) > tgclaim.MaxClockSkew:
		return tgcall.NotRunFailure(tgcall.CodeIdempotencyKeyInvalid, "Idempotency-Key is from the future")
	default:
		return nil
	}
}
