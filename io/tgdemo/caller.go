package tgdemo

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"tanagergrade/core/tgcall"
	"tanagergrade/io/tghttp"
	"tanagergrade/io/tgstandin"
)

// kind is a kind of request that the demo sends.
type kind string

const (
	kindBalance kind = "balance" // reads the ledger; idempotent
	kindDraft   kind = "draft"   // streams the answer of a model
	kindGrouped kind = "grouped" // streams the answer of the rank group's model
	kindPromise kind = "promise" // adds an entry to the ledger; not idempotent
	kindSummary kind = "summary" // gets the answer of a model in one piece
)

var kinds = []kind{kindBalance, kindDraft, kindGrouped, kindPromise, kindSummary}

const requestTimeout = 70 * time.Second // longer than the request timeout of the system

// request is one request of the generated load.
type request struct {
	account string
	key     string // idempotency key; sent only with a promise
	kind    kind
	number  int
}

// result is the result of one request as the caller sees it.
type result struct {
	firstToken time.Duration   // from the request to the first token of a stream
	tokenGaps  []time.Duration // between successive tokens of a stream
	outcome    tgcall.Outcome
	complete   bool // whether the whole expected answer was received; only for answered requests
}

// caller sends requests as a client of the system would, without retries.
type caller struct{ http *fasthttp.Client }

func newCaller() *caller {
	c := tghttp.NewClient()
	c.MaxConnsPerHost, c.ReadTimeout, c.StreamResponseBody = 2*concurrency, requestTimeout, true
	return &caller{http: c}
}

func (q request) prompt() string { return fmt.Sprintf("prompt-%d", q.number) }

func (q request) model() string {
	if q.kind == kindGrouped {
		return groupModel
	}
	return draftModel
}

// send sends q to the entry at address and waits for the whole answer.
func (c *caller) send(address netip.AddrPort, q request) result {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.Set("Authorization", "Bearer "+bearerKey(q.account))
	path := plainRoute
	switch q.kind {
	case kindBalance:
	case kindDraft, kindGrouped, kindSummary:
		path = "/v1/chat/completions"
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBodyString(fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":%q}]}`,
			q.model(), q.kind != kindSummary, q.prompt()))
	case kindPromise:
		req.Header.SetMethod(fasthttp.MethodPost)
		req.Header.Set("Idempotency-Key", q.key)
		req.SetBodyString(fmt.Sprintf(`{"amount":%d}`, q.number))
	}
	req.SetRequestURI("http://" + address.String() + path)
	started := time.Now()
	if err := c.http.DoTimeout(req, resp, requestTimeout); err != nil {
		return result{outcome: tgcall.Unknown}
	}
	defer resp.CloseBodyStream()
	if resp.StatusCode() >= fasthttp.StatusBadRequest {
		return result{outcome: tgcall.Outcome(resp.Header.Peek("Tanagergrade-Outcome"))}
	}
	if q.kind == kindDraft || q.kind == kindGrouped {
		return readStream(resp.BodyStream(), q.prompt(), started)
	}
	body, err := io.ReadAll(resp.BodyStream())
	return result{outcome: tgcall.Answered, complete: err == nil && isExpectedBody(q, body)}
}

// isExpectedBody reports whether body is the answer expected for a request without a stream. Only its syntax is checked
// for requests to the ledger.
func isExpectedBody(q request, body []byte) bool {
	if q.kind == kindSummary {
		var answer struct {
			Choices []struct {
				Message struct {
					Content string `json:"content"`
				} `json:"message"`
			} `json:"choices"`
		}
		return json.Unmarshal(body, &answer) == nil && len(answer.Choices) == 1 &&
			answer.Choices[0].Message.Content == strings.Join(tgstandin.AnswerTokens(q.prompt(), 0), "")
	}
	return json.Valid(body)
}

// readStream reads a stream of tokens and compares it with the answer expected for prompt.
func readStream(body io.Reader, prompt string, started time.Time) result {
	res := result{outcome: tgcall.Answered}
	var content strings.Builder
	last := started
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			res.complete = content.String() == strings.Join(tgstandin.AnswerTokens(prompt, 0), "")
			return res
		}
		token, outcome, err := parseEvent(data)
		if err != nil {
			return res
		}
		if outcome != "" {
			// The stream ended with an error event, which states the outcome.
			return result{outcome: outcome}
		}
		now := time.Now()
		if content.Len() == 0 {
			res.firstToken = now.Sub(started)
		} else {
			res.tokenGaps = append(res.tokenGaps, now.Sub(last))
		}
		last = now
		content.WriteString(token)
	}
	return res
}

// parseEvent returns the token of a server-sent event, or the outcome that an error event states.
func parseEvent(data []byte) (token string, outcome tgcall.Outcome, err error) {
	var event struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Error *struct {
			Outcome tgcall.Outcome `json:"outcome"`
		} `json:"error"`
	}
	if err := json.Unmarshal(data, &event); err != nil {
		return "", "", errors.Wrap(err, "decode event")
	}
	switch {
	case event.Error != nil:
		return "", event.Error.Outcome, nil
	case len(event.Choices) != 1:
		return "", "", errors.New("event has no choice")
	default:
		return event.Choices[0].Delta.Content, "", nil
	}
}
