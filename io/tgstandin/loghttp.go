package tgstandin

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Handle serves the log's HTTP interface.
func (l *Log) Handle(ctx *fasthttp.RequestCtx) {
	name, ok := strings.CutSuffix(strings.TrimPrefix(string(ctx.Path()), "/v1/streams/"), "/records")
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if ctx.IsPost() {
		offset, err := l.append(name, ctx.PostBody())
		writeReply(ctx, map[string]uint64{"offset": offset}, err)
		return
	}
	args := ctx.QueryArgs()
	from, err := strconv.ParseUint(string(args.Peek("from")), 10, 64)
	if err != nil {
		ctx.Error("from is not an offset", fasthttp.StatusBadRequest)
		return
	}
	wait := time.Duration(args.GetUintOrZero("waitMs")) * time.Millisecond
	page, err := l.read(name, from, args.GetUintOrZero("max"), wait)
	writeReply(ctx, page, err)
}

func writeReply(ctx *fasthttp.RequestCtx, v any, err error) {
	switch {
	case err == nil:
		writeJSON(ctx, v)
	case errors.Is(err, errReplyLost):
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(closeConn)
	case errors.Is(err, errTruncated):
		writeJSON(ctx, v)
		ctx.SetStatusCode(fasthttp.StatusGone)
	default:
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
	}
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
